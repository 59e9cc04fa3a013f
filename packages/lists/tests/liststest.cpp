#include <random>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <lists/tests/fakelog.h>

namespace baobabstall::lists {

using core::Offset;
using testing::HasSubstr;
using Kind = Verdict::Kind;

namespace {

constexpr core::Milliseconds retention(86'400'000);

/// Appends a snapshot of what `writer` has in force.
void appendSnapshot(FakeLog &log, const ListsState &writer, ListName list, const std::string &group = "snapshot")
{
    core::Error why;
    const auto records = writer.snapshotRecords(list, log.nowMs, group, why);
    ASSERT_TRUE(records) << why.reason;
    for (const auto &record : *records) {
        log.append(record.text);
    }
}

/// A patch with `count` customers; large counts need several records.
std::string manyCustomers(int count, const std::string &plan)
{
    nlohmann::json patch;
    for (int i = 0; i < count; ++i) {
        const auto name = "camp-" + std::to_string(i);
        patch["customers"][name] = {{"plan", plan}, {"keys", {keyText(name)}}};
    }
    return patch.dump();
}

std::vector<OutgoingRecord> partsOf(const std::string &patch, Offset basedOn, const std::string &group)
{
    core::Error why;
    return ListsState::changeRecords(ListName::Customers, basedOn, patch, "ops", group, why).value();
}

/// A small change as a group of two records.
std::vector<OutgoingRecord> smallChangeParts(const std::string &plan, Offset basedOn, const std::string &group)
{
    std::vector<OutgoingRecord> parts;
    for (int part = 1; part <= 2; ++part) {
        auto record = nlohmann::json::parse(partsOf(customerPatch("part-" + std::to_string(part), plan), basedOn, group).at(0).text);
        record["part"] = part;
        record["parts"] = 2;
        parts.push_back({group, record.dump()});
    }
    return parts;
}

class ListsTest : public testing::Test
{
public:
    Offset publish(ListName list, const std::string &patch)
    {
        const auto offset = log.appendChange(list, reader.inForce(list).version, patch);
        EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Accepted);
        return offset;
    }

    FakeLog log;
    ListsState reader;
};

void expectSame(const ListsState &a, const ListsState &b)
{
    for (const auto list : {ListName::Customers, ListName::Plans}) {
        EXPECT_EQ(a.inForce(list).version, b.inForce(list).version);
        EXPECT_EQ(a.inForce(list).digest, b.inForce(list).digest);
        EXPECT_EQ(a.document(list), b.document(list));
    }
}

} // namespace

// ---- Which change is accepted ----

TEST_F(ListsTest, of_two_changes_to_the_same_version_the_first_in_the_log_wins)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    const auto base = reader.inForce(ListName::Plans).version;
    const auto winner = log.appendChange(ListName::Plans, base, planPatch("school", "v2"));
    log.appendChange(ListName::Plans, base, planPatch("school", "v3"));
    const auto verdict = log.feedRemaining(reader);
    EXPECT_EQ(verdict.kind, Kind::Rejected);
    EXPECT_EQ(verdict.reason, "based on version 1 of plans, but version 2 is in force");
    EXPECT_EQ(verdict.version, winner);
    EXPECT_TRUE(reader.plans().at(core::PlanId("school")).adapters.at(core::AdapterName("brief")).versions.contains(core::AdapterVersion("v2")));
}

TEST_F(ListsTest, each_list_has_its_own_version)
{
    const auto plans = publish(ListName::Plans, planPatch("school", "v1"));
    const auto customers = publish(ListName::Customers, customerPatch("surf-camp", "school"));
    EXPECT_EQ(reader.inForce(ListName::Plans).version, plans);
    EXPECT_EQ(reader.inForce(ListName::Customers).version, customers);
    EXPECT_EQ(reader.inForce(ListName::Customers).sinceMs, log.nowMs);
}

