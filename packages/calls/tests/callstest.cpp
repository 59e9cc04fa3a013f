#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <calls/calls.h>

using namespace baobabstall::calls;
using baobabstall::core::Error;
using baobabstall::core::Outcome;
using baobabstall::core::Refusal;

namespace {

constexpr int partitionNumber = 3;
const IdempotencyKey key{CustomerId("surf-camp"), "booking-1"};

/// The log stream; offsets start at 1.
struct Log {
    std::vector<CallRecord> records;
    std::uint64_t add(const CallRecord &record)
    {
        records.push_back(record);
        return records.size();
    }
};

/// Executes the actions of a partition, as its owner does.
struct Owner {
    Owner(const std::string &host, std::uint64_t incarnation)
        : partition(partitionNumber, {HostId(host), Incarnation(incarnation)})
    { }

    void execute(const std::vector<Action> &decisions)
    {
        for (const auto &decision : decisions) {
            if (const auto *append = std::get_if<Append>(&decision)) {
                outbox.push_back(append->record);
            } else if (const auto *run = std::get_if<Run>(&decision)) {
                runs.push_back(run->key);
            } else {
                notRun.push_back(std::get<NotRun>(decision).key);
            }
        }
    }

    void read(const Log &log)
    {
        while (lastRead < log.records.size()) {
            ++lastRead;
            execute(partition.onRecord(Offset(lastRead), log.records[lastRead - 1]));
        }
        execute(partition.onCaughtUp());
    }

    /// Stores all records that wait to be appended, and reads them back.
    void appendAndRead(Log &log)
    {
        do {
            for (const auto &record : std::exchange(outbox, {})) {
                log.add(record);
                partition.onAppended(record.id);
            }
            read(log);
        } while (!outbox.empty());
    }

    void beginServing(Log &log, std::uint64_t epoch)
    {
        read(log);
        execute(partition.beginOwnership(Epoch(epoch)));
        appendAndRead(log);
    }

    CallRecord beginCall(const IdempotencyKey &callKey = key, std::uint64_t digest = 1)
    {
        auto beginResult = partition.begin(callKey, digest);
        EXPECT_TRUE(std::holds_alternative<AppendIntent>(beginResult)) << beginResult.index();
        return std::get<AppendIntent>(beginResult).record;
    }

    /// Begins a call with `key` and runs it to completion.
    void runToCompletion(Log &log, const CallResult &result)
    {
        outbox.push_back(beginCall());
        appendAndRead(log);
        EXPECT_EQ(runs, std::vector<IdempotencyKey>{key});
        execute(partition.finished(key, result));
        appendAndRead(log);
    }

    CallPartition partition;
    std::size_t lastRead = 0;
    std::vector<CallRecord> outbox;
    std::vector<IdempotencyKey> runs;
    std::vector<IdempotencyKey> notRun;
};

const CallResult bookedResult{Outcome::Ran, 201, "application/json", R"({"booking":17})", true};

struct Calls : testing::Test {
    Log log;
    Owner a{"a", 1};
    Owner b{"b", 1};
};

template<typename T>
bool is(const BeginResult &beginResult)
{
    return std::holds_alternative<T>(beginResult);
}

} // namespace

TEST_F(Calls, ARepeatedCallGetsTheRecordedResult)
{
    a.beginServing(log, 10);
    a.runToCompletion(log, bookedResult);
    EXPECT_EQ(std::get<Replay>(a.partition.begin(key, 1)).result, bookedResult);
    EXPECT_TRUE(is<Conflict>(a.partition.begin(key, 2)));
    b.beginServing(log, 20);
    EXPECT_EQ(std::get<Replay>(b.partition.begin(key, 1)).result, bookedResult);
    EXPECT_TRUE(is<Conflict>(b.partition.begin(key, 2)));
    EXPECT_EQ(a.partition.keyCount(), 1U);
}

TEST_F(Calls, ConcurrentCallsWithTheSameKeyRunOnce)
{
    a.beginServing(log, 10);
    a.outbox.push_back(a.beginCall());
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1)));
    EXPECT_TRUE(is<Conflict>(a.partition.begin(key, 2)));
    a.appendAndRead(log);
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1)));
    EXPECT_EQ(a.runs.size(), 1U);
    EXPECT_FALSE(a.partition.isIdle());
    a.execute(a.partition.finished(key, bookedResult));
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1)));
    EXPECT_FALSE(a.partition.isIdle()) << "the result is not written yet";
    a.appendAndRead(log);
    EXPECT_TRUE(a.partition.isIdle());
}

