#include <serving/storepages.h>

#include <algorithm>

#include <settings/json.h>

namespace baobabstall::serving {

using core::Offset;

StorePages::StorePages(Node &node, const HostGroups &groups, std::array<TopicFollower *, 3> followers)
    : node_(node)
    , groups_(groups)
    , followers_(followers)
{ }

void StorePages::share(Topic topic, const SharedPage &shared)
{
    peers::StorePageNotice page;
    page.topic = topicText(topic);
    page.from = shared.from.value();
    page.first = shared.page.oldestOffset.value();
    page.next = shared.page.endOffset.value();
    page.readTo = shared.page.nextOffset.value();
    page.sentAt = node_.now().sinceOrigin();
    page.ageMs = shared.readAt ? (node_.now() - *shared.readAt).count() : -1;
    if (bytesOf(shared.page.records) <= maxSharedPageBytes) {
        for (const auto &record : shared.page.records) {
            page.records.emplace_back(record.key, record.value);
        }
    }
    if (!node_.stop.hasBegun()) {
        send(page, groups_.shareTargets(page.topic));
    }
}

void StorePages::send(const peers::StorePageNotice &page, const std::vector<HostId> &hosts)
{
    if (links_ != nullptr) {
        for (const auto &host : hosts) {
            links_->notify(host, {page});
        }
    }
}

void StorePages::onPage(const HostId &from, const peers::StorePageNotice &page)
{
    queryClock(from);
    const auto readAt = dateOf(from, page);
    if (const auto targets = groups_.forwardTargets(from, page.topic); !targets.empty()) {
        auto forwarded = page;
        forwarded.sentAt = node_.now().sinceOrigin();
        forwarded.ageMs = readAt ? (node_.now() - *readAt).count() : -1;
        send(forwarded, targets);
    }
    SharedPage shared;
    shared.sender = from;
    shared.readAt = readAt;
    shared.from = Offset(page.from);
    shared.page.oldestOffset = Offset(page.first);
    shared.page.endOffset = Offset(page.next);
    shared.page.nextOffset = Offset(page.readTo);
    auto offset = shared.from;
    for (const auto &[key, value] : page.records) {
        shared.page.records.push_back({offset, key, value});
        offset = offset.next();
    }
    if (offset != shared.page.nextOffset && !shared.isLeftOut()) {
        node_.log.warn("feed_unsound", {{"topic", settings::printableText(page.topic)}, {"from", page.from}, {"read_to", page.readTo}});
        return;
    }
    auto *follower = followerOf(page.topic);
    if (follower == nullptr || !follower->feed(shared)) {
        return;
    }
    undatedPages_.erase(follower);
    if (!readAt && page.ageMs >= 0) {
        undatedPages_[follower] = {from, Instant(page.sentAt), Milliseconds(page.ageMs), shared.isToEnd(), core::eraOf(shared.page.nextOffset)};
    }
}

TopicFollower *StorePages::followerOf(std::string_view topic) const
{
    const auto found = std::find_if(followers_.begin(), followers_.end(), [topic](const auto *each) { return each->name() == topic; });
    return found == followers_.end() ? nullptr : *found;
}

void StorePages::queryClock(const HostId &host)
{
    const auto now = node_.now();
    if (links_ != nullptr && clocks_.isQueryDue(host, now)) {
        links_->notify(host, {peers::ClockQuery{now.sinceOrigin()}});
    }
}

std::optional<Instant> StorePages::dateOf(const HostId &from, const peers::StorePageNotice &page) const
{
    const auto sentAt = page.ageMs < 0 ? std::nullopt : clocks_.earliest(from, Instant(page.sentAt), node_.now());
    return sentAt ? std::optional(*sentAt - Milliseconds(page.ageMs)) : std::nullopt;
}

void StorePages::onClockQuery(const HostId &from, const peers::ClockQuery &query)
{
    if (links_ != nullptr) {
        links_->notify(from, {peers::ClockAnswer{query.askedAt, node_.now().sinceOrigin()}});
    }
}

void StorePages::onClockAnswer(const HostId &from, const peers::ClockAnswer &answer)
{
    const auto now = node_.now();
    clocks_.onAnswer(from, Instant(answer.askedAt), Instant(answer.clock), now);
    for (auto it = undatedPages_.begin(); it != undatedPages_.end();) {
        const auto &[follower, page] = *it;
        const auto sentAt = page.sender == from ? clocks_.earliest(from, page.sentAt, now) : std::nullopt;
        if (sentAt) {
            follower->onPageDated(*sentAt - page.age, page.isToEnd && page.era == follower->era());
        }
        it = sentAt ? undatedPages_.erase(it) : std::next(it);
    }
}

} // namespace baobabstall::serving
