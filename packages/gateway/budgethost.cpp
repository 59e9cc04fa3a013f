#include <gateway/budgethost.h>

namespace baobabstall::gateway {

namespace {

peers::ErrorReply refusal(std::string reason)
{
    return {core::Error{.step = core::Step::Load, .reason = std::move(reason), .refusal = core::Refusal::Unavailable}};
}

} // namespace

BudgetHost::BudgetHost(Node &node, core::Epoch epoch)
    : node_(node)
    , epoch_(epoch)
    , budget_(epoch, node.settings.loads, node.now())
    , timer_(node.io)
{ }

net::Task<void> BudgetHost::serve(std::shared_ptr<peers::IncomingCall> call, peers::PermitCall ask)
{
    const auto adapter = core::AdapterRef::parse(ask.adapter);
    if (!adapter || isClosed_) {
        call->send(refusal(isClosed_ ? "this daemon gives no permits any more" : "malformed adapter"));
        co_return;
    }
    const AskKey key{call->from(), ask.engine, *adapter};
    asks_[key] = call;
    call->onCancel([self = weak_from_this(), key, newest = std::weak_ptr(call)] {
        const auto host = self.lock();
        const auto found = host ? host->asks_.find(key) : decltype(host->asks_.find(key)){};
        if (host && found != host->asks_.end() && found->second == newest.lock()) {
            host->asks_.erase(found);
            host->budget_.cancelRequest(key.host, key.engine, key.adapter);
            host->pump();
        }
    });
    budget_.requestPermit(key.host, key.engine, key.adapter, {ask.waiting, ask.victimRate}, node_.now());
    pump();
}

void BudgetHost::pump()
{
    const auto now = node_.now();
    for (const auto &each : budget_.takeGrants(now)) {
        grant(each);
    }
    const auto deadline = budget_.nextDeadline(now);
    if (!deadline) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(net::chronoOf(std::max(core::Milliseconds(1), *deadline - now)));
    timer_.async_wait([self = weak_from_this()](boost::system::error_code cancelled) {
        if (const auto host = self.lock(); host && !cancelled) {
            host->pump();
        }
    });
}

void BudgetHost::grant(const engines::Grant &grant)
{
    const auto release = [self = weak_from_this(), permit = grant.permit] {
        if (const auto host = self.lock()) {
            host->budget_.release(permit, host->node_.now());
            host->pump();
        }
    };
    const auto node = asks_.extract(AskKey{grant.host, grant.engine, grant.adapter});
    if (!node) {
        asio::post(node_.io, release);
        return;
    }
    const auto call = node.mapped();
    call->send(peers::GrantReply{grant.permit.value()});
    call->onCancel([release, call] { release(); }); // keeps the call, whose life is the permit's
}

void BudgetHost::lose()
{
    isClosed_ = true;
    timer_.cancel();
    for (const auto &[key, call] : std::exchange(asks_, {})) {
        call->send(refusal("this daemon gives no permits any more"));
    }
}

} // namespace baobabstall::gateway