TEST_F(ListsTest, an_invalid_change_is_rejected_as_a_whole)
{
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    const auto before = reader.inForce(ListName::Customers);
    log.appendChange(ListName::Customers, before.version, R"({"customers":{"new-camp":{"plan":"school","keys":[]},"surf-camp":{"plan":7}}})");
    const auto verdict = log.feedRemaining(reader);
    EXPECT_THAT(verdict.reason, HasSubstr("customers.surf-camp.plan: found the number 7"));
    EXPECT_EQ(reader.inForce(ListName::Customers).digest, before.digest);
    EXPECT_EQ(reader.inForce(ListName::Customers).version, before.version);
}

TEST_F(ListsTest, a_key_belongs_to_one_customer_but_may_move)
{
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    const auto conflicting = R"({"customers":{"board-shop":{"plan":"school","keys":[")" + keyText("key of surf-camp") + "\"]}";
    log.appendChange(ListName::Customers, Offset(1), conflicting + "}}");
    EXPECT_THAT(log.feedRemaining(reader).reason, HasSubstr("a key that another customer holds"));
    log.appendChange(ListName::Customers, Offset(1), conflicting + R"(,"surf-camp":null}})");
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Accepted);
    core::Error why;
    EXPECT_EQ(reader.findCustomer(digestOfKey("key of surf-camp"), why), core::CustomerId("board-shop"));
}

TEST_F(ListsTest, invalid_records_are_rejected)
{
    for (const auto *text : {"", "null", "{}", "[1]", R"({"id":"a","list":"customers","kind":"change"})", R"({"id":1})", "{\"id\":\"\xff\"}"}) {
        log.append(text);
        const auto verdict = log.feedRemaining(reader);
        EXPECT_EQ(verdict.kind, Kind::Rejected) << text;
        EXPECT_THAT(verdict.reason, HasSubstr("not a record of the lists")) << text;
    }
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
}

// ---- A version never decreases ----

TEST_F(ListsTest, records_read_again_change_nothing)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    publish(ListName::Plans, planPatch("school", "v2"));
    const auto before = reader.inForce(ListName::Plans);
    EXPECT_EQ(log.feed(reader, Offset(1)).kind, Kind::Repeated);
    EXPECT_EQ(log.feed(reader, Offset(2)).kind, Kind::Repeated);
    EXPECT_EQ(reader.inForce(ListName::Plans).version, before.version);
    EXPECT_EQ(reader.inForce(ListName::Plans).digest, before.digest);
}

TEST_F(ListsTest, a_late_snapshot_of_an_older_version_changes_nothing)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    ListsState slow;
    log.feedRemaining(slow);
    publish(ListName::Plans, planPatch("school", "v2"));
    appendSnapshot(log, slow, ListName::Plans);
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Snapshot);
    EXPECT_EQ(reader.inForce(ListName::Plans).version, Offset(2));
    EXPECT_FALSE(reader.inForce(ListName::Plans).diverged);
}

TEST_F(ListsTest, the_version_in_force_is_served_through_a_gap_until_a_snapshot_closes_it)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    ListsState complete;
    log.feedRemaining(complete);
    log.appendChange(ListName::Plans, Offset(1), planPatch("school", "v2"));
    log.appendChange(ListName::Plans, Offset(2), planPatch("school", "v3"));
    log.feedRemaining(complete);

    EXPECT_EQ(log.feedRemaining(reader, Offset(3)).kind, Kind::Unjudged);
    EXPECT_FALSE(reader.inForce(ListName::Plans).isUpToDate);
    EXPECT_EQ(reader.inForce(ListName::Plans).version, Offset(1));
    EXPECT_TRUE(reader.isReady());

    appendSnapshot(log, complete, ListName::Plans);
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Snapshot);
    EXPECT_TRUE(reader.inForce(ListName::Plans).isUpToDate);
    EXPECT_EQ(reader.inForce(ListName::Plans).version, Offset(3));
}

