#include <serving/quotaexchange.h>

#include <algorithm>
#include <cmath>

#include <core/hash.h>
#include <serving/quotanotices.h>

namespace baobabstall::serving {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t expireEveryTicks = 5;
/// A request waits for credit as long as this lives.
class Waiting
{
public:
    Waiting(quotas::QuotaHost &host, const WorkspaceId &workspace, double amount, Instant now)
        : host_(host)
        , workspace_(workspace)
        , amount_(amount)
    {
        host_.wait(workspace, amount, now);
    }
    Waiting(const Waiting &) = delete;
    Waiting &operator=(const Waiting &) = delete;
    ~Waiting() { host_.endWait(workspace_, amount_); }

private:
    quotas::QuotaHost &host_;
    const WorkspaceId &workspace_;
    double amount_;
};

} // namespace

QuotaExchange::QuotaExchange(Node &node, core::Incarnation incarnation, Ownership ownership)
    : node_(node)
    , ownership_(std::move(ownership))
{
    parts_.reserve(partitions); // requests that wait keep references
    for (int i = 0; i < partitions; ++i) {
        parts_.emplace_back(quotas::QuotaHost(incarnation.value(), node.now()), quotas::OwnerChoice(ownership::quotaResource(i).value(), node.now()));
    }
}

int QuotaExchange::partitionOf(const WorkspaceId &workspace)
{
    return static_cast<int>(core::hashText(workspace.value(), 0) % partitions);
}

std::vector<ownership::Resource> QuotaExchange::resources() const
{
    std::vector<ownership::Resource> resources;
    for (int i = 0; hasQuotas_ && i < partitions; ++i) {
        resources.push_back(ownership::quotaResource(i));
    }
    return resources;
}

void QuotaExchange::setHosts(int announced)
{
    hostCount_ = announced;
    for (auto &part : parts_) {
        part.host.setHostCount(announced);
        if (part.owned) {
            part.owned->setHostCount(announced, node_.now());
        }
    }
}

void QuotaExchange::noteHost(const HostId &host, bool understandsAsks)
{
    if (understandsAsks) {
        standIns_.insert(host);
    } else {
        standIns_.erase(host);
    }
}

void QuotaExchange::setWorkspaces(const std::map<WorkspaceId, WorkspaceQuota> &workspaces)
{
    for (auto &part : parts_) {
        part.limits.clear();
    }
    for (const auto &[id, quota] : workspaces) {
        if (quota.perSecond > 0 && std::isfinite(quota.perSecond)) {
            partitionFor(id).limits[id] = {quota.perSecond, std::isfinite(quota.burst) ? std::max(0.0, quota.burst) : 0};
        }
    }
    hasQuotas_ = std::any_of(parts_.begin(), parts_.end(), [](const Partition &part) { return !part.limits.empty(); });
    for (auto &part : parts_) {
        part.host.setQuotas(part.limits, node_.now());
        if (part.owned) {
            part.owned->setQuotas(part.limits, node_.now());
        }
    }
}

void QuotaExchange::tick()
{
    ++ticks_;
    const auto &hosting = node_.settings.hosting;
    for (auto &part : parts_) {
        part.host.setAllowance({hosting.quotaWindowSeconds, hosting.quotaTolerance, hosting.quotaOverage});
    }
    for (int i = 0; hasQuotas_ && i < partitions; ++i) {
        followOwner(i);
        askIfDue(i);
        logFallback(i);
        if (auto &owned = parts_.at(static_cast<std::size_t>(i)).owned; owned && ticks_ % expireEveryTicks == 0) {
            owned->expire(node_.now());
        }
        countCredit(i);
    }
}

void QuotaExchange::followOwner(int index)
{
    auto &part = parts_.at(static_cast<std::size_t>(index));
    const auto owner = ownership_.ownerOf(index);
    const auto named = owner ? std::optional(quotas::OwnerChoice::Named{owner->host, owner->epoch}) : std::nullopt;
    const auto asked = part.choice.choose(named, node_.now(), [this] { return std::vector<HostId>(standIns_.begin(), standIns_.end()); });
    const bool isNewEpoch = named && asked == named->host && named->epoch != std::exchange(part.namedEpoch, named->epoch);
    if (asked == part.asked && !isNewEpoch) {
        return;
    }
    if (part.asked && asked != part.asked) {
        node_.log.info("quota_owner_changed",
                       {{"partition", index}, {"before", *part.asked}, {"owner", asked.value_or(HostId())}, {"claimed", named && asked == named->host}});
    }
    part.asked = asked;
    part.host.onNewOwner();
}

void QuotaExchange::askIfDue(int index)
{
    auto &part = parts_.at(static_cast<std::size_t>(index));
    if (!part.asked || !part.host.isAskDue(node_.now())) {
        return;
    }
    const bool isOwn = *part.asked == node_.settings.host;
    if (!isOwn && links_ == nullptr) {
        return;
    }
    const auto ask = part.host.makeAsk(node_.now());
    if (!isOwn) {
        links_->notify(*part.asked, {noticeOf(index, ask)});
    } else if (const auto grant = answer(index, node_.settings.host, ask)) {
        apply(part, *grant);
    }
}

