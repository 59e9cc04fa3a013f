#include <lists/lists.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <unordered_map>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <core/hash.h>
#include <settings/json.h>

namespace baobabstall::lists {

namespace {

using core::Offset;
using nlohmann::json;

constexpr std::int64_t groupWindowMs = 60'000;             // from the first part of a change to its last, by the log's own times
constexpr std::int64_t groupGraceMs = 300'000;             // longest difference assumed between a host's clock and the log's
constexpr std::size_t maxOpenSnapshots = 4;                // snapshots whose parts are still coming
constexpr std::size_t maxBufferedBytes = 64 * 1024 * 1024; // of records kept within a gap
constexpr std::size_t maxEntries = 200'000;                // of one list
constexpr int maxRank = 50;                                // ranks above wait no longer

// ---- Index of keys ----

/// Finds a customer by its key's digest.
class KeyIndex
{
public:
    void replace(const core::CustomerId &id, const Customer *old, const Customer *fresh)
    {
        if (old != nullptr) {
            std::for_each(old->keys.begin(), old->keys.end(), [this](const KeyDigest &key) { erase(key); });
        }
        if (fresh != nullptr) {
            std::for_each(fresh->keys.begin(), fresh->keys.end(), [&](const KeyDigest &key) { holders_.emplace(bucketOf(key), Holder{key, id}); });
        }
    }

    /// The map finds the first bytes, which are no secret to time: they come from a hash that a caller can't choose freely.
    [[nodiscard]] const core::CustomerId *find(const KeyDigest &key) const
    {
        const core::CustomerId *found = nullptr;
        const auto [begin, end] = holders_.equal_range(bucketOf(key));
        for (auto holder = begin; holder != end; ++holder) {
            if (::CRYPTO_memcmp(holder->second.key.data(), key.data(), key.size()) == 0) {
                found = &holder->second.customer;
            }
        }
        return found;
    }

private:
    struct Holder {
        KeyDigest key;
        core::CustomerId customer;
    };

    static std::uint64_t bucketOf(const KeyDigest &key)
    {
        std::uint64_t bucket = 0;
        std::memcpy(&bucket, key.data(), sizeof(bucket));
        return bucket;
    }

    void erase(const KeyDigest &key)
    {
        const auto [begin, end] = holders_.equal_range(bucketOf(key));
        const auto holder = std::find_if(begin, end, [&](const auto &entry) { return entry.second.key == key; });
        if (holder != end) {
            holders_.erase(holder);
        }
    }

    std::unordered_multimap<std::uint64_t, Holder> holders_;
};

// ---- One list's content ----

/// Changes of one list that were found valid and are not made yet. No entry: the id is removed.
template<EntryCodec Codec>
struct StagedChanges {
    std::vector<std::pair<typename Codec::Id, std::optional<typename Codec::Entry>>> changes;
};

/// The entries of one list and the digest of them all, which a change keeps up to date at the cost of the entries it touches.
template<EntryCodec Codec>
class Content
{
public:
    using Id = typename Codec::Id;
    using Entry = typename Codec::Entry;
    using Entries = std::map<Id, Entry>;
    using Staged = StagedChanges<Codec>;

    /// Applies a merge patch to the entries it names, aside.
    [[nodiscard]] std::optional<Staged> stage(const json &patch, std::string &reason) const
    {
        Staged staged;
        for (const auto &[key, value] : patch.items()) {
            if (!isValidEntryName(key)) {
                reason = std::string(listNameText(Codec::list)) + ": an entry's name is not allowed";
                return std::nullopt;
            }
            const Id id(key);
            std::optional<Entry> entry;
            if (!value.is_null()) {
                entry = patched(id, value, reason);
                if (!entry) {
                    reason = reasonWithPath(Codec::list, key, reason);
                    return std::nullopt;
                }
            }
            staged.changes.emplace_back(id, std::move(entry));
        }
        return fits(staged, reason) ? std::optional(std::move(staged)) : std::nullopt;
    }

    void commit(Staged staged)
    {
        for (const auto &[id, entry] : staged.changes) {
            forget(id);
        }
        for (auto &[id, entry] : staged.changes) {
            if (entry) {
                digest_ += digestOf(id, *entry);
                note(id, nullptr, &*entry);
                entries_.emplace(id, std::move(*entry));
            }
        }
    }

