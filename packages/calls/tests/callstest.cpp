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

constexpr int number = 3;
const IdempotencyKey key{CustomerId("surf-camp"), "booking-1"};

/// The stream; a daemon that reads it back sees offsets from 1.
struct Log {
    std::vector<CallRecord> records;
    std::uint64_t add(const CallRecord &record)
    {
        records.push_back(record);
        return records.size();
    }
};

/// One owner's loop around its partition.
struct Owner {
    Owner(const std::string &host, std::uint64_t incarnation)
        : partition(number, {HostId(host), Incarnation(incarnation)})
    { }

    void take(const std::vector<Action> &decisions)
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
        while (readTo < log.records.size()) {
            ++readTo;
            take(partition.onRecord(Offset(readTo), log.records[readTo - 1]));
        }
        take(partition.onCaughtUp());
    }

    /// Everything that waits to be appended is taken, and read back.
    void settle(Log &log)
    {
        do {
            for (const auto &record : std::exchange(outbox, {})) {
                log.add(record);
                partition.onAppended(record.id);
            }
            read(log);
        } while (!outbox.empty());
    }

    void open(Log &log, std::uint64_t epoch)
    {
        read(log);
        take(partition.beginOwnership(Epoch(epoch)));
        settle(log);
    }

    CallRecord intent(const IdempotencyKey &of = key, std::uint64_t digest = 1)
    {
        auto answer = partition.begin(of, digest);
        EXPECT_TRUE(std::holds_alternative<AppendIntent>(answer)) << answer.index();
        return std::get<AppendIntent>(answer).record;
    }

    /// Begins `key` and runs it to the end.
    void runWhole(Log &log, const CallResult &result)
    {
        outbox.push_back(intent());
        settle(log);
        EXPECT_EQ(runs, std::vector<IdempotencyKey>{key});
        take(partition.finished(key, result));
        settle(log);
    }

    CallPartition partition;
    std::size_t readTo = 0;
    std::vector<CallRecord> outbox;
    std::vector<IdempotencyKey> runs;
    std::vector<IdempotencyKey> notRun;
};

const CallResult booked{Outcome::Ran, 201, "application/json", R"({"booking":17})", true};

struct Calls : testing::Test {
    Log log;
    Owner a{"a", 1};
    Owner b{"b", 1};
};

template<typename T>
bool is(const BeginResult &answer)
{
    return std::holds_alternative<T>(answer);
}

} // namespace

TEST_F(Calls, ARepeatGetsTheRecordedResult)
{
    a.open(log, 10);
    a.runWhole(log, booked);
    EXPECT_EQ(std::get<Replay>(a.partition.begin(key, 1)).result, booked);
    EXPECT_TRUE(is<Conflict>(a.partition.begin(key, 2)));
    b.open(log, 20);
    EXPECT_EQ(std::get<Replay>(b.partition.begin(key, 1)).result, booked);
    EXPECT_TRUE(is<Conflict>(b.partition.begin(key, 2)));
    EXPECT_EQ(a.partition.keyCount(), 1U);
}

TEST_F(Calls, TheSameKeyAtTheSameTimeRunsOnce)
{
    a.open(log, 10);
    a.outbox.push_back(a.intent());
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1)));
    EXPECT_TRUE(is<Conflict>(a.partition.begin(key, 2)));
    a.settle(log);
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1)));
    EXPECT_EQ(a.runs.size(), 1U);
    EXPECT_FALSE(a.partition.isIdle());
    a.take(a.partition.finished(key, booked));
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1)));
    EXPECT_FALSE(a.partition.isIdle()) << "the result is not written yet";
    a.settle(log);
    EXPECT_TRUE(a.partition.isIdle());
}

TEST_F(Calls, AnotherCustomersKeyIsAnotherKey)
{
    a.open(log, 10);
    a.runWhole(log, booked);
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin({CustomerId("board-shop"), key.key}, 1)));
}

TEST_F(Calls, NothingBeginsBeforeTheOwnFenceIsReadBack)
{
    auto refused = std::get<Refused>(a.partition.begin(key, 1)).why;
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
    EXPECT_TRUE(refused.retryAfter);
    a.take(a.partition.beginOwnership(Epoch(10)));
    EXPECT_TRUE(is<Refused>(a.partition.begin(key, 1)));
    a.settle(log);
    EXPECT_TRUE(a.partition.isServing());
}