TEST_F(Calls, KeysOfDifferentCustomersAreIndependent)
{
    a.beginServing(log, 10);
    a.runToCompletion(log, bookedResult);
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin({CustomerId("board-shop"), key.key}, 1)));
}

TEST_F(Calls, NoCallStartsBeforeTheOwnFenceIsReadBack)
{
    auto refused = std::get<Refused>(a.partition.begin(key, 1)).why;
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
    EXPECT_TRUE(refused.retryAfter);
    a.execute(a.partition.beginOwnership(Epoch(10)));
    EXPECT_TRUE(is<Refused>(a.partition.begin(key, 1)));
    a.appendAndRead(log);
    EXPECT_TRUE(a.partition.isServing());
}

TEST_F(Calls, ALogThatIsDownRefusesNewKeysAndNotifiesWaitingCallers)
{
    a.beginServing(log, 10);
    a.runToCompletion(log, bookedResult);
    IdempotencyKey waiting{key.customer, "booking-2"};
    auto record = a.beginCall(waiting);
    a.partition.onAppendUnknown(record.id);
    a.execute(a.partition.onLogDown());
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{waiting}) << "immediately, not near its deadline";
    auto refused = std::get<Refused>(a.partition.begin({key.customer, "booking-3"}, 1)).why;
    EXPECT_EQ(refused.refusal, Refusal::Unavailable);
    EXPECT_EQ(refused.retryAfter, CallPartition::logDownRetryAfter);
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1))) << "a known result does not need the log";
    log.add(record); // it was stored after all
    a.appendAndRead(log);
    EXPECT_EQ(a.runs.size(), 1U) << "the caller was already told not_run";
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin(waiting, 1))) << "the key is free again";
}

TEST_F(Calls, ACallerThatRetriesResumesTheAbandonedIntent)
{
    a.beginServing(log, 10);
    auto record = a.beginCall();
    a.partition.onAppendUnknown(record.id);
    a.execute(a.partition.abandon(key));
    EXPECT_EQ(a.notRun.size(), 1U);
    auto again = a.beginCall();
    EXPECT_EQ(again, record);
    a.outbox = {again, again};
    a.appendAndRead(log);
    EXPECT_EQ(a.runs.size(), 1U);
    EXPECT_TRUE(a.partition.abandon(key).empty()) << "it is running; not_run would be false";
}

TEST_F(Calls, AnAppendWhoseReplyIsLostIsReadBackOrRetried)
{
    a.beginServing(log, 10);
    auto record = a.beginCall();
    a.partition.onAppendUnknown(record.id);
    a.read(log);
    EXPECT_TRUE(a.outbox.empty()) << "that read may have started before the append was stored";
    a.read(log);
    ASSERT_EQ(a.outbox, std::vector<CallRecord>{record}) << "the same record is appended again";
    log.add(record); // the first append is stored as well
    a.appendAndRead(log);
    EXPECT_EQ(a.runs.size(), 1U);
}

TEST_F(Calls, ARefusedAppendIsNotRunAndFreesTheKey)
{
    a.beginServing(log, 10);
    a.execute(a.partition.onAppendRefused(a.beginCall().id));
    EXPECT_EQ(a.notRun.size(), 1U);
    EXPECT_EQ(a.partition.keyCount(), 0U);
    auto record = a.beginCall();
    a.partition.onAppendUnknown(record.id);
    a.read(log);
    a.read(log);
    a.execute(a.partition.onAppendRefused(record.id));
    EXPECT_EQ(a.notRun.size(), 1U) << "the first attempt may still be stored";
}

TEST_F(Calls, AnOwnerKilledBetweenIntentAndCallLeavesUnknown)
{
    a.beginServing(log, 10);
    log.add(a.beginCall());
    b.beginServing(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    EXPECT_TRUE(is<Conflict>(b.partition.begin(key, 2)));
    EXPECT_TRUE(b.runs.empty());
}

TEST_F(Calls, AnOwnerKilledBetweenCallAndResultLeavesUnknown)
{
    a.beginServing(log, 10);
    a.outbox.push_back(a.beginCall());
    a.appendAndRead(log);
    EXPECT_EQ(a.runs.size(), 1U);
    b.beginServing(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    a.execute(a.partition.finished(key, bookedResult)); // not killed, only slow
    a.appendAndRead(log);
    b.read(log);
    EXPECT_EQ(std::get<Replay>(b.partition.begin(key, 1)).result, bookedResult) << "a result counts even if it is recorded after the fence";
}

TEST_F(Calls, AnOldOwnersIntentAfterTheFenceIsVoidForAllReaders)
{
    a.beginServing(log, 10);
    auto late = a.beginCall(); // frozen while the append is in flight
    b.beginServing(log, 20);
    log.add(late);
    b.read(log);
    b.runToCompletion(log, bookedResult);
    a.read(log);
    EXPECT_TRUE(a.runs.empty());
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{key}) << "correct: this attempt did not run it";
    EXPECT_FALSE(a.partition.isServing());
    EXPECT_EQ(std::get<Replay>(a.partition.begin(key, 1)).result, bookedResult);
}

TEST_F(Calls, ACallerWhoseIntentIsNeverStoredIsNotifiedAtTheSuccessorsFence)
{
    a.beginServing(log, 10);
    a.partition.onAppendUnknown(a.beginCall().id);
    b.beginServing(log, 20);
    a.read(log);
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{key});
    EXPECT_TRUE(a.partition.isIdle());
}