    [[nodiscard]] const Entries &entries() const { return entries_; }
    [[nodiscard]] const KeyIndex &keys() const { return keys_; }
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

    [[nodiscard]] json toJson() const
    {
        json object = json::object();
        for (const auto &[id, entry] : entries_) {
            object[id.value()] = Codec::write(entry);
        }
        return object;
    }

private:
    static constexpr bool hasKeys = std::is_same_v<Entry, Customer>;

    std::optional<Entry> patched(const Id &id, const json &patch, std::string &reason) const
    {
        const auto old = entries_.find(id);
        json value = old == entries_.end() ? json::object() : Codec::write(old->second);
        value.merge_patch(patch);
        return Codec::read(value, reason);
    }

    bool fits(const Staged &staged, std::string &reason) const
    {
        if (entries_.size() + staged.changes.size() > maxEntries) {
            reason = "more than " + std::to_string(maxEntries) + " entries";
            return false;
        }
        if constexpr (hasKeys) {
            return keysAreFree(staged, reason);
        }
        return true;
    }

    /// A key is free when nobody holds it, or only customers that this change touches and that no longer list it.
    bool keysAreFree(const Staged &staged, std::string &reason) const
    {
        std::map<core::CustomerId, bool> touched;
        std::set<KeyDigest> wanted;
        for (const auto &[id, entry] : staged.changes) {
            touched.emplace(id, true);
        }
        for (const auto &[id, entry] : staged.changes) {
            for (const auto &key : entry ? entry->keys : std::set<KeyDigest>()) {
                const auto *holder = keys_.find(key);
                if (!wanted.insert(key).second || (holder != nullptr && !touched.contains(*holder))) {
                    reason = "customers." + id.value() + ".keys: found a key that another customer holds; allowed: keys of this customer only";
                    return false;
                }
            }
        }
        return true;
    }

    void forget(const Id &id)
    {
        const auto old = entries_.find(id);
        if (old != entries_.end()) {
            digest_ -= digestOf(id, old->second);
            note(id, &old->second, nullptr);
            entries_.erase(old);
        }
    }

    void note(const Id &id, const Entry *old, const Entry *fresh)
    {
        if constexpr (hasKeys) {
            keys_.replace(id, old, fresh);
        }
    }

    /// A sum of hashes does not depend on order, so it follows single changes. It finds faults, not forgers.
    static std::uint64_t digestOf(const Id &id, const Entry &entry) { return core::hashText(Codec::write(entry).dump(), core::hashText(id.value(), 0)); }

    Entries entries_;
    KeyIndex keys_;
    std::uint64_t digest_ = 0;
};

// ---- One list's versions ----

struct Arrival {
    Offset offset;
    std::int64_t timeMs = 0;
};

/// A record as it came, kept within a gap.
struct Buffered {
    Arrival arrival;
    RecordHeader head;
    json entries;
    std::size_t bytes = 0;
};

/// A change of several parts of which the last has not come.
struct OpenChange {
    RecordHeader head; // of the newest part
    std::int64_t beganMs = 0;
    json entries;
};

/// A snapshot of which some parts have not come. They may come in any order, with other records between.
struct OpenSnapshot {
    RecordHeader head;
    std::int64_t beganMs = 0;
    std::set<int> partsSeen;
    json entries;
};

/// A whole snapshot, from the log or from a peer.
struct WholeSnapshot {
    Offset version;
    Offset asOf;
    std::int64_t sinceMs = 0;
    std::int64_t storedMs = 0;
    std::string by;
    std::uint64_t digest = 0;
    json entries;
};

/// Judges the records of one list.
template<EntryCodec Codec>
class Track
{
public:
    Verdict take(const Arrival &arrival, RecordHeader head, json entries, std::size_t bytes)
    {
        if (head.kind == RecordKind::Snapshot) {
            return takeSnapshotPart(arrival, std::move(head), std::move(entries));
        }
        if (known_) {
            return judge(arrival, head, entries);
        }
        auto verdict = verdictOn(head, Verdict::Kind::Unjudged);
        buffer({arrival, std::move(head), std::move(entries), bytes});
        return verdict;
    }

    /// The stream has a record of this time. The first one of all begins the wait for a snapshot.
    void noteRecord(std::int64_t timeMs)
    {
        if (storedMs_ == 0) {
            storedMs_ = timeMs;
        }
    }

