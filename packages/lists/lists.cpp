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

constexpr std::int64_t groupWindowMs = 60'000;             // from the first part of a change to the last, by the log's timestamps
constexpr std::int64_t maxClockSkewMs = 300'000;           // maximum assumed difference between a host's clock and the log's
constexpr std::size_t maxOpenSnapshots = 4;                // incomplete snapshots, per list
constexpr std::size_t maxBufferedBytes = 64 * 1024 * 1024; // records buffered within a gap, per list
constexpr std::size_t maxEntries = 200'000;                // of one list
constexpr int maxRank = 50;                                // higher ranks wait as long as this one

// ---- Index of keys ----

/// Finds a customer by the digest of its API key.
class KeyIndex
{
public:
    void replace(const core::CustomerId &id, const Customer *old, const Customer *updated)
    {
        if (old != nullptr) {
            std::for_each(old->keys.begin(), old->keys.end(), [this](const KeyDigest &key) { erase(key); });
        }
        if (updated != nullptr) {
            std::for_each(updated->keys.begin(), updated->keys.end(), [&](const KeyDigest &key) { holders_.emplace(bucketOf(key), Holder{key, id}); });
        }
    }

    /// The lookup by the first bytes of the digest need not be constant-time: a caller can't freely choose the bytes of a hash.
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

// ---- Content of one list ----

/// Validated changes of one list that are not committed yet. No entry: the id is removed.
template<EntryCodec Codec>
struct StagedChanges {
    std::vector<std::pair<typename Codec::Id, std::optional<typename Codec::Entry>>> changes;
};

/// The entries of one list and their digest, which is updated incrementally: a change costs only the entries that it touches.
template<EntryCodec Codec>
class ListContent
{
public:
    using Id = typename Codec::Id;
    using Entry = typename Codec::Entry;
    using Entries = std::map<Id, Entry>;
    using Staged = StagedChanges<Codec>;

    /// Applies a merge patch to copies of the entries that it names.
    [[nodiscard]] std::optional<Staged> stage(const json &patch, std::string &reason) const
    {
        Staged staged;
        for (const auto &[key, value] : patch.items()) {
            if (!isValidEntryName(key)) {
                reason = std::string(listNameText(Codec::list)) + ": invalid entry name";
                return std::nullopt;
            }
            const Id id(key);
            std::optional<Entry> entry;
            if (!value.is_null()) {
                entry = applyPatch(id, value, reason);
                if (!entry) {
                    reason = reasonWithPath(Codec::list, key, reason);
                    return std::nullopt;
                }
            }
            staged.changes.emplace_back(id, std::move(entry));
        }
        return checkLimits(staged, reason) ? std::optional(std::move(staged)) : std::nullopt;
    }