TEST_F(Calls, TheLogDownRefusesNewKeysAndTellsWaitingCallers)
{
    a.open(log, 10);
    a.runWhole(log, booked);
    IdempotencyKey waiting{key.customer, "booking-2"};
    auto record = a.intent(waiting);
    a.partition.onAppendUnknown(record.id);
    a.take(a.partition.onLogDown());
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{waiting}) << "at once, not near its deadline";
    auto refused = std::get<Refused>(a.partition.begin({key.customer, "booking-3"}, 1)).why;
    EXPECT_EQ(refused.refusal, Refusal::Unavailable);
    EXPECT_EQ(refused.retryAfter, CallPartition::logDownRetryAfter);
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1))) << "a known result needs no log";
    log.add(record); // it was taken after all
    a.settle(log);
    EXPECT_EQ(a.runs.size(), 1U) << "the caller was told not_run";
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin(waiting, 1))) << "the key is free again";
}

TEST_F(Calls, ACallerThatComesAgainTakesOverTheGivenUpIntent)
{
    a.open(log, 10);
    auto record = a.intent();
    a.partition.onAppendUnknown(record.id);
    a.take(a.partition.abandon(key));
    EXPECT_EQ(a.notRun.size(), 1U);
    auto again = a.intent();
    EXPECT_EQ(again, record);
    a.outbox = {again, again};
    a.settle(log);
    EXPECT_EQ(a.runs.size(), 1U);
    EXPECT_TRUE(a.partition.abandon(key).empty()) << "it runs; not_run would be false";
}

TEST_F(Calls, AnAppendWhoseAnswerIsLostIsReadBackOrTriedAgain)
{
    a.open(log, 10);
    auto record = a.intent();
    a.partition.onAppendUnknown(record.id);
    a.read(log);
    EXPECT_TRUE(a.outbox.empty()) << "that read may have been in flight before";
    a.read(log);
    ASSERT_EQ(a.outbox, std::vector<CallRecord>{record}) << "the same record again";
    log.add(record); // the first one lands as well
    a.settle(log);
    EXPECT_EQ(a.runs.size(), 1U);
}

TEST_F(Calls, ARefusedAppendIsNotRunAndLeavesTheKeyFree)
{
    a.open(log, 10);
    a.take(a.partition.onAppendRefused(a.intent().id));
    EXPECT_EQ(a.notRun.size(), 1U);
    EXPECT_EQ(a.partition.keyCount(), 0U);
    auto record = a.intent();
    a.partition.onAppendUnknown(record.id);
    a.read(log);
    a.read(log);
    a.take(a.partition.onAppendRefused(record.id));
    EXPECT_EQ(a.notRun.size(), 1U) << "the first try may still be taken";
}

