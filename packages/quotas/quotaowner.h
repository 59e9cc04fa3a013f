// quotas/quotaowner.h: fills the buckets of workspaces and hands their credit to hosts, at the host that owns them. No I/O.
//
//   QuotaOwner owner(now);                    // when the ownership begins; a new one begins with empty buckets and no hosts
//   owner.setQuotas(quotas, now);             // after each change of the configuration
//   owner.setHostCount(announced, now);
//   send(owner.onAsk(from, ask, now));        // at most once for each ask; nothing for one that is out of date
//
// A bucket fills only for hosts that are served: each counts for perSecond / hosts while it is known to have had an answer within
// Timing::servedTime. Hosts that hear no owner spend just that share by themselves, so the sum holds without knowing which of them do.
// A served time counts from an ask whose answer the host says to have; so it has ended before the host's own wait for an answer has.
//
// Several hosts may act as owners at one time: whoever is asked. Each host asks one of them. An owner
// counts a host that had its answers elsewhere only after Timing::servedTime, and its stock is bounded by the part of the hosts that it counts.
//
// Stock and outstanding credit together stay below depthOf() times that part. While credit of an earlier owner may be out that this one doesn't know of, for
// Timing::settleTime, they stay below that by what may be out.
//
// A charge that was not run gets its credit back as far as the bucket would have held it all the time since: a full bucket takes nothing, so
// that returned credit doesn't add to what a window allows.
//
// Limits: the first to ask gets what is there, by its part of what all want; requests of a workspace that are many times the others' size
// seldom find enough while more is wanted than the limit gives.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include <quotas/credit.h>

namespace baobabstall::quotas {

class QuotaOwner
{
public:
    struct Counts {
        double granted = 0;
        double returned = 0;
        std::uint64_t refused = 0; // entries that wanted something and got nothing
    };

    explicit QuotaOwner(Instant ownedSince)
        : ownedSince_(ownedSince)
        , lastAskAt_(ownedSince)
        , servedAt_(ownedSince)
    { }

    void setQuotas(const Quotas &quotas, Instant now);
    void setHostCount(int hosts, Instant now);
    [[nodiscard]] std::optional<Grant> onAsk(const HostId &from, const Ask &ask, Instant now);
    /// Forgets hosts that have not asked for a while; a few times a second.
    void expire(Instant now);

    [[nodiscard]] double stock(const WorkspaceId &workspace, Instant now);
    [[nodiscard]] double outstanding(const WorkspaceId &workspace) const;
    [[nodiscard]] int servedHosts(Instant now);
    [[nodiscard]] const Counts &counts() const { return counts_; }

private:
    struct Want {
        double amount = 0;
        Instant at;
    };

    struct Bucket {
        Quota quota;
        double stock = 0;
        double filledAt = 0;   // servedSeconds_
        double peak = 0;       // of stock and outstanding together, since peakSince
        double peakBefore = 0; // the same, in the time before that
        Instant peakSince;
        double outstanding = 0;
        std::map<HostId, double> outstandingByHost;
        std::map<HostId, Want> wants; // that were not met in full
        double wanted = 0;            // sum of `wants`
    };

    struct Host {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
        Instant askedAt;
        Instant countsFrom; // before that another owner may still fill for it
        std::optional<Instant> servedUntil;
        std::vector<GrantEntry> lastGrant;
        bool isDropped = false; // what it held no longer counts
    };

    void advance(Instant now);
    void fill(Bucket &bucket, Instant now);
    [[nodiscard]] double limitOf(const Bucket &bucket, Instant now) const;
    void setServed(const HostId &id, Host &host, std::optional<Instant> until);
    void setOutstanding(Bucket &bucket, const HostId &host, double amount) const;
    static void setWant(Bucket &bucket, const HostId &host, std::optional<Want> want);
    void takeBack(const HostId &id, const Host &host, Instant now);
    void dropOutstanding(const HostId &id);
    GrantEntry serve(const HostId &from, const AskEntry &entry, bool isRecent, Instant now);
    void restore(Bucket &bucket, double amount, Instant now);
    void notePeak(Bucket &bucket, Instant now) const;
    [[nodiscard]] Milliseconds waitFor(const Bucket &bucket, const HostId &host, double least) const;
    [[nodiscard]] double servedPart() const;

    Instant ownedSince_; // or since when it is asked again
    Instant lastAskAt_;
    Instant servedAt_;         // servedSeconds_ counts up to here
    double servedSeconds_ = 0; // integral of the served part of all hosts
    int hostCount_ = 0;
    std::set<std::pair<Instant, HostId>> served_; // by the end of their time
    std::unordered_map<HostId, Host> hosts_;
    std::unordered_map<WorkspaceId, Bucket> buckets_;
    Counts counts_;
};

} // namespace baobabstall::quotas
