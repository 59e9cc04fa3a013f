// engines/hint.h: what an engine's owner tells an entry daemon about one adapter on its engine. Fits in one small message.
#pragma once

#include <cstdint>

#include <core/types.h>

namespace baobabstall::engines {

enum class Residency : std::uint8_t {
    Absent,   // a load is needed
    Loading,  // a load is ordered, or its permit is asked for
    Resident, // a request can start as soon as the batch has room
};

struct Hint {
    Residency residency = Residency::Absent;
    core::Milliseconds expectedWait; // until a request that came now would start: queue, permit and load
    int queueLength = 0;             // requests waiting at the engine
    double batchFill = 0;            // requests running as a share of the engine's concurrency, 0 to 1
    int freeSlots = 0;               // slots that a load can use now, by eviction too
    bool accepting = true;           // false: superseded, draining, or not listed yet; try another candidate
};

} // namespace baobabstall::engines