TEST_F(Calls, TheOwnerKilledBetweenIntentAndCallLeavesUnknown)
{
    a.open(log, 10);
    log.add(a.intent());
    b.open(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    EXPECT_TRUE(is<Conflict>(b.partition.begin(key, 2)));
    EXPECT_TRUE(b.runs.empty());
}

TEST_F(Calls, TheOwnerKilledBetweenCallAndResultLeavesUnknown)
{
    a.open(log, 10);
    a.outbox.push_back(a.intent());
    a.settle(log);
    EXPECT_EQ(a.runs.size(), 1U);
    b.open(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    a.take(a.partition.finished(key, booked)); // not killed, only slow
    a.settle(log);
    b.read(log);
    EXPECT_EQ(std::get<Replay>(b.partition.begin(key, 1)).result, booked) << "a true result counts behind the fence as well";
}

TEST_F(Calls, AnOldOwnersIntentBehindTheFenceIsVoidForAll)
{
    a.open(log, 10);
    auto late = a.intent(); // frozen while the append is on its way
    b.open(log, 20);
    log.add(late);
    b.read(log);
    b.runWhole(log, booked);
    a.read(log);
    EXPECT_TRUE(a.runs.empty());
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{key}) << "true: it was not run by this attempt";
    EXPECT_FALSE(a.partition.isServing());
    EXPECT_EQ(std::get<Replay>(a.partition.begin(key, 1)).result, booked);
}

TEST_F(Calls, ACallerWhoseIntentNeverLandsIsToldAtTheSuccessorsFence)
{
    a.open(log, 10);
    a.partition.onAppendUnknown(a.intent().id);
    b.open(log, 20);
    a.read(log);
    EXPECT_EQ(a.notRun, std::vector<IdempotencyKey>{key});
    EXPECT_TRUE(a.partition.isIdle());
}

TEST_F(Calls, AnOldOwnerThatWakesBehindItsReadIntentIsTheOnlyOneThatRuns)
{
    a.open(log, 10);
    a.outbox.push_back(a.intent());
    a.settle(log); // Run was decided; frozen before the call
    b.open(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
    EXPECT_EQ(a.runs.size() + b.runs.size(), 1U);
}

TEST_F(Calls, ALateFenceOfAnOldOwnerMeansNothing)
{
    a.take(a.partition.beginOwnership(Epoch(10)));
    b.open(log, 20);
    a.settle(log);
    EXPECT_FALSE(a.partition.isServing());
    b.read(log);
    EXPECT_TRUE(b.partition.isServing());
}

TEST_F(Calls, ARunThatCouldNotBeginFreesTheKeyOnceThatIsRecorded)
{
    a.open(log, 10);
    a.outbox.push_back(a.intent());
    a.settle(log);
    a.take(a.partition.finished(key, {Outcome::NotRun, 0, "", "", true}));
    EXPECT_TRUE(is<AlreadyRunning>(a.partition.begin(key, 1))) << "other readers do not know yet";
    auto first = log.records.back();
    a.settle(log);
    log.add(first); // a second copy of the freed intent
    a.settle(log);
    a.runs.clear();
    a.runWhole(log, booked);
    b.open(log, 20);
    EXPECT_TRUE(is<Replay>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AnUnknownResultIsNeverRunAgain)
{
    a.open(log, 10);
    a.runWhole(log, {Outcome::Unknown, 0, "", "", true});
    EXPECT_TRUE(is<OutcomeUnknown>(a.partition.begin(key, 1)));
    b.open(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AfterTheWindowAKeyIsNew)
{
    a.open(log, 10);
    a.runWhole(log, booked);
    a.partition.trim(Offset(log.records.size()));
    EXPECT_TRUE(is<Replay>(a.partition.begin(key, 1))) << "its result is still kept";
    a.partition.trim(Offset(log.records.size() + 1));
    EXPECT_EQ(a.partition.keyCount(), 0U);
    EXPECT_TRUE(is<AppendIntent>(a.partition.begin(key, 1)));
}

TEST_F(Calls, AReaderThatStartsBehindTheFenceTakesIntentsForBegun)
{
    a.open(log, 10);
    log.add(a.intent());
    b.readTo = 1; // the fence expired
    b.open(log, 20);
    EXPECT_TRUE(is<OutcomeUnknown>(b.partition.begin(key, 1)));
}

TEST_F(Calls, AnOwnerThatSleptPastTheRetentionFindsTheRefreshedFence)
{
    a.open(log, 10);
    auto late = a.intent();
    b.open(log, 20);
    b.take(b.partition.refreshFence());
    a.readTo = log.records.size(); // what stood before expired
    b.settle(log);
    log.add(late);
    a.read(log);
    EXPECT_TRUE(a.runs.empty());
}

TEST_F(Calls, BodiesBeyondTheBoundAreDroppedOldestFirst)
{
    a.open(log, 10);
    std::string body(CallPartition::maxRetainedBodyBytes / 4, 'x');
    for (int at = 0; at < 6; ++at) {
        IdempotencyKey next{key.customer, std::to_string(at)};
        a.outbox.push_back(a.intent(next));
        a.settle(log);
        a.take(a.partition.finished(next, {Outcome::Ran, 200, "", body, true}));
        a.settle(log);
    }
    EXPECT_LE(a.partition.approximateBytes(), CallPartition::maxRetainedBodyBytes + 10'000);
    auto oldest = std::get<Replay>(a.partition.begin({key.customer, "0"}, 1)).result;
    EXPECT_FALSE(oldest.bodyKept);
    EXPECT_EQ(oldest.status, 200);
    EXPECT_EQ(std::get<Replay>(a.partition.begin({key.customer, "5"}, 1)).result.body, body);
}

TEST_F(Calls, AKeyThatIsNoPlainTextIsRefused)
{
    a.open(log, 10);
    for (const std::string &bad : {std::string(), std::string(256, 'x'), std::string("a b"), std::string("\xff"), std::string("a\n")}) {
        EXPECT_EQ(std::get<Refused>(a.partition.begin({key.customer, bad}, 1)).why.refusal, Refusal::BadRequest);
    }
}

TEST(CallRecord, SurvivesItsText)
{
    Error why;
    CallRecord open{RecordKind::Open, "a/1/3/1", 3, Epoch(10), {}, 0, "", {}};
    CallRecord intent{RecordKind::Intent, "a/1/3/2", 3, Epoch(10), key, ~0ULL, "", {}};
    CallRecord result{RecordKind::Result, "a/1/3/3", 3, Epoch(10), key, 5, "a/1/3/2", booked};
    for (const auto &record : {open, intent, result}) {
        EXPECT_EQ(recordFromJson(toJson(record), why), record);
    }
    result.result.body = "\xff\xfe";
    auto read = recordFromJson(toJson(result), why);
    ASSERT_TRUE(read);
    EXPECT_FALSE(read->result.bodyKept) << "never another body than the service's";
    EXPECT_TRUE(read->result.body.empty());
}

TEST(CallRecord, GarbageIsAnErrorWithoutAThrow)
{
    auto good = toJson({RecordKind::Result, "a/1/3/3", 3, Epoch(10), key, 5, "a/1/3/2", booked});
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

TEST(Partition, IsSpreadAndStable)
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

/// Three hosts, epochs given to any of them at any time and told late, appends that land late, twice or never, answers lost, hosts
/// frozen, killed and restarted, the log down: a random schedule with a count of real runs.
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
        std::set<IdempotencyKey> waiting; // attempts without a final answer
    };
    struct Flight {
        CallRecord record;
        Host *host;
        bool isAnswered;
    };

    void act(Host &host)
    {
        auto &owner = *host.owner;
        auto chance = random_() % 100;
        if (chance < 1) {
            restart(host);
        } else if (chance < 4) {
            owner.read(log_); // an owner reads up to its claim's time before it owns
            take(host, owner.partition.beginOwnership(Epoch(++epoch_)));
        } else if (chance < 5) {
            owner.partition.endOwnership();
        } else if (chance < 7) {
            take(host, owner.partition.onLogDown());
        } else if (chance < 10) {
            giveUp(host);
        } else if (chance < 35) {
            land();
        } else if (chance < 60) {
            read(host);
        } else if (chance < 75) {
            call(host);
        } else {
            begin(host);
        }
        for (auto &record : std::exchange(host.owner->outbox, {})) {
            flights_.push_back({record, &host, false});
        }
        settle(host);
    }

    void take(Host &host, const std::vector<Action> &decisions) { host.owner->take(decisions); }

    /// Tells what the decisions meant for callers.
    void settle(Host &host)
    {
        for (const auto &of : std::exchange(host.owner->notRun, {})) {
            EXPECT_EQ(host.waiting.erase(of), 1U) << "not_run without an open attempt";
        }
        for (const auto &of : host.owner->runs) {
            EXPECT_TRUE(host.waiting.contains(of)) << "run without an open attempt";
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
        auto upTo = owner.readTo + random_() % (log_.records.size() - owner.readTo + 1);
        while (owner.readTo < upTo) {
            ++owner.readTo;
            take(host, owner.partition.onRecord(Offset(owner.readTo), log_.records[owner.readTo - 1]));
        }
        if (upTo == log_.records.size()) {
            take(host, owner.partition.onCaughtUp());
        }
    }

    void begin(Host &host)
    {
        IdempotencyKey of{CustomerId("c"), std::to_string(random_() % 6)};
        auto answer = host.owner->partition.begin(of, 1);
        if (const auto *intent = std::get_if<AppendIntent>(&answer)) {
            EXPECT_TRUE(host.waiting.insert(of).second);
            flights_.push_back({intent->record, &host, false});
        } else if (const auto *replay = std::get_if<Replay>(&answer)) {
            ++replays_;
            EXPECT_EQ(runsOf_[of], 1);
            EXPECT_EQ(replay->result.body, results_[of]);
        }
    }

    void giveUp(Host &host)
    {
        if (!host.waiting.empty()) {
            take(host, host.owner->partition.abandon(*host.waiting.begin()));
        }
    }

    /// An append ends: taken, taken and answered late, refused, lost, or taken twice by a second try somewhere below us.
    void land()
    {
        if (flights_.empty()) {
            return;
        }
        auto at = flights_.begin() + static_cast<std::ptrdiff_t>(random_() % flights_.size());
        auto flight = *at;
        unsigned end = random_() % 16;
        bool isTaken = end > 2;
        if (isTaken) {
            log_.add(flight.record);
        }
        at->isAnswered = true;
        if (end != 3) {
            flights_.erase(at); // else the same record lands once more later
        }
        if (flight.isAnswered) {
            return;
        }
        auto &partition = flight.host->owner->partition; // a later run of the host does not know the id
        if (end == 0) {
            take(*flight.host, partition.onAppendRefused(flight.record.id));
        } else if (end <= 5) {
            partition.onAppendUnknown(flight.record.id);
        } else {
            partition.onAppended(flight.record.id);
        }
        settle(*flight.host);
    }

    /// The service is called, or can't be reached; or the host stays silent for now.
    void call(Host &host)
    {
        auto &owner = *host.owner;
        if (owner.runs.empty()) {
            return;
        }
        auto of = owner.runs.back();
        owner.runs.pop_back();
        host.waiting.erase(of);
        if (random_() % 4 == 0) {
            take(host, owner.partition.finished(of, {Outcome::NotRun, 0, "", "", true}));
            return;
        }
        ++totalRuns_;
        EXPECT_EQ(++runsOf_[of], 1) << "ran twice: " << of.key;
        results_[of] = std::to_string(totalRuns_);
        if (random_() % 8 == 0) {
            restart(host); // killed between call and result
            return;
        }
        take(host, owner.partition.finished(of, {Outcome::Ran, 200, "", results_[of], true}));
    }

    std::mt19937 random_;
    Log log_;
    std::array<Host, 3> hosts_;
    std::vector<Flight> flights_;
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
