// gateway/callers.h: the callers' HTTP API: identify, lists, limit, then completions, models and services. I/O.
//
// Index
//   CallerApi    dispatches a request and runs its filters
//   Completion   one completion: choose, forward, check, respond; tries elsewhere, resumes
#pragma once

#include <memory>
#include <set>
#include <string>

#include <gateway/node.h>
#include <gateway/openai.h>
#include <gateway/services.h>

namespace baobabstall::gateway {

/// A caller's request that was identified.
struct CallerRequest {
    core::RequestId id;
    core::CustomerId customer;
    core::Instant since;
    core::Instant deadline;
};

class CallerApi
{
public:
    CallerApi(Node &node, ServiceCaller &services);

    /// Handles one exchange of the callers' server.
    net::Task<void> handle(net::Exchange &exchange);

private:
    net::Task<void> dispatch(net::Exchange &exchange, CallerRequest request);
    net::Task<void> completion(net::Exchange &exchange, CallerRequest request);
    net::Task<void> service(net::Exchange &exchange, CallerRequest request);
    net::Task<std::optional<net::HttpResponse>> keyedCall(CallerRequest request, ServiceRequest call, core::Error &why);
    [[nodiscard]] std::optional<core::CustomerId> identify(const net::HttpRequest &request, core::Error &why) const;
    net::Task<void> refuse(net::Exchange &exchange, const CallerRequest &request, const core::Error &why);

    /// Holds a request's place within the limits of plan and customer.
    class Place
    {
    public:
        Place(Node &node, admission::PlanSlot slot);
        ~Place();
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        void showInFlight();

        Node &node_;
        admission::PlanSlot slot_;
    };
    [[nodiscard]] std::unique_ptr<Place> enter(const core::CustomerId &customer, const lists::Grant &grant, core::Error &why);

    Node &node_;
    ServiceCaller &services_;
};

class Completion
{
public:
    Completion(Node &node, net::Exchange &exchange, CallerRequest request, CompletionRequest wanted, lists::Grant grant);

    /// Runs to the final answer, whatever it is.
    net::Task<void> run();

private:
    enum class Progress : std::uint8_t { Answered, Failed }; // Answered: the caller has all it will get
    struct Target {
        core::UpstreamId engine;
        core::HostId owner;
        core::Epoch epoch;
    };

    net::Task<std::optional<Target>> choose(core::Error &why);
    net::Task<std::optional<engines::Hint>> hintOf(peers::OutgoingCall &call);
    net::Task<Progress> attempt(Target target, core::Error &why);
    net::Task<Progress> relay(Target target, core::Error &why);
    [[nodiscard]] bool isWorthWaiting(const Target &target) const;
    net::Task<Progress> giveUpOwner(Target target, core::Error &why);
    net::Task<bool> take(const peers::ReplyBody &reply, core::Error &why);
    void noteStart(const peers::StartedReply &reply);
    net::Task<bool> take(const peers::DataReply &reply, core::Error &why);
    net::Task<Progress> end(core::Error &why);
    net::Task<Progress> resume(Target target, core::Error &why);
    net::Task<void> fail(core::Error why);
    void noteToken();
    void noteEnd(std::string_view outcome);
    [[nodiscard]] bool mayTryAgain(const core::Error &why) const;
    [[nodiscard]] bool isOwnerLost(const Target &target) const;
    [[nodiscard]] std::string attemptId() const;
    void cancelOnEngine(const Target &target);

    Node &node_;
    net::Exchange &exchange_;
    CallerRequest request_;
    CompletionRequest wanted_;
    lists::Grant grant_;
    std::set<core::UpstreamId> tried_;
    int attempts_ = 0;
    bool mayHaveRun_ = false; // an attempt that failed may have run
    std::unique_ptr<peers::OutgoingCall> call_;
    std::optional<AnswerCheck> check_;
    EventReader events_;
    std::string whole_;     // of an answer that is not streamed
    bool hasBegun_ = false; // the caller has got a first byte
    core::Instant lastToken_;
    std::shared_ptr<bool> isGone_ = std::make_shared<bool>(false);
};

} // namespace baobabstall::gateway
