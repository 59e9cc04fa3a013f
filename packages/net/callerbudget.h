// net/callerbudget.h: bounds the memory and the connections that callers make a host hold, and decides who gives way when they are short. No I/O.
//
//   CallerBudget budget(CallerBudget::limitsFor(memoryBytes, maxConnections));
//   CallerBudget::Holder holder(budget, [this](CallerPart part) { ...refuse or close this connection... }, now); // one for each connection
//   holder.awaitCaller(now);                                  // from now on the caller has to send, or to read
//   holder.onProgress(count, now);                            // it has sent or read so many bytes
//   if (!holder.resize(CallerPart::Body, bytes, now)) { ...refuse this request with 503, it has not run... }
//   holder.rest();                                            // the request is whole and runs: its caller keeps nobody waiting
//   holder.idle(now);                                         // between two requests
//
// Over all connections the parts share one total. When it is short, the callers that send or read slowest give way: those that took longest over their
// last `stepBytes`, beginning with those that took longer than `calm`. A caller whose request is whole and runs is never asked, nor one that holds less
// than `smallBytes`. For a new connection idle ones give way too, after slow ones. When nobody can give way, the request that asked for more is refused; small
// requests have a reserve that longer ones don't touch, and the only request that holds a body gets what the limits of the pages allow.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_set>

#include <core/types.h>

namespace baobabstall::net {

using core::Instant;
using core::Milliseconds;

/// What a connection makes a host hold.
enum class CallerPart : std::uint8_t {
    Input,       // read and not yet understood, and the head of a request
    Body,        // of a request
    Framing,     // chunk extensions of a request; they are counted, not kept
    Answer,      // written and not yet taken by the caller
    Connections, // the connection itself
};
[[nodiscard]] std::string_view callerPartText(CallerPart part);

struct CallerBudgetLimits {
    std::size_t totalBytes = 0;     // of all parts of all connections
    std::size_t maxConnections = 0; // 0: bounded elsewhere
};

class CallerBudget
{
public:
    static constexpr std::size_t memoryShare = 4;                        // callers may hold the fourth part of a host's memory
    static constexpr std::size_t minTotalBytes = 8 * 1024 * 1024;        // two of the longest usual bodies
    static constexpr std::size_t defaultMemoryBytes = 512 * 1024 * 1024; // of a host whose settings don't name it
    static constexpr std::size_t smallBytes = 32 * 1024;                 // of a connection; the usual request
    static constexpr std::size_t reserveShare = 4;                       // of the total, for connections that hold up to smallBytes
    static constexpr std::size_t stepBytes = 16 * 1024;
    static constexpr Milliseconds calm{1'000}; // for a step of a caller on a slow link

    /// `memoryBytes`: that the host may use; 0: not told. `maxConnections`: 0: bounded elsewhere.
    [[nodiscard]] static CallerBudgetLimits limitsFor(std::size_t memoryBytes, std::size_t maxConnections);

    /// The share of one connection. Its budget outlives it.
    class Holder
    {
    public:
        /// The connection has to free what it holds, for want of this part. It is called once at most; the holder counts as empty from then on.
        using GiveWay = std::function<void(CallerPart)>;

        Holder(CallerBudget &budget, GiveWay giveWay, Instant now);
        ~Holder();
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        /// Sets the bytes of a part. False, and no change: the host would hold too much. An answer is never refused, as its request has run.
        [[nodiscard]] bool resize(CallerPart part, std::size_t bytes, Instant now);
        void awaitCaller(Instant now);
        void onProgress(std::size_t bytes, Instant now);
        void rest() { state_ = State::Runs; }
        void idle(Instant now);
        [[nodiscard]] std::size_t bytes() const;

    private:
        friend class CallerBudget;
        enum class State : std::uint8_t { Awaited, Idle, Runs };

        CallerBudget &budget_;
        GiveWay giveWay_;
        std::array<std::size_t, static_cast<std::size_t>(CallerPart::Connections)> parts_{};
        Instant stepBegan_;
        std::size_t stepBytes_ = 0;
        State state_ = State::Awaited; // also before its first byte
        bool hasGivenWay_ = false;
    };

    explicit CallerBudget(CallerBudgetLimits limits)
        : limits_(limits)
    { }

    void setLimits(CallerBudgetLimits limits) { limits_ = limits; }
    /// Before a connection is accepted. False: all are taken, and nobody can give way.
    [[nodiscard]] bool makeRoomForConnection(Instant now);
    [[nodiscard]] std::size_t heldBytes() const { return heldBytes_; }

private:
    [[nodiscard]] bool fits(const Holder &asker, std::size_t more) const;
    [[nodiscard]] Holder *slowest(const Holder *asker, Holder::State state, Milliseconds longerThan, std::size_t minBytes, Instant now) const;
    [[nodiscard]] bool makeRoom(const Holder &asker, CallerPart part, std::size_t more, Instant now);
    void dismiss(Holder &holder, CallerPart part);

    CallerBudgetLimits limits_;
    std::size_t heldBytes_ = 0;
    std::unordered_set<Holder *> holders_;
};

} // namespace baobabstall::net