TEST_F(ListsTest, a_snapshot_that_does_not_reach_the_gap_does_not_close_it)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    ListsState slow;
    log.feedRemaining(slow);
    publish(ListName::Plans, planPatch("school", "v2"));
    publish(ListName::Plans, planPatch("school", "v3"));
    appendSnapshot(log, slow, ListName::Plans);
    ListsState late;
    EXPECT_THAT(log.feedRemaining(late, Offset(4)).reason, HasSubstr("older than the records that this reader missed"));
    EXPECT_FALSE(late.isReady());
}

// ---- Retention ----

TEST_F(ListsTest, a_reader_that_starts_at_the_snapshot_agrees_on_changes_around_it)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    ListsState writer;
    log.feedRemaining(writer);
    // Accepted after the writer's last read, before its snapshot reaches the log.
    log.appendChange(ListName::Plans, Offset(1), planPatch("school", "v2"));
    log.appendChange(ListName::Plans, Offset(1), planPatch("school", "v9"));
    appendSnapshot(log, writer, ListName::Plans, "s1");
    appendSnapshot(log, writer, ListName::Customers, "s2");
    log.appendChange(ListName::Plans, Offset(3), planPatch("school", "v3"));
    log.feedRemaining(reader);
    ListsState late;
    log.feedRemaining(late, Offset(3));
    EXPECT_TRUE(late.isReady());
    EXPECT_EQ(late.inForce(ListName::Plans).version, Offset(7));
    expectSame(reader, late);
}

TEST_F(ListsTest, a_snapshot_is_due_at_half_of_the_retention_and_one_host_writes_it)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    const auto later = log.nowMs + retention.count() / 2;
    EXPECT_FALSE(reader.isSnapshotDue(ListName::Plans, later - 1, retention, 0));
    EXPECT_TRUE(reader.isSnapshotDue(ListName::Plans, later, retention, 0));
    EXPECT_FALSE(reader.isSnapshotDue(ListName::Plans, later, retention, 1));
    EXPECT_TRUE(reader.isSnapshotDue(ListName::Plans, log.nowMs + retention.count() * 3 / 4, retention, 1'000));
    log.nowMs = later;
    appendSnapshot(log, reader, ListName::Plans);
    log.feedRemaining(reader);
    EXPECT_FALSE(reader.isSnapshotDue(ListName::Plans, later, retention, 0));
    EXPECT_TRUE(reader.isSnapshotDue(ListName::Customers, later, retention, 0)) << "an empty list needs a snapshot too";
}

TEST_F(ListsTest, a_snapshot_of_many_records_closes_a_gap)
{
    for (const auto &part : partsOf(manyCustomers(3'000, "school"), Offset(), "g")) {
        log.append(part.text);
    }
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Accepted);
    const auto expired = log.nextOffset();
    core::Error why;
    const auto snapshot = reader.snapshotRecords(ListName::Customers, log.nowMs, "s", why).value();
    ASSERT_GT(snapshot.size(), 1U);
    for (const auto &record : snapshot) {
        EXPECT_LE(record.text.size(), maxRecordBytes);
        log.append(record.text);
        log.append("invalid record between parts");
    }
    ListsState late;
    log.feedRemaining(late, expired);
    EXPECT_EQ(late.inForce(ListName::Customers).digest, reader.inForce(ListName::Customers).digest);
    EXPECT_EQ(late.inForce(ListName::Customers).entryCount, 3'000U);
}

TEST_F(ListsTest, a_snapshot_with_other_content_is_reported_as_divergence)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    FakeLog other;
    ListsState diverged;
    other.appendChange(ListName::Plans, Offset(), planPatch("school", "v2"));
    other.feedRemaining(diverged);
    appendSnapshot(log, diverged, ListName::Plans);
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Rejected);
    EXPECT_TRUE(reader.inForce(ListName::Plans).diverged);
}

TEST_F(ListsTest, lists_that_the_log_has_lost_are_restored_by_an_operator)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    const auto kept = reader.document(ListName::Plans);
    log.append("the only record that was retained");
    ListsState late;
    log.feedRemaining(late, Offset(2));
    EXPECT_FALSE(late.isReady());
    core::Error why;
    const auto records = ListsState::restoreRecords(kept, late.position(), log.nowMs, "ops", "restore", why);
    log.append(records.value().at(0).text);
    EXPECT_EQ(log.feedRemaining(late).kind, Kind::Snapshot);
    EXPECT_EQ(late.document(ListName::Plans), kept);
    log.appendChange(ListName::Plans, late.inForce(ListName::Plans).version, planPatch("school", "v2"));
    EXPECT_EQ(log.feedRemaining(late).kind, Kind::Accepted);
}

