// gateway/enginehost.h: one engine that this daemon owns. Carries the engine table's actions out and tells it what came of them. I/O.
//
// Index
//   PermitSource   where permits for loads come from
//   EngineHost     requests, hints, orders, the end of ownership
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <engines/enginetable.h>
#include <gateway/node.h>

namespace baobabstall::gateway {

/// Asks the owner of the region's load budget for permits, or takes them from this daemon's own part of the rate while no owner
/// can be reached. One for the whole daemon.
class PermitSource
{
public:
    explicit PermitSource(Node &node);

    /// A permit, held until release(); nothing when the answer was no or `wanted` ended meanwhile.
    /// `isWanted` is asked from time to time; false ends the wait.
    net::Task<std::optional<engines::PermitId>>
    ask(core::UpstreamId engine, core::AdapterRef adapter, engines::LoadPriority worth, std::function<bool()> isWanted);
    void release(engines::PermitId permit);

private:
    Node &node_;
    engines::FallbackBudget fallback_;
    std::map<engines::PermitId, std::unique_ptr<peers::OutgoingCall>> held_;
};

class EngineHost final : public OwnedHost, public std::enable_shared_from_this<EngineHost>
{
public:
    EngineHost(Node &node, PermitSource &permits, const EngineRecord &record, core::Epoch epoch);

    /// Serves one request of an entry daemon, until its last reply.
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call, peers::RunCall run);
    [[nodiscard]] peers::HintReply hint(const core::AdapterRef &adapter, const core::PlanId &plan, double share) const;
    void prefetch(const core::AdapterRef &adapter);
    void setAddress(const net::Address &address) { address_ = address; }

    /// Looks whether earlier owners of names on the engine are known to be gone by now. Call about once a second.
    void checkEvidence();
    void permitsLost();
    void drain() override;
    void lose() override;
    [[nodiscard]] bool isIdle() const override;
    void close() override { timer_.cancel(); }
    [[nodiscard]] const engines::EngineTable &table() const { return table_; }
    [[nodiscard]] core::Epoch epoch() const { return table_.epoch(); }

private:
    /// A request between the entry daemon's call and the engine's answer.
    struct Waiter {
        explicit Waiter(asio::io_context &io)
            : wakeup(io)
        { }
        std::optional<engines::EngineAdapterName> start;
        std::optional<core::Error> refusal; // final
        std::optional<core::Error> abort;   // was running when the engine restarted
        bool isCancelled = false;
        bool isStalled = false;  // the adapter was not resident when it came
        core::Instant since;     // when it came, then when its adapter was there
        core::Instant startedAt; // on the engine
        Wakeup wakeup;
    };
    enum class Ran : std::uint8_t { Ended, UnknownName };
    using WaiterPtr = std::shared_ptr<Waiter>;
    using CallPtr = std::shared_ptr<peers::IncomingCall>;

    void pump(); // carries out what the table decides, and sets the timer for its next deadline
    void setTimer();
    void perform(const engines::StartRequest &action);
    void perform(const engines::RefuseRequest &action);
    void perform(const engines::AbortRequest &action);
    void perform(const engines::OrderLoad &action);
    void perform(const engines::OrderUnload &action);
    void perform(const engines::RequestPermit &action);
    void perform(const engines::CancelPermitRequest &action);
    void perform(const engines::ReleasePermit &action);
    void perform(const engines::FetchListing &action);

    net::Task<Ran> runOnEngine(CallPtr call, peers::RunCall run, WaiterPtr waiter);
    void
    endRun(const CallPtr &call, const core::RequestId &attempt, const WaiterPtr &waiter, std::optional<net::HttpResponse> response, const core::Error &why);
    void noteServed(const core::AdapterRef &adapter, core::Milliseconds runTime);
    net::Task<void> cancelOnEngine(core::RequestId attempt);
    net::Task<void> load(engines::EngineAdapterName name);
    net::Task<void> unload(engines::EngineAdapterName name);
    net::Task<void> askPermit(core::AdapterRef adapter, engines::LoadPriority worth, std::uint64_t turn);
    net::Task<void> list();
    net::Task<std::optional<net::HttpResponse>> order(std::string path, std::string body, core::Error &why);
    [[nodiscard]] bool mayOrder() const;
    template<typename Coroutine>
    void spawn(Coroutine coroutine);

    Node &node_;
    PermitSource &permits_;
    ownership::Resource thing_;
    net::Address address_;
    engines::EngineTable table_;
    asio::steady_timer timer_;
    std::unordered_map<core::RequestId, WaiterPtr> waiters_;
    std::map<core::AdapterRef, std::uint64_t> asks_; // open asks for permits: the newest turn of each
    std::uint64_t askCount_ = 0;
    std::set<core::Epoch> foreignEpochs_; // of names on the engine, by its last listing
    bool isPumping_ = false;
    bool isPumpDue_ = false;
};

} // namespace baobabstall::gateway
