#include <calls/calls.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <core/hash.h>

namespace baobabstall::calls {

namespace {

using core::Error;
using core::Outcome;
using core::Refusal;
using core::Step;
using nlohmann::json;

std::string_view kindName(RecordKind kind)
{
    switch (kind) {
    case RecordKind::Open:
        return "open";
    case RecordKind::Intent:
        return "intent";
    case RecordKind::Result:
        return "result";
    }
    return "";
}

std::optional<RecordKind> kindOfName(std::string_view name)
{
    for (auto kind : {RecordKind::Open, RecordKind::Intent, RecordKind::Result}) {
        if (kindName(kind) == name) {
            return kind;
        }
    }
    return {};
}

bool isVisible(char character)
{
    return character > ' ' && character <= '~';
}

bool isValidKey(const IdempotencyKey &key)
{
    bool hasValidLength = !key.key.empty() && key.key.size() <= CallPartition::maxKeyLength;
    return hasValidLength && std::all_of(key.key.begin(), key.key.end(), isVisible);
}

/// JSON can only hold UTF-8; a body that would be altered is not recorded.
bool isJsonSafe(const std::string &text)
{
    auto encoded = json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
    return json::parse(encoded, nullptr, false) == json(text);
}

bool readText(const json &from, const char *key, std::string &to)
{
    auto found = from.find(key);
    if (found == from.end() || !found->is_string()) {
        return false;
    }
    to = found->get<std::string>();
    return true;
}

std::optional<std::uint64_t> readNumber(const json &from, const char *key, std::uint64_t maximum)
{
    auto found = from.find(key);
    if (found == from.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > maximum) {
        return {};
    }
    return found->get<std::uint64_t>();
}

bool readHead(const json &from, CallRecord &to)
{
    std::string kind;
    auto partition = readNumber(from, "partition", INT32_MAX);
    auto epoch = readNumber(from, "epoch", UINT64_MAX);
    if (!readText(from, "id", to.id) || !readText(from, "kind", kind) || !partition || !epoch) {
        return false;
    }
    auto parsed = kindOfName(kind);
    if (!parsed || to.id.empty() || *epoch == 0) {
        return false;
    }
    to.kind = *parsed;
    to.partition = static_cast<int>(*partition);
    to.epoch = Epoch(*epoch);
    return true;
}

bool readKey(const json &from, CallRecord &to)
{
    std::string customer;
    auto digest = readNumber(from, "digest", UINT64_MAX);
    if (!readText(from, "customer", customer) || !readText(from, "key", to.key.key) || !digest) {
        return false;
    }
    to.key.customer = CustomerId(std::move(customer));
    to.digest = *digest;
    return true;
}

bool readResult(const json &from, CallRecord &to)
{
    std::string outcome;
    auto status = readNumber(from, "status", INT32_MAX);
    auto bodyKept = from.find("body_kept");
    if (!readText(from, "intent", to.intentId) || !readText(from, "outcome", outcome) || !status || bodyKept == from.end() || !bodyKept->is_boolean()) {
        return false;
    }
    auto parsed = core::outcomeOfName(outcome);
    if (!parsed || to.intentId.empty() || !readText(from, "content_type", to.result.contentType) || !readText(from, "body", to.result.body)) {
        return false;
    }
    to.result.outcome = *parsed;
    to.result.status = static_cast<int>(*status);
    to.result.bodyKept = bodyKept->get<bool>();
    return true;
}

void writeResult(const CallRecord &from, json &to)
{
    bool keepsBody = from.result.bodyKept && isJsonSafe(from.result.body);
    to["intent"] = from.intentId;
    to["outcome"] = core::outcomeName(from.result.outcome);
    to["status"] = from.result.status;
    to["content_type"] = from.result.contentType;
    to["body"] = keepsBody ? from.result.body : "";
    to["body_kept"] = keepsBody;
}

} // namespace

int partitionOf(const IdempotencyKey &key, int partitions)
{
    auto hash = core::hashText(key.key, core::hashText(key.customer.value(), 0));
    return static_cast<int>(hash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

std::uint64_t requestDigest(std::string_view method, std::string_view target, std::string_view body)
{
    return core::hashText(body, core::hashText(target, core::hashText(method, 0)));
}

std::string toJson(const CallRecord &record)
{
    json to{{"id", record.id}, {"kind", kindName(record.kind)}, {"partition", record.partition}, {"epoch", record.epoch.value()}};
    if (record.kind != RecordKind::Open) {
        to["customer"] = record.key.customer.value();
        to["key"] = record.key.key;
        to["digest"] = record.digest;
    }
    if (record.kind == RecordKind::Result) {
        writeResult(record, to);
    }
    return to.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<CallRecord> recordFromJson(std::string_view text, Error &why)
{
    auto from = json::parse(text, nullptr, false);
    CallRecord record;
    bool isValid = from.is_object() && readHead(from, record);
    isValid = isValid && (record.kind == RecordKind::Open || readKey(from, record));
    isValid = isValid && (record.kind != RecordKind::Result || readResult(from, record));
    if (!isValid) {
        why = {Step::Record, "", "not a valid call record", Refusal::Internal, Outcome::NotRun, {}};
        return {};
    }
    return record;
}

CallPartition::CallPartition(int partition, WriterId writer)
    : partition_(partition)
    , writer_(std::move(writer))
{ }

std::string CallPartition::nextRecordId()
{
    return writer_.host.value() + "/" + std::to_string(writer_.incarnation.value()) + "/" + std::to_string(partition_) + "/" + std::to_string(nextId_++);
}

std::vector<Action> CallPartition::beginOwnership(Epoch epoch)
{
    Actions actions;
    if (epoch_ == epoch) {
        return actions;
    }
    epoch_ = epoch;
    CallRecord record;
    record.kind = RecordKind::Open;
    append(std::move(record), actions);
    return actions;
}

void CallPartition::endOwnership()
{
    epoch_ = Epoch();
}

std::vector<Action> CallPartition::refreshFence()
{
    Actions actions;
    if (isServing()) {
        CallRecord record;
        record.kind = RecordKind::Open;
        append(std::move(record), actions);
    }
    return actions;
}

bool CallPartition::isServing() const
{
    return epoch_.value() > 0 && fence_ == epoch_ && !logDown_;
}

bool CallPartition::isIdle() const
{
    bool hasUnwritten
        = std::any_of(pendingAppends_.begin(), pendingAppends_.end(), [](const auto &item) { return item.second.record.kind != RecordKind::Open; });
    return runningCount_ == 0 && !hasUnwritten;
}

BeginResult CallPartition::begin(const IdempotencyKey &key, std::uint64_t digest)
{
    if (!isValidKey(key)) {
        return Refused{{Step::Record, "", "an idempotency key is 1 to 255 visible ASCII characters", Refusal::BadRequest, Outcome::NotRun, {}}};
    }
    auto found = entries_.find(key);
    bool isFree = found == entries_.end() || found->second.phase == Phase::Free;
    if (!isFree) {
        return resultForKnownKey(found->second, digest);
    }
    if (!isServing()) {
        return logDown_ ? refusal("the log is down", logDownRetryAfter) : refusal("the owner of the partition is not ready", notServingRetryAfter);
    }
    auto &entry = entries_[key];
    CallRecord record{RecordKind::Intent, nextRecordId(), partition_, epoch_, key, digest, "", {}};
    entry.phase = Phase::Appending;
    entry.abandoned = false;
    entry.digest = digest;
    entry.intentId = record.id;
    pendingAppends_.emplace(record.id, PendingAppend{record});
    return AppendIntent{std::move(record)};
}

BeginResult CallPartition::resultForKnownKey(Entry &entry, std::uint64_t digest)
{
    if (entry.digest != digest) {
        return Conflict{};
    }
    if (entry.phase == Phase::Completed) {
        return entry.result.outcome == Outcome::Unknown ? BeginResult(OutcomeUnknown{}) : BeginResult(Replay{entry.result});
    }
    if (entry.phase == Phase::Unresolved && !entry.abandoned) {
        return OutcomeUnknown{};
    }
    auto pending = pendingAppends_.find(entry.intentId);
    bool canResume = entry.phase == Phase::Appending && entry.abandoned && pending != pendingAppends_.end() && isServing();
    if (!canResume) {
        return AlreadyRunning{runningRetryAfter};
    }
    entry.abandoned = false;
    ++pending->second.inFlight;
    return AppendIntent{pending->second.record};
}

Refused CallPartition::refusal(const std::string &reason, Milliseconds retryAfter) const
{
    return {{Step::Record, writer_.host.value(), reason, Refusal::Unavailable, Outcome::NotRun, retryAfter}};
}

std::vector<Action> CallPartition::abandon(const IdempotencyKey &key)
{
    Actions actions;
    auto found = entries_.find(key);
    bool isWaiting = found != entries_.end() && found->second.phase == Phase::Appending && !found->second.abandoned;
    if (isWaiting) {
        reportNotRun(key, found->second, "the request timed out before its intent was recorded", actions);
    }
    return actions;
}

std::vector<Action> CallPartition::finished(const IdempotencyKey &key, CallResult result)
{
    Actions actions;
    auto found = entries_.find(key);
    if (found == entries_.end() || found->second.phase != Phase::Running) {
        return actions;
    }
    auto &entry = found->second;
    --runningCount_;
    if (result.outcome == Outcome::NotRun) {
        entry.phase = Phase::Unresolved; // free only once the record is read back, as for every other reader
        entry.abandoned = true;
        entry.result = std::move(result);
    } else {
        entry.phase = Phase::Completed;
        storeResult(key, entry, std::move(result));
    }
    appendResult(key, entry, actions);
    return actions;
}

std::vector<Action> CallPartition::onRecord(Offset offset, const CallRecord &record)
{
    Actions actions;
    if (record.partition != partition_) {
        return actions;
    }
    switch (record.kind) {
    case RecordKind::Open:
        onOpen(record, actions);
        break;
    case RecordKind::Intent:
        onIntent(offset, record, actions);
        break;
    case RecordKind::Result:
        onResult(offset, record);
        break;
    }
    pendingAppends_.erase(record.id);
    return actions;
}

/// A higher fence voids later records of lower epochs: our intents that were not read back by now will never be valid.
void CallPartition::onOpen(const CallRecord &record, Actions &actions)
{
    if (record.epoch <= fence_) {
        return;
    }
    fence_ = record.epoch;
    std::vector<CallRecord> voided;
    for (const auto &[id, pending] : pendingAppends_) {
        if (pending.record.epoch < fence_ && pending.record.kind != RecordKind::Result) {
            voided.push_back(pending.record);
        }
    }
    for (const auto &intent : voided) {
        voidIntent(intent, "the partition has a newer owner", actions);
        pendingAppends_.erase(intent.id);
    }
}

void CallPartition::onIntent(Offset offset, const CallRecord &record, Actions &actions)
{
    if (record.epoch < fence_) {
        voidIntent(record, "the partition has a newer owner", actions);
        return;
    }
    fence_ = record.epoch; // its writer had read its own fence, even if that record has expired
    auto &entry = entries_[record.key];
    bool isStarted = entry.phase != Phase::Free && entry.phase != Phase::Appending;
    if (isStarted || entry.notRunIntentId == record.id) {
        voidIntent(record, "a call with this key was already started", actions);
        return;
    }
    updateOffset(record.key, entry, offset);
    if (entry.phase == Phase::Appending && entry.intentId == record.id) {
        onOwnIntent(record.key, entry, actions);
        return;
    }
    if (entry.phase == Phase::Appending) {
        reportNotRun(record.key, entry, "a call with this key was already started", actions);
    }
    entry.phase = Phase::Unresolved;
    entry.abandoned = false;
    entry.digest = record.digest;
    entry.intentId = record.id;
}

void CallPartition::onOwnIntent(const IdempotencyKey &key, Entry &entry, Actions &actions)
{
    if (!entry.abandoned) {
        entry.phase = Phase::Running;
        ++runningCount_;
        actions.emplace_back(Run{key});
        return;
    }
    entry.phase = Phase::Unresolved;
    entry.result = {Outcome::NotRun, 0, "", "", true};
    appendResult(key, entry, actions);
}

void CallPartition::onResult(Offset offset, const CallRecord &record)
{
    auto &entry = entries_[record.key];
    bool isOtherIntent = !entry.intentId.empty() && entry.intentId != record.intentId;
    if (isOtherIntent || entry.notRunIntentId == record.intentId) {
        return;
    }
    updateOffset(record.key, entry, offset);
    if (record.result.outcome == Outcome::NotRun) {
        entry.phase = Phase::Free;
        entry.abandoned = false;
        entry.notRunIntentId = record.intentId;
        entry.intentId.clear();
        return;
    }
    if (entry.phase == Phase::Completed) {
        return;
    }
    runningCount_ -= entry.phase == Phase::Running ? 1 : 0;
    entry.phase = Phase::Completed;
    entry.digest = record.digest;
    entry.intentId = record.intentId;
    storeResult(record.key, entry, record.result);
}

/// Discards an intent that will never be valid.
void CallPartition::voidIntent(const CallRecord &record, const std::string &reason, Actions &actions)
{
    auto found = entries_.find(record.key);
    bool isWaiting = found != entries_.end() && found->second.phase == Phase::Appending && found->second.intentId == record.id;
    if (!isWaiting) {
        return;
    }
    reportNotRun(record.key, found->second, reason, actions);
    found->second.phase = Phase::Free;
    found->second.intentId.clear();
    if (found->second.newestOffset == Offset()) {
        entries_.erase(found);
    }
}

void CallPartition::reportNotRun(const IdempotencyKey &key, Entry &entry, const std::string &reason, Actions &actions)
{
    if (!std::exchange(entry.abandoned, true)) {
        actions.emplace_back(NotRun{key, refusal(reason, logDown_ ? logDownRetryAfter : notServingRetryAfter).why});
    }
}

std::vector<Action> CallPartition::onCaughtUp()
{
    Actions actions;
    logDown_ = false;
    for (auto &[id, pending] : pendingAppends_) {
        bool isDue = pending.needsRetry && pending.inFlight == 0 && ++pending.fullReads >= requiredFullReads;
        if (isDue) {
            pending.needsRetry = false;
            pending.inFlight = 1;
            actions.emplace_back(Append{pending.record});
        }
    }
    return actions;
}

void CallPartition::onAppended(const std::string &id)
{
    auto found = pendingAppends_.find(id);
    if (found != pendingAppends_.end()) {
        --found->second.inFlight;
        found->second.maybeStored = true;
    }
}

std::vector<Action> CallPartition::onAppendRefused(const std::string &id)
{
    Actions actions;
    auto found = pendingAppends_.find(id);
    if (found == pendingAppends_.end()) {
        return actions;
    }
    auto &pending = found->second;
    --pending.inFlight;
    bool isCertain = pending.inFlight == 0 && !pending.maybeStored;
    if (isCertain && pending.record.kind == RecordKind::Intent) {
        voidIntent(pending.record, "the log refused the intent record", actions);
        pendingAppends_.erase(found);
        return actions;
    }
    pending.needsRetry = true;
    pending.fullReads = 0;
    return actions;
}

void CallPartition::onAppendUnknown(const std::string &id)
{
    auto found = pendingAppends_.find(id);
    if (found != pendingAppends_.end()) {
        --found->second.inFlight;
        found->second.maybeStored = true;
        found->second.needsRetry = true;
        found->second.fullReads = 0;
    }
}

/// Waiting callers are notified immediately. Their intents may still be stored; they are then read back and never run, unless the caller retries.
std::vector<Action> CallPartition::onLogDown()
{
    Actions actions;
    logDown_ = true;
    for (const auto &[id, pending] : pendingAppends_) {
        auto found = entries_.find(pending.record.key);
        bool isWaiting = pending.record.kind == RecordKind::Intent && found != entries_.end() && found->second.phase == Phase::Appending;
        if (isWaiting && found->second.intentId == id) {
            reportNotRun(found->first, found->second, "the log is down", actions);
        }
    }
    return actions;
}

void CallPartition::trim(Offset first)
{
    while (!keysByOffset_.empty() && keysByOffset_.begin()->first < first) {
        auto found = entries_.find(keysByOffset_.begin()->second);
        keysByOffset_.erase(keysByOffset_.begin());
        found->second.newestOffset = Offset();
        bool isOwn = found->second.phase == Phase::Appending || found->second.phase == Phase::Running;
        if (!isOwn) {
            dropBody(found->second);
            entries_.erase(found);
        }
    }
}

void CallPartition::append(CallRecord record, Actions &actions)
{
    record.id = nextRecordId();
    record.partition = partition_;
    record.epoch = record.epoch.value() > 0 ? record.epoch : epoch_;
    pendingAppends_.emplace(record.id, PendingAppend{record});
    actions.emplace_back(Append{std::move(record)});
}

/// A result is valid for the intent it names regardless of later fences: only the writer of the intent writes it.
void CallPartition::appendResult(const IdempotencyKey &key, const Entry &entry, Actions &actions)
{
    CallRecord record;
    record.kind = RecordKind::Result;
    record.epoch = fence_;
    record.key = key;
    record.digest = entry.digest;
    record.intentId = entry.intentId;
    record.result = entry.result;
    append(std::move(record), actions);
}

void CallPartition::updateOffset(const IdempotencyKey &key, Entry &entry, Offset offset)
{
    keysByOffset_.erase(entry.newestOffset);
    entry.newestOffset = offset;
    keysByOffset_.emplace(offset, key);
}

void CallPartition::storeResult(const IdempotencyKey &key, Entry &entry, CallResult result)
{
    entry.result = std::move(result);
    if (!entry.result.bodyKept) {
        entry.result.body.clear();
    }
    if (entry.result.body.empty()) {
        return;
    }
    retainedBodyBytes_ += entry.result.body.size();
    keysWithBody_.push_back(key);
    while (retainedBodyBytes_ > maxRetainedBodyBytes) {
        auto oldest = entries_.find(keysWithBody_.front());
        keysWithBody_.pop_front();
        if (oldest != entries_.end() && !oldest->second.result.body.empty()) {
            dropBody(oldest->second);
            oldest->second.result.bodyKept = false;
        }
    }
}

void CallPartition::dropBody(Entry &entry)
{
    retainedBodyBytes_ -= entry.result.body.size();
    entry.result.body = std::string();
}

std::size_t CallPartition::approximateBytes() const
{
    constexpr std::size_t nodeBytes = 48; // pointers and color of one tree node
    std::size_t bytes = sizeof(*this) + retainedBodyBytes_;
    for (const auto &[key, entry] : entries_) {
        auto text = key.customer.value().capacity() + key.key.capacity();
        bytes += 2 * (nodeBytes + sizeof(IdempotencyKey) + text) + sizeof(Entry) + sizeof(Offset) + entry.intentId.capacity() + entry.notRunIntentId.capacity();
    }
    return bytes;
}

} // namespace baobabstall::calls