TEST_F(Calls, AnOldOwnerThatResumesAfterReadingItsIntentIsTheOnlyOneThatRuns)
{
    a.beginServing(log, 10);
    a.outbox.push_back(a.beginCall());
    a.appendAndRead(log); // frozen between the Run action and the call
    b.beginServing(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    EXPECT_EQ(a.runs.size() + b.runs.size(), 1U);
}

TEST_F(Calls, ALateFenceOfAnOldOwnerIsIgnored)
{
    a.execute(a.partition.beginOwnership(Epoch(10)));
    b.beginServing(log, 20);
    a.appendAndRead(log);
    EXPECT_FALSE(a.partition.isServing());
    b.read(log);
    EXPECT_TRUE(b.partition.isServing());
}

TEST_F(Calls, ARunThatCouldNotStartFreesTheKeyOnceItIsRecorded)
{
    a.beginServing(log, 10);
    a.outbox.push_back(a.beginCall());
    a.appendAndRead(log);
    a.execute(a.partition.finished(key, {Outcome::NotRun, 0, "", "", true}));
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1))) << "other readers do not know yet";
    auto first = log.records.back();
    a.appendAndRead(log);
    log.add(first); // a duplicate of the intent that was not run
    a.appendAndRead(log);
    a.runs.clear();
    a.runToCompletion(log, bookedResult);
    b.beginServing(log, 20);
    EXPECT_TRUE(is<Replay>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AnUnknownResultIsNeverRunAgain)
{
    a.beginServing(log, 10);
    a.runToCompletion(log, {Outcome::Unknown, 0, "", "", true});
    EXPECT_TRUE(is<OutcomeUnknown>(a.partition.begin(key, 1)));
    b.beginServing(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AKeyIsNewAfterTheRetentionTime)
{
    a.beginServing(log, 10);
    a.runToCompletion(log, bookedResult);
    a.partition.trim(Offset(log.records.size()));
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1))) << "its result is still kept";
    a.partition.trim(Offset(log.records.size() + 1));
    EXPECT_EQ(a.partition.keyCount(), 0U);
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin(key, 1)));
}