// ---- Changes of several records ----

TEST_F(ListsTest, a_large_change_takes_effect_with_its_last_part)
{
    const auto parts = partsOf(manyCustomers(3'000, "school"), Offset(), "g");
    ASSERT_GT(parts.size(), 1U);
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        log.append(parts[i].text);
        EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Pending);
        EXPECT_EQ(reader.customers().size(), 0U);
    }
    const auto last = log.append(parts.back().text);
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Accepted);
    EXPECT_EQ(reader.inForce(ListName::Customers).version, last);
    EXPECT_EQ(reader.customers().size(), 3'000U);
}

TEST_F(ListsTest, another_change_between_the_parts_invalidates_them)
{
    const auto parts = partsOf(manyCustomers(3'000, "school"), Offset(), "g");
    log.append(parts.at(0).text);
    log.appendChange(ListName::Customers, Offset(), customerPatch("surf-camp", "school"), "racing");
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Accepted);
    log.append(parts.at(1).text);
    EXPECT_THAT(log.feedRemaining(reader).reason, HasSubstr("does not follow"));
    EXPECT_EQ(reader.customers().size(), 1U);
}

TEST_F(ListsTest, parts_that_arrive_too_late_are_rejected_and_snapshots_wait_until_then)
{
    const auto parts = partsOf(manyCustomers(3'000, "school"), Offset(), "g");
    log.append(parts.at(0).text);
    log.feedRemaining(reader);
    core::Error why;
    EXPECT_FALSE(reader.snapshotRecords(ListName::Customers, log.nowMs, "s", why));
    EXPECT_FALSE(reader.exportSnapshot(log.nowMs));
    log.nowMs += 600'000;
    EXPECT_TRUE(reader.snapshotRecords(ListName::Customers, log.nowMs, "s", why));
    log.append(parts.at(1).text);
    EXPECT_EQ(log.feedRemaining(reader).kind, Kind::Rejected);
}

// ---- Per request ----

TEST_F(ListsTest, grants_report_the_cause_of_each_refusal)
{
    publish(ListName::Plans, planPatch("school", "v1", 2));
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    publish(ListName::Customers, customerPatch("board-shop", "missing"));
    const core::CustomerId camp("surf-camp");
    core::Error why;
    const auto grant = [&](const core::CustomerId &caller, const char *model) { return reader.grant(caller, core::AdapterRef::parse(model).value(), why); };

    const auto granted = grant(camp, "surf-camp/brief@v1");
    ASSERT_TRUE(granted);
    EXPECT_EQ(granted->baseModel.value(), "base-a");
    EXPECT_EQ(granted->share, 2);
    EXPECT_EQ(granted->maxInFlight, 20);
    EXPECT_FALSE(grant(camp, "board-shop/brief@v1"));
    EXPECT_EQ(why.refusal, core::Refusal::Forbidden);
    EXPECT_FALSE(grant(camp, "nobody/brief@v1"));
    EXPECT_EQ(why.refusal, core::Refusal::Forbidden) << "must not tell whether the other customer exists";
    EXPECT_FALSE(grant(camp, "surf-camp/outlook@v1"));
    EXPECT_EQ(why.refusal, core::Refusal::NotFound);
    EXPECT_FALSE(grant(camp, "surf-camp/brief@v2"));
    EXPECT_EQ(why.refusal, core::Refusal::NotFound);
    EXPECT_FALSE(grant(core::CustomerId("board-shop"), "board-shop/brief@v1"));
    EXPECT_EQ(why.refusal, core::Refusal::Unavailable);
    EXPECT_TRUE(reader.grantService(camp, core::ServiceName("booking"), why));
    EXPECT_FALSE(reader.grantService(camp, core::ServiceName("payments"), why));
    EXPECT_EQ(reader.modelsOf(camp), std::vector{core::AdapterRef::parse("surf-camp/brief@v1").value()});
    EXPECT_THAT(reader.modelsOf(core::CustomerId("nobody")), testing::IsEmpty());
}

TEST_F(ListsTest, a_version_no_longer_listed_is_refused_from_then_on)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    publish(ListName::Plans, planPatch("school", "v2"));
    core::Error why;
    EXPECT_FALSE(reader.grant(core::CustomerId("surf-camp"), core::AdapterRef::parse("surf-camp/brief@v1").value(), why));
    EXPECT_TRUE(reader.grant(core::CustomerId("surf-camp"), core::AdapterRef::parse("surf-camp/brief@v2").value(), why));
}

TEST_F(ListsTest, keys_identify_their_customer_until_they_are_removed)
{
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    core::Error why;
    EXPECT_EQ(reader.findCustomer(digestOfKey("key of surf-camp"), why), core::CustomerId("surf-camp"));
    EXPECT_FALSE(reader.findCustomer(digestOfKey("another"), why));
    EXPECT_EQ(why.refusal, core::Refusal::Unauthorized);
    publish(ListName::Customers, R"({"customers":{"surf-camp":{"keys":[]}}})");
    EXPECT_FALSE(reader.findCustomer(digestOfKey("key of surf-camp"), why));
}

// ---- Exchange between peers ----

TEST_F(ListsTest, a_daemon_that_starts_during_an_outage_imports_the_lists_of_a_peer_and_continues_from_there)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    publish(ListName::Customers, customerPatch("surf-camp", "school"));
    ListsState starting;
    EXPECT_FALSE(starting.isReady());
    core::Error why;
    ASSERT_TRUE(starting.importSnapshot(reader.exportSnapshot(log.nowMs).value(), why)) << why.reason;
    EXPECT_TRUE(starting.isReady());
    EXPECT_EQ(starting.position(), reader.position());
    publish(ListName::Plans, planPatch("school", "v2"));
    EXPECT_EQ(log.feedRemaining(starting).kind, Kind::Accepted);
    expectSame(reader, starting);
}

TEST_F(ListsTest, an_older_or_invalid_export_changes_nothing)
{
    publish(ListName::Plans, planPatch("school", "v1"));
    const auto old = reader.exportSnapshot(log.nowMs).value();
    publish(ListName::Plans, planPatch("school", "v2"));
    core::Error why;
    EXPECT_FALSE(reader.importSnapshot(old, why));
    EXPECT_EQ(reader.inForce(ListName::Plans).version, Offset(2));

    ListsState starting;
    auto tampered = nlohmann::json::parse(reader.exportSnapshot(log.nowMs).value());
    tampered["plans"]["entries"]["school"]["share"] = 9;
    EXPECT_FALSE(starting.importSnapshot(tampered.dump(), why));
    EXPECT_THAT(why.reason, HasSubstr("digest"));
    for (const auto *text : {"", "{}", "[]", R"({"position":-1})", R"({"position":1,"customers":{},"plans":{}})"}) {
        EXPECT_FALSE(starting.importSnapshot(text, why)) << text;
    }
    EXPECT_FALSE(starting.isReady());
}

// ---- All readers agree ----

namespace {

/// A log written by operators, crashing publishers and lagging snapshot writers, with invalid records, in an order given by the seed.
class RandomHistory
{
public:
    explicit RandomHistory(std::uint64_t seed)
        : random_(seed)
    { }

    void step()
    {
        log.nowMs += pick(20'000);
        switch (pick(8)) {
        case 0:
        case 1:
        case 2:
            change();
            break;
        case 3:
            appendChangePart();
            break;
        case 4:
            snapshot();
            break;
        case 5:
            log.feedRemaining(writer_);
            break;
        case 6:
            log.append("not a record");
            break;
        default:
            repeatLastChange();
        }
    }

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    FakeLog log;

private:
    std::string group() { return "g" + std::to_string(++groups_); }

    /// An edit of the version that the writer last read, so it is stale whenever the writer lags.
    void change()
    {
        const auto name = "entry-" + std::to_string(pick(6));
        const auto list = pick(2) == 0 ? ListName::Customers : ListName::Plans;
        const auto patch = list == ListName::Plans ? planPatch(name, "v" + std::to_string(pick(100))) : customerPatch(name, "plan-" + std::to_string(pick(9)));
        lastChange_ = ListsState::changeRecords(list, writer_.inForce(list).version, patch, "ops", group(), why_)->at(0).text;
        log.append(lastChange_);
    }

    void appendChangePart()
    {
        if (parts_.empty()) {
            parts_ = smallChangeParts("plan-" + std::to_string(pick(9)), writer_.inForce(ListName::Customers).version, group());
        }
        log.append(parts_.front().text);
        parts_.erase(parts_.begin());
    }

    void snapshot()
    {
        const auto list = pick(2) == 0 ? ListName::Customers : ListName::Plans;
        if (const auto records = writer_.snapshotRecords(list, log.nowMs, group(), why_)) {
            for (const auto &record : *records) {
                log.append(record.text);
            }
        }
    }

    void repeatLastChange()
    {
        if (!lastChange_.empty()) {
            log.append(lastChange_);
        }
    }

    std::mt19937_64 random_;
    ListsState writer_;
    core::Error why_;
    std::string lastChange_;
    std::vector<OutgoingRecord> parts_;
    int groups_ = 0;
};

/// Applies records with random repeats, as a log reader may: never a later record before an earlier one that the log still has.
void feedWithRepeats(RandomHistory &history, ListsState &state)
{
    auto version = state.inForce(ListName::Plans).version;
    while (state.position().next() < history.log.nextOffset()) {
        const bool repeat = state.position() > Offset() && history.pick(3) == 0;
        const auto offset = repeat ? Offset(1 + history.pick(state.position().value())) : state.position().next();
        history.log.feed(state, offset);
        EXPECT_GE(state.inForce(ListName::Plans).version, version);
        version = state.inForce(ListName::Plans).version;
    }
}

} // namespace

class Agreement : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(Agreement, readers_that_start_anywhere_agree_once_they_are_up_to_date)
{
    RandomHistory history(GetParam());
    constexpr int steps = 300;
    std::vector<ListsState> readers(12);
    ListsState complete;
    int comparisons = 0;
    for (int i = 0; i < steps; ++i) {
        history.step();
        history.log.feedRemaining(complete);
        auto &reader = readers[history.pick(readers.size())];
        if (history.pick(10) == 0) {
            reader.skipTo(history.log.nextOffset());
        }
        if (history.pick(10) == 0) {
            if (const auto exported = complete.exportSnapshot(history.log.nowMs)) {
                core::Error why;
                reader.importSnapshot(*exported, why);
            }
        }
        feedWithRepeats(history, reader);
        for (const auto list : {ListName::Customers, ListName::Plans}) {
            if (reader.inForce(list).isUpToDate) {
                ++comparisons;
                EXPECT_EQ(reader.inForce(list).version, complete.inForce(list).version) << "step " << i;
                EXPECT_EQ(reader.inForce(list).digest, complete.inForce(list).digest) << "step " << i;
            }
            EXPECT_FALSE(reader.inForce(list).diverged);
        }
    }
    EXPECT_GT(comparisons, steps / 2) << "too few comparisons";
    EXPECT_GT(complete.inForce(ListName::Customers).version, Offset());
}

INSTANTIATE_TEST_SUITE_P(Seeds, Agreement, testing::Range<std::uint64_t>(1, 21));

} // namespace baobabstall::lists
