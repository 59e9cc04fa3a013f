// Hosts that follow one topic of a store, on virtual time: real schedules and groups; the store, the links and the faults are simulated.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <serving/hostgroups.h>
#include <serving/readschedule.h>
#include <serving/storepages.h>

#include "virtualtime.h"

namespace baobabstall::serving::tests {

class TopicSpread : public VirtualTime
{
public:
    struct Options {
        int zones = 3;
        int hosts = 87;
        FollowOptions follow;
        Milliseconds callTimeout{1'500}; // of a call to the store, besides the time that a read is held open
        bool arePagesShared = true;      // false: pages are too large
        int fastHostDistance = 5;        // each so many hosts, one has a fast link and leads its group while it lives
        double fastMbps = 200;
        double slowMbps = 50;
        double storeMbps = 0;                                   // link of the store, for all reads together; 0: transfers take no time
        std::int64_t recordBytes = 0;                           // of each record
        std::int64_t maxPageBytes = ReadSchedule::maxPageBytes; // the store ends an answer with the record that exceeds it
        Milliseconds applyTime{0};                              // of a page's newest record, during which the host does nothing else
        Milliseconds firstTurnSpread{0};                        // above 0: the hosts have just started and have no links
    };
    enum class Outage { None, Refusing, Silent };

    explicit TopicSpread(const Options &options)
        : options_(options)
    {
        for (int i = 0; i < options.hosts; ++i) {
            const auto name = "host-" + std::to_string(i);
            const auto zone = "zone-" + std::to_string(i % options.zones);
            grouped_.push_back({HostId(name), ZoneId(zone), i % options.fastHostDistance == 0 ? options.fastMbps : options.slowMbps});
        }
        for (const auto &each : grouped_) {
            hosts_.emplace(each.host, std::make_unique<Host>(each, options.follow));
        }
        assignGroups();
        for (auto &[id, host] : hosts_) {
            host->schedule.onRead(now(), PageExtent::Empty);
            wake(*host);
        }
    }

    // The store.
    void append()
    {
        ++records_;
        for (auto &answer : std::exchange(heldReads_, {})) {
            answer();
        }
    }
    void setOutage(Outage outage) { outage_ = outage; }
    [[nodiscard]] int reads() const { return reads_; }