    void commit(Staged staged)
    {
        for (const auto &[id, entry] : staged.changes) {
            removeEntry(id);
        }
        for (auto &[id, entry] : staged.changes) {
            if (entry) {
                digest_ += digestOf(id, *entry);
                updateKeyIndex(id, nullptr, &*entry);
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

    std::optional<Entry> applyPatch(const Id &id, const json &patch, std::string &reason) const
    {
        const auto old = entries_.find(id);
        json value = old == entries_.end() ? json::object() : Codec::write(old->second);
        value.merge_patch(patch);
        return Codec::read(value, reason);
    }

    bool checkLimits(const Staged &staged, std::string &reason) const
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

    /// Whether no two customers would hold the same key. A key may move between customers that are part of the same change.
    bool keysAreFree(const Staged &staged, std::string &reason) const
    {
        std::map<core::CustomerId, bool> touched;
        std::set<KeyDigest> newKeys;
        for (const auto &[id, entry] : staged.changes) {
            touched.emplace(id, true);
        }
        for (const auto &[id, entry] : staged.changes) {
            for (const auto &key : entry ? entry->keys : std::set<KeyDigest>()) {
                const auto *holder = keys_.find(key);
                if (!newKeys.insert(key).second || (holder != nullptr && !touched.contains(*holder))) {
                    reason = "customers." + id.value() + ".keys: found a key that another customer holds; allowed: keys of this customer only";
                    return false;
                }
            }
        }
        return true;
    }

    void removeEntry(const Id &id)
    {
        const auto old = entries_.find(id);
        if (old != entries_.end()) {
            digest_ -= digestOf(id, old->second);
            updateKeyIndex(id, &old->second, nullptr);
            entries_.erase(old);
        }
    }

    void updateKeyIndex(const Id &id, const Entry *old, const Entry *updated)
    {
        if constexpr (hasKeys) {
            keys_.replace(id, old, updated);
        }
    }

    /// The digest is the sum of these hashes, which is independent of order and can be updated per entry. It detects errors, not
    /// forgery.
    static std::uint64_t digestOf(const Id &id, const Entry &entry) { return core::hashText(Codec::write(entry).dump(), core::hashText(id.value(), 0)); }

    Entries entries_;
    KeyIndex keys_;
    std::uint64_t digest_ = 0;
};

// ---- Versions of one list ----

struct LogPosition {
    Offset offset;
    std::int64_t timeMs = 0;
};

/// A record that was read within a gap.
struct BufferedRecord {
    LogPosition logPosition;
    RecordHeader header;
    json entries;
    std::size_t bytes = 0;
};

/// A change of several parts whose last part has not arrived.
struct OpenChange {
    RecordHeader header; // of the newest part
    std::int64_t beganMs = 0;
    json entries;
};

/// A snapshot with missing parts. They may arrive in any order and with other records in between.
struct OpenSnapshot {
    RecordHeader header;
    std::int64_t beganMs = 0;
    std::set<int> partsSeen;
    json entries;
};

/// A complete snapshot, from the log or from a peer.
struct CompleteSnapshot {
    Offset version;
    Offset asOf;
    std::int64_t sinceMs = 0;
    std::int64_t storedMs = 0;
    std::string publisher;
    std::uint64_t digest = 0;
    json entries;
};

/// Applies the records of one list.
template<EntryCodec Codec>
class ListReader
{
public:
    Verdict applyRecord(const LogPosition &logPosition, RecordHeader header, json entries, std::size_t bytes)
    {
        if (header.kind == RecordKind::Snapshot) {
            return applySnapshotPart(logPosition, std::move(header), std::move(entries));
        }
        if (isUpToDate_) {
            return evaluate(logPosition, header, entries);
        }
        auto verdict = makeVerdict(header, Verdict::Kind::Unjudged);
        buffer({logPosition, std::move(header), std::move(entries), bytes});
        return verdict;
    }

    /// Called for each record of the stream. The wait for the next snapshot starts at the first record.
    void onRecord(std::int64_t timeMs)
    {
        if (storedMs_ == 0) {
            storedMs_ = timeMs;
        }
    }

    /// Records below `first` were missed.
    void openGap(Offset first)
    {
        isUpToDate_ = false;
        gapEnd_ = first;
        openChange_.reset();
        buffered_.clear();
        bufferedBytes_ = 0;
    }

    /// The log was read from its beginning, so no record was missed.
    void onReadFromStart()
    {
        isUpToDate_ = true;
        hasVersion_ = true;
    }

    /// Whether the snapshot is newer than this reader's state or closes its gap. `position`: the last offset read.
    [[nodiscard]] bool isUseful(const CompleteSnapshot &snapshot, Offset position) const
    {
        if (snapshot.version < version_) {
            return false;
        }
        return isUpToDate_ ? snapshot.asOf > position : snapshot.asOf.next() >= gapEnd_;
    }

    /// The content of a snapshot; none if it is invalid or does not match its digest.
    [[nodiscard]] static std::optional<ListContent<Codec>> contentOf(const CompleteSnapshot &snapshot, std::string &reason)
    {
        ListContent<Codec> content;
        auto staged = content.stage(snapshot.entries, reason);
        if (!staged) {
            return std::nullopt;
        }
        content.commit(std::move(*staged));
        if (content.digest() != snapshot.digest) {
            reason = "the snapshot's content does not match its digest";
            return std::nullopt;
        }
        return content;
    }

    void install(const CompleteSnapshot &snapshot, ListContent<Codec> content)
    {
        content_ = std::move(content);
        version_ = snapshot.version;
        sinceMs_ = snapshot.sinceMs;
        storedMs_ = snapshot.storedMs;
        publisher_ = snapshot.publisher;
        isUpToDate_ = true;
        hasVersion_ = true;
        diverged_ = false;
        openChange_.reset();
        replayAfter(snapshot.asOf);
    }

    [[nodiscard]] InForce inForce() const { return {isUpToDate_, version_, content_.digest(), sinceMs_, publisher_, content_.entries().size(), diverged_}; }
    [[nodiscard]] const ListContent<Codec> &content() const { return content_; }
    [[nodiscard]] bool hasVersion() const { return hasVersion_; }
    [[nodiscard]] std::int64_t storedMs() const { return storedMs_; }

    /// Whether a snapshot written now would be complete. A change whose parts may still arrive would be missing from it.
    [[nodiscard]] bool canWriteSnapshot(std::int64_t nowMs) const
    {
        const bool mayComplete = openChange_ && nowMs < openChange_->beganMs + groupWindowMs + maxClockSkewMs;
        return isUpToDate_ && !mayComplete;
    }

    [[nodiscard]] RecordHeader snapshotHeader(Offset position, const std::string &group) const
    {
        RecordHeader header;
        header.group = group;
        header.list = Codec::list;
        header.kind = RecordKind::Snapshot;
        header.publisher = publisher_.empty() ? "nobody" : publisher_;
        header.version = version_;
        header.asOf = position;
        header.sinceMs = sinceMs_;
        header.digest = content_.digest();
        return header;
    }

private:
    Verdict makeVerdict(const RecordHeader &header, Verdict::Kind kind, std::string reason = {}) const
    {
        return {kind, std::move(reason), header.list, header.group, header.publisher, version_};
    }

    // Changes

    Verdict evaluate(const LogPosition &logPosition, const RecordHeader &header, const json &entries)
    {
        if (header.part > 1 && !continues(logPosition, header)) {
            openChange_.reset();
            return makeVerdict(header,
                               Verdict::Kind::Rejected,
                               "part " + std::to_string(header.part) + " of " + std::to_string(header.parts) + " does not follow the part before it");
        }
        auto change = header.part > 1 ? std::move(*openChange_) : OpenChange{header, logPosition.timeMs, json::object()};
        openChange_.reset();
        if (header.basedOn != version_) {
            return makeVerdict(header, Verdict::Kind::Rejected, staleBaseReason(header));
        }
        change.entries.update(entries);
        change.header = header;
        if (header.part < header.parts) {
            openChange_ = std::move(change);
            return makeVerdict(header, Verdict::Kind::Pending);
        }
        return accept(logPosition, header, change.entries);
    }

    bool continues(const LogPosition &logPosition, const RecordHeader &header) const
    {
        if (!openChange_) {
            return false;
        }
        const auto &last = openChange_->header;
        return header.group == last.group && header.part == last.part + 1 && header.parts == last.parts && header.basedOn == last.basedOn
            && logPosition.timeMs <= openChange_->beganMs + groupWindowMs;
    }

    std::string staleBaseReason(const RecordHeader &header) const
    {
        return "based on version " + std::to_string(header.basedOn.value()) + " of " + std::string(listNameText(header.list)) + ", but version "
            + std::to_string(version_.value()) + " is in force";
    }

    Verdict accept(const LogPosition &logPosition, const RecordHeader &header, const json &entries)
    {
        std::string reason;
        auto staged = content_.stage(entries, reason);
        if (!staged) {
            return makeVerdict(header, Verdict::Kind::Rejected, reason);
        }
        content_.commit(std::move(*staged));
        version_ = logPosition.offset;
        sinceMs_ = logPosition.timeMs;
        publisher_ = header.publisher;
        return makeVerdict(header, Verdict::Kind::Accepted);
    }

    // Gaps

    void buffer(BufferedRecord record)
    {
        bufferedBytes_ += record.bytes;
        buffered_.push_back(std::move(record));
        while (bufferedBytes_ > maxBufferedBytes) {
            gapEnd_ = buffered_.front().logPosition.offset.next();
            bufferedBytes_ -= buffered_.front().bytes;
            buffered_.pop_front();
        }
    }

    void replayAfter(Offset asOf)
    {
        auto records = std::exchange(buffered_, {});
        bufferedBytes_ = 0;
        for (auto &record : records) {
            if (record.logPosition.offset > asOf) {
                evaluate(record.logPosition, record.header, record.entries);
            }
        }
    }

    // Snapshots

    Verdict applySnapshotPart(const LogPosition &logPosition, RecordHeader header, json entries)
    {
        auto &snapshot = findOrAddSnapshot(logPosition, header);
        if (!isSameSnapshot(snapshot.header, header) || !snapshot.partsSeen.insert(header.part).second) {
            return makeVerdict(header, Verdict::Kind::Rejected, "the part does not match the other parts of its snapshot");
        }
        if (!isUpToDate_) {
            snapshot.entries.update(entries);
        }
        if (snapshot.partsSeen.size() < static_cast<std::size_t>(header.parts)) {
            return makeVerdict(header, Verdict::Kind::Pending);
        }
        OpenSnapshot complete = std::move(snapshot);
        std::erase_if(openSnapshots_, [&](const OpenSnapshot &other) { return other.partsSeen.empty() || other.header.group == header.group; });
        return isUpToDate_ ? compareSnapshot(complete) : closeGap(complete);
    }

    OpenSnapshot &findOrAddSnapshot(const LogPosition &logPosition, const RecordHeader &header)
    {
        const auto found
            = std::find_if(openSnapshots_.begin(), openSnapshots_.end(), [&](const OpenSnapshot &each) { return each.header.group == header.group; });
        if (found != openSnapshots_.end()) {
            return *found;
        }
        openSnapshots_.push_back({header, logPosition.timeMs, {}, json::object()});
        if (openSnapshots_.size() > maxOpenSnapshots) {
            openSnapshots_.pop_front();
        }
        return openSnapshots_.back();
    }

    static bool isSameSnapshot(const RecordHeader &a, const RecordHeader &b)
    {
        return a.parts == b.parts && a.version == b.version && a.asOf == b.asOf && a.digest == b.digest && a.sinceMs == b.sinceMs;
    }

    Verdict compareSnapshot(const OpenSnapshot &received)
    {
        const auto &header = received.header;
        const bool sameVersion = header.version == version_;
        if (header.version > version_ || (sameVersion && header.digest != content_.digest())) {
            diverged_ = true;
            return makeVerdict(header, Verdict::Kind::Rejected, "the snapshot differs from the version that this reader has in force");
        }
        storedMs_ = std::max(storedMs_, received.beganMs);
        return makeVerdict(header, Verdict::Kind::Snapshot);
    }

    Verdict closeGap(OpenSnapshot &received)
    {
        const auto &header = received.header;
        const CompleteSnapshot snapshot{
            header.version, header.asOf, header.sinceMs, received.beganMs, header.publisher, header.digest, std::move(received.entries)};
        if (!isUseful(snapshot, Offset())) {
            return makeVerdict(header, Verdict::Kind::Rejected, "the snapshot is older than the records that this reader missed");
        }
        std::string reason;
        auto content = contentOf(snapshot, reason);
        if (!content) {
            return makeVerdict(header, Verdict::Kind::Rejected, reason);
        }
        install(snapshot, std::move(*content));
        return makeVerdict(header, Verdict::Kind::Snapshot);
    }

    ListContent<Codec> content_;
    Offset version_;
    std::int64_t sinceMs_ = 0;
    std::int64_t storedMs_ = 0; // log time of the oldest record that a new reader needs
    std::string publisher_;
    bool isUpToDate_ = false; // no record is missing
    bool hasVersion_ = false; // was up to date at least once
    bool diverged_ = false;
    Offset gapEnd_ = Offset(1); // offset of the first record after the gap
    std::optional<OpenChange> openChange_;
    std::deque<OpenSnapshot> openSnapshots_;
    std::deque<BufferedRecord> buffered_;
    std::size_t bufferedBytes_ = 0;
};

// ---- Exports to peers ----

json exportJson(const RecordHeader &header, std::int64_t storedMs, json entries)
{
    return json{{"version", header.version.value()},
                {"since_ms", header.sinceMs},
                {"stored_ms", storedMs},
                {"by", header.publisher},
                {"digest", header.digest},
                {"entries", std::move(entries)}};
}

bool isCount(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_number_integer() && (object[key].is_number_unsigned() || object[key].get<std::int64_t>() >= 0);
}

std::optional<CompleteSnapshot> readExport(const json &whole, ListName list)
{
    const std::string key(listNameText(list));
    if (!whole.is_object() || !isCount(whole, "position") || !whole.contains(key) || !whole[key].is_object()) {
        return std::nullopt;
    }
    const json &object = whole[key];
    const bool isValid = isCount(object, "version") && isCount(object, "since_ms") && isCount(object, "stored_ms") && isCount(object, "digest")
        && object.contains("by") && object["by"].is_string() && object.contains("entries") && object["entries"].is_object();
    if (!isValid) {
        return std::nullopt;
    }
    return CompleteSnapshot{Offset(object["version"].get<std::uint64_t>()),
                            Offset(whole["position"].get<std::uint64_t>()),
                            object["since_ms"].get<std::int64_t>(),
                            object["stored_ms"].get<std::int64_t>(),
                            object["by"].get<std::string>(),
                            object["digest"].get<std::uint64_t>(),
                            object["entries"]};
}

/// The records of a snapshot with this content; `header` gives all fields except list and digest.
template<EntryCodec Codec>
std::optional<std::vector<OutgoingRecord>>
writeSnapshot(const std::map<typename Codec::Id, typename Codec::Entry> &entries, RecordHeader header, core::Error &why)
{
    StagedChanges<Codec> staged;
    for (const auto &[id, entry] : entries) {
        staged.changes.emplace_back(id, entry);
    }
    ListContent<Codec> content;
    content.commit(std::move(staged));
    header.list = Codec::list;
    header.digest = content.digest();
    return writeRecords(header, content.toJson(), why);
}

core::Error makeRefusal(core::Step step, core::Refusal refusal, std::string reason)
{
    return core::Error{.step = step, .reason = std::move(reason), .refusal = refusal};
}

} // namespace

struct ListsState::State {
    Offset position;
    ListReader<CustomerCodec> customers;
    ListReader<PlanCodec> plans;

    template<typename Visit>
    auto visit(ListName list, Visit visitor) const
    {
        return list == ListName::Customers ? visitor(customers) : visitor(plans);
    }

    const Plan *planOf(const core::CustomerId &id, core::PlanId &plan, core::Error &why) const
    {
        const auto &customerEntries = customers.content().entries();
        const auto customer = customerEntries.find(id);
        if (customer == customerEntries.end()) {
            why = makeRefusal(core::Step::Lists, core::Refusal::Unauthorized, "this customer is not in the customers list in force");
            return nullptr;
        }
        plan = customer->second.plan;
        const auto found = plans.content().entries().find(plan);
        if (found == plans.content().entries().end()) {
            why = makeRefusal(core::Step::Lists, core::Refusal::Unavailable, "the customer's plan \"" + plan.value() + "\" is not in the plans list in force");
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
    state_->customers.onRecord(timeMs);
    state_->plans.onRecord(timeMs);
    json entries;
    auto header = readRecord(record, entries, verdict.reason);
    if (!header) {
        return verdict;
    }
    const LogPosition logPosition{offset, timeMs};
    if (header->list == ListName::Customers) {
        return state_->customers.applyRecord(logPosition, std::move(*header), std::move(entries), record.size());
    }
    return state_->plans.applyRecord(logPosition, std::move(*header), std::move(entries), record.size());
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
        state_->customers.onReadFromStart();
        state_->plans.onReadFromStart();
    }
}

Offset ListsState::position() const
{
    return state_->position;
}

InForce ListsState::inForce(ListName list) const
{
    return state_->visit(list, [](const auto &reader) { return reader.inForce(); });
}

bool ListsState::isReady() const
{
    return state_->customers.hasVersion() && state_->plans.hasVersion();
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
        why = makeRefusal(core::Step::Identify, core::Refusal::Unauthorized, "no customer holds this key");
        return std::nullopt;
    }
    return *found;
}

std::optional<Grant> ListsState::grant(const core::CustomerId &caller, const core::AdapterRef &ref, core::Error &why) const
{
    if (ref.customer != caller) {
        why = makeRefusal(core::Step::Lists, core::Refusal::Forbidden, "the model belongs to another customer");
        return std::nullopt;
    }
    core::PlanId planId;
    const auto *plan = state_->planOf(caller, planId, why);
    if (plan == nullptr) {
        return std::nullopt;
    }
    const auto adapter = plan->adapters.find(ref.adapter);
    if (adapter == plan->adapters.end()) {
        why = makeRefusal(core::Step::Lists, core::Refusal::NotFound, "the customer's plan has no such adapter");
        return std::nullopt;
    }
    if (!adapter->second.versions.contains(ref.version)) {
        why = makeRefusal(core::Step::Lists, core::Refusal::NotFound, "the customer's plan does not list this version of the adapter");
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
        why = makeRefusal(core::Step::Lists, core::Refusal::NotFound, "the customer's plan has no such service");
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
ListsState::changeRecords(ListName list, Offset basedOn, std::string_view patch, const std::string &publisher, const std::string &group, core::Error &why)
{
    const std::string key(listNameText(list));
    auto content = settings::parseJson(patch, "patch", settings::JsonOptions{.comments = false}, why);
    if (!content || !content->is_object() || !content->contains(key)) {
        why = makeRefusal(core::Step::Lists, core::Refusal::BadRequest, "the patch changes nothing in " + key);
        return std::nullopt;
    }
    RecordHeader header;
    header.group = group;
    header.list = list;
    header.publisher = publisher;
    header.basedOn = basedOn;
    return writeRecords(header, (*content)[key], why);
}

bool ListsState::isSnapshotDue(ListName list, std::int64_t nowMs, core::Milliseconds retention, int rank) const
{
    constexpr std::int64_t stepsOfRetention = 4 * maxRank; // the last rank appends at three quarters of the retention
    const auto wait = retention / 2 + retention * std::clamp(rank, 0, maxRank) / stepsOfRetention;
    return state_->visit(
        list, [&](const auto &reader) { return reader.storedMs() != 0 && reader.canWriteSnapshot(nowMs) && nowMs - reader.storedMs() >= wait.count(); });
}

std::optional<std::vector<OutgoingRecord>> ListsState::snapshotRecords(ListName list, std::int64_t nowMs, const std::string &group, core::Error &why) const
{
    return state_->visit(list, [&](const auto &reader) -> std::optional<std::vector<OutgoingRecord>> {
        if (!reader.canWriteSnapshot(nowMs)) {
            why = makeRefusal(core::Step::Lists, core::Refusal::Unavailable, "records were missed, or parts of a change may still arrive");
            return std::nullopt;
        }
        return writeRecords(reader.snapshotHeader(state_->position, group), reader.content().toJson(), why);
    });
}

std::optional<std::vector<OutgoingRecord>> ListsState::restoreRecords(const ListDocument &document,
                                                                      Offset asOf,
                                                                      std::int64_t nowMs,
                                                                      const std::string &publisher,
                                                                      const std::string &group,
                                                                      core::Error &why)
{
    RecordHeader header;
    header.group = group;
    header.kind = RecordKind::Snapshot;
    header.publisher = publisher;
    header.version = asOf;
    header.asOf = asOf;
    header.sinceMs = nowMs;
    if (const auto *customers = std::get_if<Customers>(&document)) {
        return writeSnapshot<CustomerCodec>(*customers, std::move(header), why);
    }
    return writeSnapshot<PlanCodec>(std::get<Plans>(document), std::move(header), why);
}

std::optional<std::string> ListsState::exportSnapshot(std::int64_t nowMs) const
{
    json whole{{"position", state_->position.value()}};
    bool canExport = true;
    for (const auto list : {ListName::Customers, ListName::Plans}) {
        state_->visit(list, [&](const auto &reader) {
            canExport = canExport && reader.canWriteSnapshot(nowMs);
            whole[std::string(listNameText(list))] = exportJson(reader.snapshotHeader(state_->position, ""), reader.storedMs(), reader.content().toJson());
        });
    }
    return canExport ? std::optional(whole.dump()) : std::nullopt;
}

bool ListsState::importSnapshot(std::string_view text, core::Error &why)
{
    why = makeRefusal(core::Step::Peer, core::Refusal::BadAnswer, "not an export of the lists");
    const auto whole = settings::parseJson(text, "lists of a peer", settings::JsonOptions{.comments = false}, why);
    const auto customers = whole ? readExport(*whole, ListName::Customers) : std::nullopt;
    const auto plans = whole ? readExport(*whole, ListName::Plans) : std::nullopt;
    if (!customers || !plans) {
        return false;
    }
    auto &state = *state_;
    const bool isAhead = customers->asOf > state.position;
    const bool useCustomers = state.customers.isUseful(*customers, state.position);
    const bool usePlans = state.plans.isUseful(*plans, state.position);
    if (isAhead ? !(useCustomers && usePlans) : !(useCustomers || usePlans)) {
        why.reason = "the peer's lists are not newer";
        return false;
    }
    auto customersContent = ListReader<CustomerCodec>::contentOf(*customers, why.reason);
    auto plansContent = ListReader<PlanCodec>::contentOf(*plans, why.reason);
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