TEST_F(Calls, AReaderThatStartsAfterTheFenceTreatsIntentsAsStarted)
{
    a.beginServing(log, 10);
    log.add(a.beginCall());
    b.lastRead = 1; // the fence has expired
    b.beginServing(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AnOwnerSuspendedPastTheRetentionReadsTheRefreshedFence)
{
    a.beginServing(log, 10);
    auto late = a.beginCall();
    b.beginServing(log, 20);
    b.execute(b.partition.refreshFence());
    a.lastRead = log.records.size(); // all earlier records have expired
    b.appendAndRead(log);
    log.add(late);
    a.read(log);
    EXPECT_TRUE(a.runs.empty());
}

TEST_F(Calls, BodiesAboveTheMemoryLimitAreDroppedOldestFirst)
{
    a.beginServing(log, 10);
    std::string body(CallPartition::maxRetainedBodyBytes / 4, 'x');
    for (int at = 0; at < 6; ++at) {
        IdempotencyKey next{key.customer, std::to_string(at)};
        a.outbox.push_back(a.beginCall(next));
        a.appendAndRead(log);
        a.execute(a.partition.finished(next, {Outcome::Ran, 200, "", body, true}));
        a.appendAndRead(log);
    }
    EXPECT_LE(a.partition.approximateBytes(), CallPartition::maxRetainedBodyBytes + 10'000);
    auto oldest = std::get<Replay>(a.partition.begin({key.customer, "0"}, 1)).result;
    EXPECT_FALSE(oldest.bodyKept);
    EXPECT_EQ(oldest.status, 200);
    EXPECT_EQ(std::get<Replay>(a.partition.begin({key.customer, "5"}, 1)).result.body, body);
}

TEST_F(Calls, AnInvalidKeyIsRefused)
{
    a.beginServing(log, 10);
    for (const std::string &bad : {std::string(), std::string(256, 'x'), std::string("a b"), std::string("\xff"), std::string("a\n")}) {
        EXPECT_EQ(std::get<Refused>(a.partition.begin({key.customer, bad}, 1)).why.refusal, Refusal::BadRequest);
    }
}

TEST(CallRecord, SurvivesARoundTripThroughJson)
{
    Error why;
    CallRecord open{RecordKind::Open, "a/1/3/1", 3, Epoch(10), {}, 0, "", {}};
    CallRecord intent{RecordKind::Intent, "a/1/3/2", 3, Epoch(10), key, ~0ULL, "", {}};
    CallRecord result{RecordKind::Result, "a/1/3/3", 3, Epoch(10), key, 5, "a/1/3/2", bookedResult};
    for (const auto &record : {open, intent, result}) {
        EXPECT_EQ(recordFromJson(toJson(record), why), record);
    }
    result.result.body = "\xff\xfe";
    auto read = recordFromJson(toJson(result), why);
    ASSERT_TRUE(read);
    EXPECT_FALSE(read->result.bodyKept) << "never a body that differs from that of the service";
    EXPECT_TRUE(read->result.body.empty());
}

TEST(CallRecord, MalformedTextIsAnErrorAndDoesNotThrow)
{
    auto good = toJson({RecordKind::Result, "a/1/3/3", 3, Epoch(10), key, 5, "a/1/3/2", bookedResult});
    std::mt19937 random(1);
    Error why;
    for (int round = 0; round < 5'000; ++round) {
        auto bad = good.substr(0, random() % (good.size() + 1));
        if (!bad.empty()) {
            bad[random() % bad.size()] = static_cast<char>(random());
        }
        auto record = recordFromJson(bad, why);
        EXPECT_TRUE(!record || recordFromJson(toJson(*record), why)) << bad;
    }
    EXPECT_FALSE(recordFromJson("{}", why));
    EXPECT_EQ(why.step, baobabstall::core::Step::Record);
}

TEST(Partition, IsEvenlySpreadAndStable)
{
    std::vector<int> hits(64);
    for (int at = 0; at < 6'400; ++at) {
        ++hits[static_cast<std::size_t>(partitionOf({CustomerId("c"), std::to_string(at)}, 64))];
    }
    EXPECT_GT(*std::min_element(hits.begin(), hits.end()), 50);
    EXPECT_EQ(partitionOf(key, 64), partitionOf(key, 64));
    EXPECT_NE(requestDigest("POST", "/a", "b"), requestDigest("POST", "/ab", ""));
}

namespace {

/// Runs a random schedule on three hosts and counts the actual runs: any host may become owner at any time and learn of it late; appends
/// are stored late, twice or never; replies are lost; hosts are frozen, killed and restarted; the log is down.
class Model
{
public:
    explicit Model(unsigned seed)
        : random_(seed)
    {
        for (auto &host : hosts_) {
            restart(host);
        }
    }

    void run()
    {
        for (int step = 0; step < 400 && !testing::Test::HasFailure(); ++step) {
            auto &host = hosts_[random_() % hosts_.size()];
            act(host);
        }
    }

    int runs() const { return totalRuns_; }
    int replays() const { return replays_; }

private:
    struct Host {
        std::unique_ptr<Owner> owner;
        std::set<IdempotencyKey> waiting; // attempts without a final response
    };
    struct InFlightAppend {
        CallRecord record;
        Host *host;
        bool isAnswered;
    };

    void act(Host &host)
    {
        auto &owner = *host.owner;
        auto choice = random_() % 100;
        if (choice < 1) {
            restart(host);
        } else if (choice < 4) {
            owner.read(log_); // an owner reads up to the time of its claim before it takes ownership
            execute(host, owner.partition.beginOwnership(Epoch(++epoch_)));
        } else if (choice < 5) {
            owner.partition.endOwnership();
        } else if (choice < 7) {
            execute(host, owner.partition.onLogDown());
        } else if (choice < 10) {
            giveUp(host);
        } else if (choice < 35) {
            completeAppend();
        } else if (choice < 60) {
            read(host);
        } else if (choice < 75) {
            callService(host);
        } else {
            begin(host);
        }
        for (auto &record : std::exchange(host.owner->outbox, {})) {
            inFlightAppends_.push_back({record, &host, false});
        }
        checkCallers(host);
    }

    void execute(Host &host, const std::vector<Action> &decisions) { host.owner->execute(decisions); }

    /// Checks what the actions mean for the callers.
    void checkCallers(Host &host)
    {
        for (const auto &callKey : std::exchange(host.owner->notRun, {})) {
            EXPECT_EQ(host.waiting.erase(callKey), 1U) << "not_run without an open attempt";
        }
        for (const auto &callKey : host.owner->runs) {
            EXPECT_TRUE(host.waiting.contains(callKey)) << "run without an open attempt";
        }
    }

    void restart(Host &host)
    {
        auto name = std::to_string(&host - hosts_.data());
        host.owner = std::make_unique<Owner>(name, ++incarnation_);
        host.waiting.clear();
    }

    void read(Host &host)
    {
        auto &owner = *host.owner;
        auto upTo = owner.lastRead + random_() % (log_.records.size() - owner.lastRead + 1);
        while (owner.lastRead < upTo) {
            ++owner.lastRead;
            execute(host, owner.partition.onRecord(Offset(owner.lastRead), log_.records[owner.lastRead - 1]));
        }
        if (upTo == log_.records.size()) {
            execute(host, owner.partition.onCaughtUp());
        }
    }

    void begin(Host &host)
    {
        IdempotencyKey callKey{CustomerId("c"), std::to_string(random_() % 6)};
        auto beginResult = host.owner->partition.begin(callKey, 1);
        if (const auto *intent = std::get_if<AppendIntent>(&beginResult)) {
            EXPECT_TRUE(host.waiting.insert(callKey).second);
            inFlightAppends_.push_back({intent->record, &host, false});
        } else if (const auto *replay = std::get_if<Replay>(&beginResult)) {
            ++replays_;
            EXPECT_EQ(runsOf_[callKey], 1);
            EXPECT_EQ(replay->result.body, results_[callKey]);
        }
    }

    void giveUp(Host &host)
    {
        if (!host.waiting.empty()) {
            execute(host, host.owner->partition.abandon(*host.waiting.begin()));
        }
    }

    /// Completes an append: stored, stored with a late reply, refused, lost, or stored twice because a lower layer retried it.
    void completeAppend()
    {
        if (inFlightAppends_.empty()) {
            return;
        }
        auto at = inFlightAppends_.begin() + static_cast<std::ptrdiff_t>(random_() % inFlightAppends_.size());
        auto append = *at;
        unsigned end = random_() % 16;
        bool isTaken = end > 2;
        if (isTaken) {
            log_.add(append.record);
        }
        at->isAnswered = true;
        if (end != 3) {
            inFlightAppends_.erase(at); // otherwise the same record is stored once more later
        }
        if (append.isAnswered) {
            return;
        }
        auto &partition = append.host->owner->partition; // after a restart the host does not know the id
        if (end == 0) {
            execute(*append.host, partition.onAppendRefused(append.record.id));
        } else if (end <= 5) {
            partition.onAppendUnknown(append.record.id);
        } else {
            partition.onAppended(append.record.id);
        }
        checkCallers(*append.host);
    }

    /// Calls the service, which may be unreachable; the host may be killed before it records the result.
    void callService(Host &host)
    {
        auto &owner = *host.owner;
        if (owner.runs.empty()) {
            return;
        }
        auto callKey = owner.runs.back();
        owner.runs.pop_back();
        host.waiting.erase(callKey);
        if (random_() % 4 == 0) {
            execute(host, owner.partition.finished(callKey, {Outcome::NotRun, 0, "", "", true}));
            return;
        }
        ++totalRuns_;
        EXPECT_EQ(++runsOf_[callKey], 1) << "ran twice: " << callKey.key;
        results_[callKey] = std::to_string(totalRuns_);
        if (random_() % 8 == 0) {
            restart(host); // killed between call and result
            return;
        }
        execute(host, owner.partition.finished(callKey, {Outcome::Ran, 200, "", results_[callKey], true}));
    }

    std::mt19937 random_;
    Log log_;
    std::array<Host, 3> hosts_;
    std::vector<InFlightAppend> inFlightAppends_;
    std::uint64_t epoch_ = 0;
    std::uint64_t incarnation_ = 0;
    std::map<IdempotencyKey, int> runsOf_;
    std::map<IdempotencyKey, std::string> results_;
    int totalRuns_ = 0;
    int replays_ = 0;
};

} // namespace

TEST(CallsModel, NoKeyEverRunsTwiceInTenThousandSchedules)
{
    int runs = 0;
    int replays = 0;
    for (unsigned seed = 1; seed <= 10'000; ++seed) {
        Model model(seed);
        model.run();
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
        runs += model.runs();
        replays += model.replays();
    }
    EXPECT_GT(runs, 10'000);
    EXPECT_GT(replays, 1'000);
}