    // Faults of hosts.
    [[nodiscard]] std::vector<HostId> leaders() const { return hosts_.begin()->second->groups.leaders(topic); }
    [[nodiscard]] std::vector<HostId> hostIds() const
    {
        std::vector<HostId> ids;
        for (const auto &[id, host] : hosts_) {
            ids.push_back(id);
        }
        return ids;
    }
    /// Ends the host for good. The others notice after `detection`.
    void kill(const HostId &id, Milliseconds detection = Milliseconds(2'750))
    {
        hosts_.at(id)->isAlive = false;
        markHarmed(id);
        at(now() + detection, [this, id] {
            std::erase_if(grouped_, [&](const auto &each) { return each.host == id; });
            assignGroups();
        });
    }
    /// What arrives meanwhile is handled at the end, in order.
    void suspend(const HostId &id, Milliseconds duration)
    {
        hosts_.at(id)->suspendedUntil = now() + duration;
        markHarmed(id);
        at(now() + duration, [this, id] { markHarmed(id); });
    }
    /// Whatever the host sends to other hosts takes so much longer.
    void delaySends(const HostId &id, Milliseconds delay)
    {
        hosts_.at(id)->sendDelay = delay;
        markHarmed(id);
    }
    /// Cut from the store, silently.
    void cutFromStore(const HostId &id, bool isCut)
    {
        hosts_.at(id)->isCut = isCut;
        markHarmed(id);
    }

    /// Hosts without a fault since `since` that had not applied record `number` (from 1) at `deadline`, or have not now.
    [[nodiscard]] std::vector<HostId> calmHostsWithout(int number, Instant since, Instant deadline) const
    {
        std::vector<HostId> late;
        for (const auto &[id, host] : hosts_) {
            const bool isCalm = host->isAlive && host->harmedAt < since && host->suspendedUntil < since && host->sendDelay.count() == 0 && !host->isCut;
            const auto applied = host->appliedAt.find(number);
            if (isCalm && (applied == host->appliedAt.end() || applied->second > deadline)) {
                late.push_back(id);
            }
        }
        return late;
    }

    static constexpr std::string_view topic = "operators";

private:
    struct Host {
        Host(const GroupedHost &host, const FollowOptions &options)
            : id(host.host)
            , linkMbps(host.linkMbps)
            , schedule(options)
        { }

        HostId id;
        double linkMbps = 0;
        Instant linkFreeAt;
        HostGroups groups;
        ReadSchedule schedule;
        int known = 0;    // records
        int knownEnd = 0; // records of the topic, by pages of other hosts
        std::map<int, Instant> appliedAt;
        bool isAlive = true;
        bool isReading = false;
        bool needsListing = false;
        bool isCut = false;
        Instant suspendedUntil;
        Instant busyUntil; // with the records of pages
        Instant harmedAt{-1'000'000};
        Milliseconds sendDelay{0};
        std::map<HostId, Instant> lastArrival; // by receiver; a link keeps the order
        std::uint64_t timer = 0;
    };
    struct Page {
        int from = 0;
        int to = 0;
        int end = 0; // of the topic
        Instant readAt;
        int transferred = 0;    // records: 1 for a listing, as they all have one key
        bool isLeftOut = false; // the records were too large to pass on
    };
    static constexpr Milliseconds storeLatency{4};
    static constexpr Milliseconds linkLatency{2};

    void markHarmed(const HostId &id) { hosts_.at(id)->harmedAt = now(); }

    void assignGroups()
    {
        for (auto &[id, host] : hosts_) {
            host->groups.assign(grouped_, id);
            if (options_.firstTurnSpread.count() > 0) {
                host->schedule.setFirstTurn(options_.firstTurnSpread, options_.firstTurnSpread, host->linkMbps);
                wake(*host);
                continue;
            }
            host->schedule.setTurn(
                host->groups.failoverDelay(id, topic), host->groups.longestFailoverDelay(), options_.storeMbps > 0 ? host->groups.slowestLinkMbps() : 0);
            wake(*host);
        }
    }

    /// Runs `action` on the host's thread.
    void onHost(Host &host, std::function<void()> action)
    {
        if (!host.isAlive) {
            return;
        }
        if (const auto free = std::max(host.suspendedUntil, host.busyUntil); now() < free) {
            at(free, [this, &host, action] { onHost(host, action); });
            return;
        }
        action();
    }

    void wake(Host &host)
    {
        const auto timer = ++host.timer;
        at(std::max(now(), host.schedule.nextRead()), [this, &host, timer] {
            onHost(host, [this, &host, timer] {
                if (timer != host.timer || host.isReading) {
                    return;
                }
                if (now() >= host.schedule.nextRead()) {
                    read(host);
                } else {
                    wake(host);
                }
            });
        });
    }

    void read(Host &host)
    {
        ++reads_;
        host.isReading = true;
        host.schedule.onReadBegun(now());
        const auto begunAt = now();
        const auto wait = host.schedule.wait();
        if (outage_ == Outage::Refusing && !host.isCut) {
            at(now() + storeLatency, [this, &host] { onHost(host, [this, &host] { finishRead(host, nullptr); }); });
            return;
        }
        if (outage_ == Outage::Silent || host.isCut) {
            at(now() + wait + options_.callTimeout, [this, &host] { onHost(host, [this, &host] { finishRead(host, nullptr); }); });
            return;
        }
        const auto from = host.known;
        const auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [this, &host, from, begunAt, isAnswered] {
            if (std::exchange(*isAnswered, true)) {
                return;
            }
            const bool isLost = outage_ == Outage::Silent || host.isCut;
            const auto page = isLost ? nullptr : std::make_shared<Page>(pageFrom(host, from, begunAt));
            const auto arrival = isLost ? now() + options_.callTimeout : transfer(host, *page);
            at(arrival, [this, &host, page] { onHost(host, [this, &host, page] { finishRead(host, page); }); });
        };
        if (records_ > from) {
            answer();
        } else {
            heldReads_.emplace_back(answer);
            at(now() + wait, answer);
        }
    }

    [[nodiscard]] Page pageFrom(const Host &host, int from, Instant begunAt) const
    {
        int to = records_;
        if (options_.recordBytes > 0 && !host.needsListing) {
            to = std::min<int>(to, from + 1 + static_cast<int>(options_.maxPageBytes / options_.recordBytes));
        }
        return {.from = from, .to = to, .end = records_, .readAt = begunAt, .transferred = host.needsListing ? 1 : to - from};
    }

    static Milliseconds duration(std::int64_t bytes, double mbps)
    {
        constexpr double bitsPerByte = 8;
        constexpr double bitsPerMsAndMbps = 1'000;
        return Milliseconds(mbps > 0 ? static_cast<std::int64_t>(static_cast<double>(bytes) * bitsPerByte / (mbps * bitsPerMsAndMbps)) : 0);
    }

    /// When the host has the whole page: the links of store and host each carry one page after the other.
    Instant transfer(Host &host, const Page &page)
    {
        const auto bytes = page.transferred * options_.recordBytes;
        if (options_.storeMbps <= 0) {
            return now() + storeLatency;
        }
        storeFreeAt_ = std::max(storeFreeAt_, now()) + duration(bytes, options_.storeMbps);
        host.linkFreeAt = std::max(host.linkFreeAt, now()) + duration(bytes, host.linkMbps);
        return std::max(storeFreeAt_, host.linkFreeAt) + storeLatency;
    }

    void finishRead(Host &host, const std::shared_ptr<Page> &page)
    {
        host.isReading = false;
        if (!page) {
            host.schedule.onReadFailed(now(), true);
            wake(host);
            return;
        }
        const bool hasRecords = page->to > page->from;
        host.schedule.onRead(now(),
                             !hasRecords                ? PageExtent::Empty
                                 : page->to < page->end ? PageExtent::Cut
                                                        : PageExtent::Whole,
                             static_cast<std::size_t>((page->to - page->from) * options_.recordBytes));
        if (page->to > host.known || !hasRecords) {
            apply(host, *page);
            const auto left = static_cast<std::size_t>((page->end - page->to) * options_.recordBytes);
            const bool isListing = std::exchange(host.needsListing, isListingSooner(left, static_cast<std::size_t>(options_.recordBytes)));
            if (options_.arePagesShared && !isListing) {
                send(host, host.groups.shareTargets(topic), *page);
            }
        }
        wake(host);
    }

    void send(Host &host, const std::vector<HostId> &targets, const Page &page)
    {
        const auto bytes = (page.to - page.from) * options_.recordBytes;
        const bool isLeftOut = page.isLeftOut || static_cast<std::size_t>(bytes) > StorePages::maxSharedPageBytes;
        for (const auto &target : targets) {
            auto &arrival = host.lastArrival[target];
            arrival = std::max(arrival, now() + linkLatency + host.sendDelay);
            if (!isLeftOut && options_.storeMbps > 0) {
                auto &receiver = *hosts_.at(target);
                host.linkFreeAt = std::max(host.linkFreeAt, now()) + duration(bytes, host.linkMbps);
                receiver.linkFreeAt = std::max(receiver.linkFreeAt, now()) + duration(bytes, receiver.linkMbps);
                arrival = std::max({arrival, host.linkFreeAt, receiver.linkFreeAt});
            }
            at(arrival, [this, from = host.id, target, page = Page(page), isLeftOut]() mutable {
                page.isLeftOut = isLeftOut;
                auto &receiver = *hosts_.at(target);
                onHost(receiver, [this, from, &receiver, page] { receive(receiver, from, page); });
            });
        }
    }

    void receive(Host &host, const HostId &from, const Page &page)
    {
        send(host, host.groups.forwardTargets(from, topic), page);
        if (page.isLeftOut || page.from > host.known) {
            if (page.to > host.known) {
                host.knownEnd = std::max(host.knownEnd, page.to);
                host.schedule.onAppended(now());
                wake(host);
            }
            return;
        }
        if (page.from <= host.known && page.to >= host.known) {
            host.schedule.onPage(page.readAt);
            apply(host, page);
        }
    }

    void apply(Host &host, const Page &page)
    {
        const auto busyFrom = std::max(now(), host.busyUntil);
        host.busyUntil = busyFrom + options_.applyTime; // of the newest record
        for (int number = host.known + 1; number <= page.to; ++number) {
            host.appliedAt[number] = host.busyUntil;
        }
        host.known = std::max(host.known, page.to);
        if (host.known >= host.knownEnd) {
            host.schedule.onCaughtUp();
        }
    }

    Options options_;
    std::vector<GroupedHost> grouped_; // live ones
    std::map<HostId, std::unique_ptr<Host>> hosts_;
    int records_ = 0;
    Instant storeFreeAt_;
    std::vector<std::function<void()>> heldReads_;
    Outage outage_ = Outage::None;
    int reads_ = 0;
};

} // namespace baobabstall::serving::tests