std::optional<quotas::Grant> QuotaExchange::answer(int index, const HostId &from, const quotas::Ask &ask)
{
    auto &part = parts_.at(static_cast<std::size_t>(index));
    if (!part.owned) {
        part.owned.emplace(node_.now());
        part.owned->setHostCount(hostCount_, node_.now());
        part.owned->setQuotas(part.limits, node_.now());
    }
    return part.owned->onAsk(from, ask, node_.now());
}

void QuotaExchange::onAsk(const HostId &from, const peers::QuotaAskNotice &notice)
{
    if (!hasQuotas_ || notice.partition < 0 || notice.partition >= partitions || links_ == nullptr) {
        return;
    }
    if (const auto grant = answer(notice.partition, from, askOf(notice))) {
        links_->notify(from, {noticeOf(notice.partition, *grant)});
    }
}

void QuotaExchange::onGrant(const HostId &from, const peers::QuotaGrantNotice &notice)
{
    if (notice.partition < 0 || notice.partition >= partitions) {
        return;
    }
    auto &part = parts_.at(static_cast<std::size_t>(notice.partition));
    if (part.asked == from) {
        apply(part, grantOf(notice));
        askIfDue(notice.partition);
    }
}

void QuotaExchange::apply(Partition &part, const quotas::Grant &grant)
{
    if (!part.host.onGrant(grant, node_.now())) {
        return;
    }
    part.choice.onAnswer(node_.now());
    for (const auto &waiter : std::exchange(part.waiters, {})) {
        waiter->cancel();
    }
}

net::Task<QuotaDecision> QuotaExchange::take(WorkspaceId workspace, double amount, Milliseconds maxWait)
{
    const int index = partitionOf(workspace);
    auto &part = parts_.at(static_cast<std::size_t>(index));
    const auto until = node_.now() + maxWait;
    auto charge = part.host.tryTake(workspace, amount, node_.now());
    if (!charge.isTaken && charge.mayAsk && part.asked) {
        const Waiting waiting(part.host, workspace, amount, node_.now());
        while (true) {
            askIfDue(index); // answered at once where this host is the owner
            charge = part.host.tryAgain(workspace, amount, node_.now());
            if (charge.isTaken || !charge.mayAsk || node_.now() >= until) {
                break;
            }
            const auto waiter = std::make_shared<asio::steady_timer>(node_.io, net::chronoOf(std::min(until - node_.now(), quotas::QuotaHost::askGap)));
            part.waiters.push_back(waiter);
            co_await waiter->async_wait(net::tuple);
            std::erase(part.waiters, waiter);
        }
    }
    if (!charge.isTaken) {
        node_.metrics.quotaRefusals.add({part.host.isInFallback(node_.now()) ? "fallback" : charge.mayAsk ? "waited" : "at_once"});
    }
    co_return QuotaDecision{charge.isTaken, charge.retryAfter, {workspace, charge.amount, node_.now()}};
}

void QuotaExchange::giveBack(const QuotaCharge &charge)
{
    if (charge.amount > 0) {
        partitionFor(charge.workspace).host.giveBack(charge.workspace, charge.amount, charge.at, node_.now());
    }
}

void QuotaExchange::logFallback(int index)
{
    auto &part = parts_.at(static_cast<std::size_t>(index));
    const bool isInFallback = part.host.hasQuotas() && part.host.isInFallback(node_.now());
    if (isInFallback == std::exchange(part.wasInFallback, isInFallback)) {
        return;
    }
    const auto owner = part.asked.value_or(HostId());
    if (isInFallback) {
        node_.log.warn("quota_fallback_began", {{"partition", index}, {"owner", owner}, {"hosts", hostCount_}});
    } else {
        node_.log.info("quota_fallback_ended", {{"partition", index}, {"owner", owner}});
    }
    node_.metrics.quotaFallback.set(static_cast<double>(std::count_if(parts_.begin(), parts_.end(), [](const Partition &each) { return each.wasInFallback; })));
}

void QuotaExchange::countCredit(int index)
{
    auto &part = parts_.at(static_cast<std::size_t>(index));
    const auto add = [this](std::string_view what, double now, double before) {
        if (now > before) {
            node_.metrics.quotaCredit.add({what}, now - before);
        }
    };
    const auto spent = part.host.counts();
    add("spent", spent.spent, part.told.spent);
    add("given_back", spent.givenBack, part.told.givenBack);
    part.told = spent;
    if (!part.owned) {
        return;
    }
    const auto owned = part.owned->counts();
    add("granted", owned.granted, part.ownedTold.granted);
    add("returned", owned.returned, part.ownedTold.returned);
    part.ownedTold = owned;
    node_.metrics.quotaServedHosts.set({std::to_string(index)}, part.owned->servedHosts(node_.now()));
}

} // namespace baobabstall::serving