    /// Records below `first` were missed.
    void openGap(Offset first)
    {
        known_ = false;
        gapEnd_ = first;
        openChange_.reset();
        buffered_.clear();
        bufferedBytes_ = 0;
    }

    /// Nothing was ever missed: the log was read from its beginning.
    void begin()
    {
        known_ = true;
        held_ = true;
    }

    /// Whether the snapshot tells more than this reader knows. `position`: the last offset read.
    [[nodiscard]] bool isUseful(const WholeSnapshot &snapshot, Offset position) const
    {
        if (snapshot.version < version_) {
            return false;
        }
        return known_ ? snapshot.asOf > position : snapshot.asOf.next() >= gapEnd_;
    }

    /// Reads a snapshot's content aside; nothing when it is not valid or not what its digest says.
    [[nodiscard]] static std::optional<Content<Codec>> contentOf(const WholeSnapshot &snapshot, std::string &reason)
    {
        Content<Codec> content;
        auto staged = content.stage(snapshot.entries, reason);
        if (!staged) {
            return std::nullopt;
        }
        content.commit(std::move(*staged));
        if (content.digest() != snapshot.digest) {
            reason = "the snapshot's content is not what its digest says";
            return std::nullopt;
        }
        return content;
    }

    void install(const WholeSnapshot &snapshot, Content<Codec> content)
    {
        content_ = std::move(content);
        version_ = snapshot.version;
        sinceMs_ = snapshot.sinceMs;
        storedMs_ = snapshot.storedMs;
        by_ = snapshot.by;
        known_ = true;
        held_ = true;
        diverged_ = false;
        openChange_.reset();
        replayAfter(snapshot.asOf);
    }

    [[nodiscard]] InForce inForce() const { return {known_, version_, content_.digest(), sinceMs_, by_, content_.entries().size(), diverged_}; }
    [[nodiscard]] const Content<Codec> &content() const { return content_; }
    [[nodiscard]] bool held() const { return held_; }
    [[nodiscard]] std::int64_t storedMs() const { return storedMs_; }

    /// Whether a snapshot written now would tell all. Parts of a change that may still be completed are not part of it.
    [[nodiscard]] bool isSettled(std::int64_t nowMs) const
    {
        const bool mayComplete = openChange_ && nowMs < openChange_->beganMs + groupWindowMs + groupGraceMs;
        return known_ && !mayComplete;
    }

    [[nodiscard]] RecordHeader snapshotHead(Offset position, const std::string &group) const
    {
        RecordHeader head;
        head.group = group;
        head.list = Codec::list;
        head.kind = RecordKind::Snapshot;
        head.publisher = by_.empty() ? "nobody" : by_;
        head.version = version_;
        head.asOf = position;
        head.sinceMs = sinceMs_;
        head.digest = content_.digest();
        return head;
    }

private:
    Verdict verdictOn(const RecordHeader &head, Verdict::Kind kind, std::string reason = {}) const
    {
        return {kind, std::move(reason), head.list, head.group, head.publisher, version_};
    }

    // Changes

    Verdict judge(const Arrival &arrival, const RecordHeader &head, const json &entries)
    {
        if (head.part > 1 && !continues(arrival, head)) {
            openChange_.reset();
            return verdictOn(head,
                             Verdict::Kind::Rejected,
                             "part " + std::to_string(head.part) + " of " + std::to_string(head.parts) + " does not follow the part before it");
        }
        auto change = head.part > 1 ? std::move(*openChange_) : OpenChange{head, arrival.timeMs, json::object()};
        openChange_.reset();
        if (head.basedOn != version_) {
            return verdictOn(head, Verdict::Kind::Rejected, staleReason(head));
        }
        change.entries.update(entries);
        change.head = head;
        if (head.part < head.parts) {
            openChange_ = std::move(change);
            return verdictOn(head, Verdict::Kind::Pending);
        }
        return accept(arrival, head, change.entries);
    }

    bool continues(const Arrival &arrival, const RecordHeader &head) const
    {
        if (!openChange_) {
            return false;
        }
        const auto &last = openChange_->head;
        return head.group == last.group && head.part == last.part + 1 && head.parts == last.parts && head.basedOn == last.basedOn
            && arrival.timeMs <= openChange_->beganMs + groupWindowMs;
    }

