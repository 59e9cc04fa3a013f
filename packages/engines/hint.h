// engines/hint.h: what the owner of an engine reports to an entry daemon about one adapter on it. Fits in one small message.
#pragma once

#include <cstdint>

#include <core/types.h>

namespace baobabstall::engines {

enum class Residency : std::uint8_t {
    Absent,   // a load is needed
    Loading,  // a load is ordered, or its permit requested
    Resident, // a request can start as soon as the batch has room
};

struct Hint {
    Residency residency = Residency::Absent;
    core::Milliseconds expectedWait; // until a request that arrives now would start: queue, permit and load
    int queueLength = 0;             // requests waiting for the engine
    double batchFill = 0;            // running requests as a fraction of the engine's concurrency, 0 to 1
    int freeSlots = 0;               // slots available to a load, including those it could get by eviction
    bool accepting = true;           // false: superseded, draining, or not listed yet; try another candidate
};

} // namespace baobabstall::engines