    std::string staleReason(const RecordHeader &head) const
    {
        return "based on version " + std::to_string(head.basedOn.value()) + " of " + std::string(listNameText(head.list)) + ", but version "
            + std::to_string(version_.value()) + " is in force";
    }

    Verdict accept(const Arrival &arrival, const RecordHeader &head, const json &entries)
    {
        std::string reason;
        auto staged = content_.stage(entries, reason);
        if (!staged) {
            return verdictOn(head, Verdict::Kind::Rejected, reason);
        }
        content_.commit(std::move(*staged));
        version_ = arrival.offset;
        sinceMs_ = arrival.timeMs;
        by_ = head.publisher;
        return verdictOn(head, Verdict::Kind::Accepted);
    }

    // Gaps

    void buffer(Buffered record)
    {
        bufferedBytes_ += record.bytes;
        buffered_.push_back(std::move(record));
        while (bufferedBytes_ > maxBufferedBytes) {
            gapEnd_ = buffered_.front().arrival.offset.next();
            bufferedBytes_ -= buffered_.front().bytes;
            buffered_.pop_front();
        }
    }

    void replayAfter(Offset asOf)
    {
        auto records = std::exchange(buffered_, {});
        bufferedBytes_ = 0;
        for (auto &record : records) {
            if (record.arrival.offset > asOf) {
                judge(record.arrival, record.head, record.entries);
            }
        }
    }

    // Snapshots

    Verdict takeSnapshotPart(const Arrival &arrival, RecordHeader head, json entries)
    {
        auto &open = openSnapshot(arrival, head);
        if (!belongs(open.head, head) || !open.partsSeen.insert(head.part).second) {
            return verdictOn(head, Verdict::Kind::Rejected, "a part that does not fit the other parts of its snapshot");
        }
        if (!known_) {
            open.entries.update(entries);
        }
        if (open.partsSeen.size() < static_cast<std::size_t>(head.parts)) {
            return verdictOn(head, Verdict::Kind::Pending);
        }
        OpenSnapshot whole = std::move(open);
        std::erase_if(openSnapshots_, [&](const OpenSnapshot &other) { return other.partsSeen.empty() || other.head.group == head.group; });
        return known_ ? compare(whole) : closeGap(whole);
    }

    OpenSnapshot &openSnapshot(const Arrival &arrival, const RecordHeader &head)
    {
        const auto found = std::find_if(openSnapshots_.begin(), openSnapshots_.end(), [&](const OpenSnapshot &open) { return open.head.group == head.group; });
        if (found != openSnapshots_.end()) {
            return *found;
        }
        openSnapshots_.push_back({head, arrival.timeMs, {}, json::object()});
        if (openSnapshots_.size() > maxOpenSnapshots) {
            openSnapshots_.pop_front();
        }
        return openSnapshots_.back();
    }

    static bool belongs(const RecordHeader &a, const RecordHeader &b)
    {
        return a.parts == b.parts && a.version == b.version && a.asOf == b.asOf && a.digest == b.digest && a.sinceMs == b.sinceMs;
    }

    Verdict compare(const OpenSnapshot &whole)
    {
        const auto &head = whole.head;
        const bool sameVersion = head.version == version_;
        if (head.version > version_ || (sameVersion && head.digest != content_.digest())) {
            diverged_ = true;
            return verdictOn(head, Verdict::Kind::Rejected, "a snapshot that differs from what this reader has in force");
        }
        storedMs_ = std::max(storedMs_, whole.beganMs);
        return verdictOn(head, Verdict::Kind::Snapshot);
    }

    Verdict closeGap(OpenSnapshot &whole)
    {
        const auto &head = whole.head;
        const WholeSnapshot snapshot{head.version, head.asOf, head.sinceMs, whole.beganMs, head.publisher, head.digest, std::move(whole.entries)};
        if (!isUseful(snapshot, Offset())) {
            return verdictOn(head, Verdict::Kind::Rejected, "a snapshot older than what this reader missed");
        }
        std::string reason;
        auto content = contentOf(snapshot, reason);
        if (!content) {
            return verdictOn(head, Verdict::Kind::Rejected, reason);
        }
        install(snapshot, std::move(*content));
        return verdictOn(head, Verdict::Kind::Snapshot);
    }

    Content<Codec> content_;
    Offset version_;
    std::int64_t sinceMs_ = 0;
    std::int64_t storedMs_ = 0; // when the oldest record was written that a new reader needs
    std::string by_;
    bool known_ = false; // nothing was missed
    bool held_ = false;  // was known at least once
    bool diverged_ = false;
    Offset gapEnd_ = Offset(1); // the first record read after the gap
    std::optional<OpenChange> openChange_;
    std::deque<OpenSnapshot> openSnapshots_;
    std::deque<Buffered> buffered_;
    std::size_t bufferedBytes_ = 0;
};

// ---- A peer's export ----

json exportJson(const RecordHeader &head, std::int64_t storedMs, json entries)
{
    return json{{"version", head.version.value()},
                {"since_ms", head.sinceMs},
                {"stored_ms", storedMs},
                {"by", head.publisher},
                {"digest", head.digest},
                {"entries", std::move(entries)}};
}

bool isCount(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_number_integer() && (object[key].is_number_unsigned() || object[key].get<std::int64_t>() >= 0);
}

std::optional<WholeSnapshot> readExport(const json &whole, ListName list)
{
    const std::string key(listNameText(list));
    if (!whole.is_object() || !isCount(whole, "position") || !whole.contains(key) || !whole[key].is_object()) {
        return std::nullopt;
    }
    const json &object = whole[key];
    const bool good = isCount(object, "version") && isCount(object, "since_ms") && isCount(object, "stored_ms") && isCount(object, "digest")
        && object.contains("by") && object["by"].is_string() && object.contains("entries") && object["entries"].is_object();
    if (!good) {
        return std::nullopt;
    }
    return WholeSnapshot{Offset(object["version"].get<std::uint64_t>()),
                         Offset(whole["position"].get<std::uint64_t>()),
                         object["since_ms"].get<std::int64_t>(),
                         object["stored_ms"].get<std::int64_t>(),
                         object["by"].get<std::string>(),
                         object["digest"].get<std::uint64_t>(),
                         object["entries"]};
}

/// The records of a snapshot with this content; `head` gives all but list and digest.
template<EntryCodec Codec>
std::optional<std::vector<OutgoingRecord>>
writeSnapshot(const std::map<typename Codec::Id, typename Codec::Entry> &entries, RecordHeader head, core::Error &why)
{
    StagedChanges<Codec> staged;
    for (const auto &[id, entry] : entries) {
        staged.changes.emplace_back(id, entry);
    }
    Content<Codec> content;
    content.commit(std::move(staged));
    head.list = Codec::list;
    head.digest = content.digest();
    return writeRecords(head, content.toJson(), why);
}

core::Error refusalOf(core::Step step, core::Refusal refusal, std::string reason)
{
    return core::Error{.step = step, .reason = std::move(reason), .refusal = refusal};
}

} // namespace

struct ListsState::State {
    Offset position;
    Track<CustomerCodec> customers;
    Track<PlanCodec> plans;

    template<typename Visit>
    auto visit(ListName list, Visit visitor) const
    {
        return list == ListName::Customers ? visitor(customers) : visitor(plans);
    }

    const Plan *planOf(const core::CustomerId &id, core::PlanId &plan, core::Error &why) const
    {
        const auto &known = customers.content().entries();
        const auto customer = known.find(id);
        if (customer == known.end()) {
            why = refusalOf(core::Step::Lists, core::Refusal::Unauthorized, "this customer is not in the customers list in force");
            return nullptr;
        }
        plan = customer->second.plan;
        const auto found = plans.content().entries().find(plan);
        if (found == plans.content().entries().end()) {
            why = refusalOf(core::Step::Lists, core::Refusal::Unavailable, "the customer's plan \"" + plan.value() + "\" is not in the plans list in force");
            return nullptr;
        }
        return &found->second;
    }
};

std::string_view verdictText(Verdict::Kind kind)
{
    constexpr std::array<std::string_view, 6> texts = {"accepted", "rejected", "pending", "snapshot", "unjudged", "repeated"};
    return texts.at(static_cast<std::size_t>(kind));
}

ListsState::ListsState()
    : state_(std::make_unique<State>())
{ }

ListsState::~ListsState() = default;
ListsState::ListsState(ListsState &&) noexcept = default;
ListsState &ListsState::operator=(ListsState &&) noexcept = default;

Verdict ListsState::apply(Offset offset, std::int64_t timeMs, std::string_view record)
{
    Verdict verdict;
    if (offset <= state_->position) {
        verdict.kind = Verdict::Kind::Repeated;
        return verdict;
    }
    skipTo(offset);
    onCaughtUp();
    state_->position = offset;
    state_->customers.noteRecord(timeMs);
    state_->plans.noteRecord(timeMs);
    json entries;
    auto head = readRecord(record, entries, verdict.reason);
    if (!head) {
        return verdict;
    }
    const Arrival arrival{offset, timeMs};
    if (head->list == ListName::Customers) {
        return state_->customers.take(arrival, std::move(*head), std::move(entries), record.size());
    }
    return state_->plans.take(arrival, std::move(*head), std::move(entries), record.size());
}

void ListsState::skipTo(Offset first)
{
    if (first <= state_->position.next()) {
        return;
    }
    state_->position = Offset(first.value() - 1);
    state_->customers.openGap(first);
    state_->plans.openGap(first);
}

void ListsState::onCaughtUp()
{
    if (state_->position == Offset()) {
        state_->customers.begin();
        state_->plans.begin();
    }
}

Offset ListsState::position() const
{
    return state_->position;
}

InForce ListsState::inForce(ListName list) const
{
    return state_->visit(list, [](const auto &track) { return track.inForce(); });
}

bool ListsState::isReady() const
{
    return state_->customers.held() && state_->plans.held();
}

const Customers &ListsState::customers() const
{
    return state_->customers.content().entries();
}

const Plans &ListsState::plans() const
{
    return state_->plans.content().entries();
}

ListDocument ListsState::document(ListName list) const
{
    return list == ListName::Customers ? ListDocument(customers()) : ListDocument(plans());
}

std::optional<core::CustomerId> ListsState::findCustomer(const KeyDigest &key, core::Error &why) const
{
    const auto *found = state_->customers.content().keys().find(key);
    if (found == nullptr) {
        why = refusalOf(core::Step::Identify, core::Refusal::Unauthorized, "no customer holds this key");
        return std::nullopt;
    }
    return *found;
}

std::optional<Grant> ListsState::grant(const core::CustomerId &caller, const core::AdapterRef &ref, core::Error &why) const
{
    if (ref.customer != caller) {
        why = refusalOf(core::Step::Lists, core::Refusal::Forbidden, "the model belongs to another customer");
        return std::nullopt;
    }
    core::PlanId planId;
    const auto *plan = state_->planOf(caller, planId, why);
    if (plan == nullptr) {
        return std::nullopt;
    }
    const auto adapter = plan->adapters.find(ref.adapter);
    if (adapter == plan->adapters.end()) {
        why = refusalOf(core::Step::Lists, core::Refusal::NotFound, "the customer's plan has no such adapter");
        return std::nullopt;
    }
    if (!adapter->second.versions.contains(ref.version)) {
        why = refusalOf(core::Step::Lists, core::Refusal::NotFound, "the customer's plan does not list this version of the adapter");
        return std::nullopt;
    }
    return Grant{planId, plan->share, plan->maxInFlight, adapter->second.baseModel};
}

std::optional<Grant> ListsState::grantService(const core::CustomerId &caller, const core::ServiceName &service, core::Error &why) const
{
    core::PlanId planId;
    const auto *plan = state_->planOf(caller, planId, why);
    if (plan == nullptr) {
        return std::nullopt;
    }
    if (!plan->services.contains(service)) {
        why = refusalOf(core::Step::Lists, core::Refusal::NotFound, "the customer's plan has no such service");
        return std::nullopt;
    }
    return Grant{planId, plan->share, plan->maxInFlight, {}};
}

std::vector<core::AdapterRef> ListsState::modelsOf(const core::CustomerId &customer) const
{
    std::vector<core::AdapterRef> models;
    core::PlanId planId;
    core::Error why;
    const auto *plan = state_->planOf(customer, planId, why);
    if (plan == nullptr) {
        return models;
    }
    for (const auto &[name, adapter] : plan->adapters) {
        for (const auto &version : adapter.versions) {
            models.push_back({customer, name, version});
        }
    }
    return models;
}

std::optional<std::vector<OutgoingRecord>>
ListsState::changeRecords(ListName list, Offset basedOn, std::string_view patch, const std::string &by, const std::string &group, core::Error &why)
{
    const std::string key(listNameText(list));
    auto content = settings::parseJson(patch, "patch", settings::JsonOptions{.comments = false}, why);
    if (!content || !content->is_object() || !content->contains(key)) {
        why = refusalOf(core::Step::Lists, core::Refusal::BadRequest, "the patch changes nothing in " + key);
        return std::nullopt;
    }
    RecordHeader head;
    head.group = group;
    head.list = list;
    head.publisher = by;
    head.basedOn = basedOn;
    return writeRecords(head, (*content)[key], why);
}

bool ListsState::isSnapshotDue(ListName list, std::int64_t nowMs, core::Milliseconds retention, int rank) const
{
    constexpr std::int64_t stepsOfRetention = 4 * maxRank; // the last rank writes at three quarters of the retention
    const auto wait = retention / 2 + retention * std::clamp(rank, 0, maxRank) / stepsOfRetention;
    return state_->visit(list, [&](const auto &track) { return track.storedMs() != 0 && track.isSettled(nowMs) && nowMs - track.storedMs() >= wait.count(); });
}

std::optional<std::vector<OutgoingRecord>> ListsState::snapshotRecords(ListName list, std::int64_t nowMs, const std::string &group, core::Error &why) const
{
    return state_->visit(list, [&](const auto &track) -> std::optional<std::vector<OutgoingRecord>> {
        if (!track.isSettled(nowMs)) {
            why = refusalOf(core::Step::Lists, core::Refusal::Unavailable, "records were missed, or parts of a change may still come");
            return std::nullopt;
        }
        return writeRecords(track.snapshotHead(state_->position, group), track.content().toJson(), why);
    });
}

std::optional<std::vector<OutgoingRecord>>
ListsState::restoreRecords(const ListDocument &document, Offset asOf, std::int64_t nowMs, const std::string &by, const std::string &group, core::Error &why)
{
    RecordHeader head;
    head.group = group;
    head.kind = RecordKind::Snapshot;
    head.publisher = by;
    head.version = asOf;
    head.asOf = asOf;
    head.sinceMs = nowMs;
    if (const auto *customers = std::get_if<Customers>(&document)) {
        return writeSnapshot<CustomerCodec>(*customers, std::move(head), why);
    }
    return writeSnapshot<PlanCodec>(std::get<Plans>(document), std::move(head), why);
}

std::optional<std::string> ListsState::exportSnapshot(std::int64_t nowMs) const
{
    json whole{{"position", state_->position.value()}};
    bool settled = true;
    for (const auto list : {ListName::Customers, ListName::Plans}) {
        state_->visit(list, [&](const auto &track) {
            settled = settled && track.isSettled(nowMs);
            whole[std::string(listNameText(list))] = exportJson(track.snapshotHead(state_->position, ""), track.storedMs(), track.content().toJson());
        });
    }
    return settled ? std::optional(whole.dump()) : std::nullopt;
}

bool ListsState::importSnapshot(std::string_view text, core::Error &why)
{
    why = refusalOf(core::Step::Peer, core::Refusal::BadAnswer, "not an export of the lists");
    const auto whole = settings::parseJson(text, "lists of a peer", settings::JsonOptions{.comments = false}, why);
    const auto customers = whole ? readExport(*whole, ListName::Customers) : std::nullopt;
    const auto plans = whole ? readExport(*whole, ListName::Plans) : std::nullopt;
    if (!customers || !plans) {
        return false;
    }
    auto &state = *state_;
    const bool ahead = customers->asOf > state.position;
    const bool useCustomers = state.customers.isUseful(*customers, state.position);
    const bool usePlans = state.plans.isUseful(*plans, state.position);
    if (ahead ? !(useCustomers && usePlans) : !(useCustomers || usePlans)) {
        why.reason = "the peer's lists are not newer";
        return false;
    }
    auto customersContent = Track<CustomerCodec>::contentOf(*customers, why.reason);
    auto plansContent = Track<PlanCodec>::contentOf(*plans, why.reason);
    if (!customersContent || !plansContent) {
        return false;
    }
    if (useCustomers) {
        state.customers.install(*customers, std::move(*customersContent));
    }
    if (usePlans) {
        state.plans.install(*plans, std::move(*plansContent));
    }
    state.position = std::max(state.position, customers->asOf);
    return true;
}

} // namespace baobabstall::lists
