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

bool isVisible(char letter)
{
    return letter > ' ' && letter <= '~';
}

bool isPlainKey(const CallKey &key)
{
    bool fits = !key.key.empty() && key.key.size() <= CallPartition::maxKeyLength;
    return fits && std::all_of(key.key.begin(), key.key.end(), isVisible);
}

/// JSON holds UTF-8 only; a body that it would change is not recorded.
bool survivesJson(const std::string &text)
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

std::optional<std::uint64_t> readNumber(const json &from, const char *key, std::uint64_t most)
{
    auto found = from.find(key);
    if (found == from.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > most) {
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
    auto known = kindOfName(kind);
    if (!known || to.id.empty() || *epoch == 0) {
        return false;
    }
    to.kind = *known;
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
    auto kept = from.find("body_kept");
    if (!readText(from, "intent", to.intent) || !readText(from, "outcome", outcome) || !status || kept == from.end() || !kept->is_boolean()) {
        return false;
    }
    auto known = core::outcomeOfName(outcome);
    if (!known || to.intent.empty() || !readText(from, "content_type", to.result.contentType) || !readText(from, "body", to.result.body)) {
        return false;
    }
    to.result.outcome = *known;
    to.result.status = static_cast<int>(*status);
    to.result.bodyKept = kept->get<bool>();
    return true;
}

void writeResult(const CallRecord &from, json &to)
{
    bool keeps = from.result.bodyKept && survivesJson(from.result.body);
    to["intent"] = from.intent;
    to["outcome"] = core::outcomeName(from.result.outcome);
    to["status"] = from.result.status;
    to["content_type"] = from.result.contentType;
    to["body"] = keeps ? from.result.body : "";
    to["body_kept"] = keeps;
}

} // namespace

int partitionOf(const CallKey &key, int partitions)
{
    auto hash = core::hashText(key.key, core::hashText(key.customer.value(), 0));
    return static_cast<int>(hash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

std::uint64_t bodyDigest(std::string_view method, std::string_view target, std::string_view body)
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
    bool good = from.is_object() && readHead(from, record);
    good = good && (record.kind == RecordKind::Open || readKey(from, record));
    good = good && (record.kind != RecordKind::Result || readResult(from, record));
    if (!good) {
        why = {Step::Record, "", "not a record of calls", Refusal::Internal, Outcome::NotRun, {}};
        return {};
    }
    return record;
}

CallPartition::CallPartition(int partition, Self self)
    : partition_(partition)
    , self_(std::move(self))
{ }

std::string CallPartition::newId()
{
    return self_.host.value() + "/" + std::to_string(self_.incarnation.value()) + "/" + std::to_string(partition_) + "/" + std::to_string(nextId_++);
}

std::vector<Decision> CallPartition::own(Epoch epoch)
{
    Decisions out;
    if (epoch_ == epoch) {
        return out;
    }
    epoch_ = epoch;
    CallRecord record;
    record.kind = RecordKind::Open;
    append(std::move(record), out);
    return out;
}

void CallPartition::disown()
{
    epoch_ = Epoch();
}

std::vector<Decision> CallPartition::refresh()
{
    Decisions out;
    if (isServing()) {
        CallRecord record;
        record.kind = RecordKind::Open;
        append(std::move(record), out);
    }
    return out;
}

bool CallPartition::isServing() const
{
    return epoch_.value() > 0 && fence_ == epoch_ && !logDown_;
}

bool CallPartition::isIdle() const
{
    bool unwritten = std::any_of(pending_.begin(), pending_.end(), [](const auto &item) { return item.second.record.kind != RecordKind::Open; });
    return running_ == 0 && !unwritten;
}

Answer CallPartition::begin(const CallKey &key, std::uint64_t digest)
{
    if (!isPlainKey(key)) {
        return Refuse{{Step::Record, "", "an idempotency key is 1 to 255 visible ASCII characters", Refusal::BadRequest, Outcome::NotRun, {}}};
    }
    auto found = entries_.find(key);
    bool isFree = found == entries_.end() || found->second.phase == Phase::Free;
    if (!isFree) {
        return answerFor(found->second, digest);
    }
    if (!isServing()) {
        return logDown_ ? refusal("the log is down", logDownRetryAfter) : refusal("the partition's owner is not ready", notServingRetryAfter);
    }
    auto &entry = entries_[key];
    CallRecord record{RecordKind::Intent, newId(), partition_, epoch_, key, digest, "", {}};
    entry.phase = Phase::Appending;
    entry.givenUp = false;
    entry.digest = digest;
    entry.intent = record.id;
    pending_.emplace(record.id, Pending{record});
    return AppendIntent{std::move(record)};
}

Answer CallPartition::answerFor(Entry &entry, std::uint64_t digest)
{
    if (entry.digest != digest) {
        return Conflict{};
    }
    if (entry.phase == Phase::Ended) {
        return entry.result.outcome == Outcome::Unknown ? Answer(WasUnknown{}) : Answer(Replay{entry.result});
    }
    if (entry.phase == Phase::Begun && !entry.givenUp) {
        return WasUnknown{};
    }
    auto pending = pending_.find(entry.intent);
    bool canJoin = entry.phase == Phase::Appending && entry.givenUp && pending != pending_.end() && isServing();
    if (!canJoin) {
        return AlreadyRunning{runningRetryAfter};
    }
    entry.givenUp = false;
    ++pending->second.inFlight;
    return AppendIntent{pending->second.record};
}

Refuse CallPartition::refusal(const std::string &reason, Milliseconds retryAfter) const
{
    return {{Step::Record, self_.host.value(), reason, Refusal::Unavailable, Outcome::NotRun, retryAfter}};
}

std::vector<Decision> CallPartition::giveUp(const CallKey &key)
{
    Decisions out;
    auto found = entries_.find(key);
    bool waits = found != entries_.end() && found->second.phase == Phase::Appending && !found->second.givenUp;
    if (waits) {
        tellNotRun(key, found->second, "the request's time ended before it was recorded", out);
    }
    return out;
}

std::vector<Decision> CallPartition::finished(const CallKey &key, CallResult result)
{
    Decisions out;
    auto found = entries_.find(key);
    if (found == entries_.end() || found->second.phase != Phase::Running) {
        return out;
    }
    auto &entry = found->second;
    --running_;
    if (result.outcome == Outcome::NotRun) {
        entry.phase = Phase::Begun; // free only once its record is read back, as for every other reader
        entry.givenUp = true;
        entry.result = std::move(result);
    } else {
        entry.phase = Phase::Ended;
        keepResult(key, entry, std::move(result));
    }
    appendResult(key, entry, out);
    return out;
}

std::vector<Decision> CallPartition::onRecord(Offset offset, const CallRecord &record)
{
    Decisions out;
    if (record.partition != partition_) {
        return out;
    }
    switch (record.kind) {
    case RecordKind::Open:
        onOpen(record, out);
        break;
    case RecordKind::Intent:
        onIntent(offset, record, out);
        break;
    case RecordKind::Result:
        onResult(offset, record);
        break;
    }
    pending_.erase(record.id);
    return out;
}

/// A higher fence makes what lies behind it void: our intents that were not read by now will never be valid.
void CallPartition::onOpen(const CallRecord &record, Decisions &out)
{
    if (record.epoch <= fence_) {
        return;
    }
    fence_ = record.epoch;
    std::vector<CallRecord> lost;
    for (const auto &[id, pending] : pending_) {
        if (pending.record.epoch < fence_ && pending.record.kind != RecordKind::Result) {
            lost.push_back(pending.record);
        }
    }
    for (const auto &intent : lost) {
        dropAppending(intent, "the partition has another owner", out);
        pending_.erase(intent.id);
    }
}

void CallPartition::onIntent(Offset offset, const CallRecord &record, Decisions &out)
{
    if (record.epoch < fence_) {
        dropAppending(record, "the partition has another owner", out);
        return;
    }
    fence_ = record.epoch; // its writer had read its own fence, also when that expired
    auto &entry = entries_[record.key];
    bool stands = entry.phase != Phase::Free && entry.phase != Phase::Appending;
    if (stands || entry.freedIntent == record.id) {
        dropAppending(record, "the key was begun before", out);
        return;
    }
    touch(record.key, entry, offset);
    if (entry.phase == Phase::Appending && entry.intent == record.id) {
        onOwnIntent(record.key, entry, out);
        return;
    }
    if (entry.phase == Phase::Appending) {
        tellNotRun(record.key, entry, "the key was begun before", out);
    }
    entry.phase = Phase::Begun;
    entry.givenUp = false;
    entry.digest = record.digest;
    entry.intent = record.id;
}

void CallPartition::onOwnIntent(const CallKey &key, Entry &entry, Decisions &out)
{
    if (!entry.givenUp) {
        entry.phase = Phase::Running;
        ++running_;
        out.emplace_back(Run{key});
        return;
    }
    entry.phase = Phase::Begun;
    entry.result = {Outcome::NotRun, 0, "", "", true};
    appendResult(key, entry, out);
}

void CallPartition::onResult(Offset offset, const CallRecord &record)
{
    auto &entry = entries_[record.key];
    bool isOther = !entry.intent.empty() && entry.intent != record.intent;
    if (isOther || entry.freedIntent == record.intent) {
        return;
    }
    touch(record.key, entry, offset);
    if (record.result.outcome == Outcome::NotRun) {
        entry.phase = Phase::Free;
        entry.givenUp = false;
        entry.freedIntent = record.intent;
        entry.intent.clear();
        return;
    }
    if (entry.phase == Phase::Ended) {
        return;
    }
    running_ -= entry.phase == Phase::Running ? 1 : 0;
    entry.phase = Phase::Ended;
    entry.digest = record.digest;
    entry.intent = record.intent;
    keepResult(record.key, entry, record.result);
}

/// An intent that will never be valid.
void CallPartition::dropAppending(const CallRecord &record, const std::string &reason, Decisions &out)
{
    auto found = entries_.find(record.key);
    bool waits = found != entries_.end() && found->second.phase == Phase::Appending && found->second.intent == record.id;
    if (!waits) {
        return;
    }
    tellNotRun(record.key, found->second, reason, out);
    found->second.phase = Phase::Free;
    found->second.intent.clear();
    if (found->second.at == Offset()) {
        entries_.erase(found);
    }
}

void CallPartition::tellNotRun(const CallKey &key, Entry &entry, const std::string &reason, Decisions &out)
{
    if (!std::exchange(entry.givenUp, true)) {
        out.emplace_back(NotRun{key, refusal(reason, logDown_ ? logDownRetryAfter : notServingRetryAfter).why});
    }
}

std::vector<Decision> CallPartition::onReadToEnd()
{
    Decisions out;
    logDown_ = false;
    for (auto &[id, pending] : pending_) {
        bool isDue = pending.toRetry && pending.inFlight == 0 && ++pending.reads >= endReadsNeeded;
        if (isDue) {
            pending.toRetry = false;
            pending.inFlight = 1;
            out.emplace_back(Append{pending.record});
        }
    }
    return out;
}

void CallPartition::onAppended(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        --found->second.inFlight;
        found->second.maybeTaken = true;
    }
}

std::vector<Decision> CallPartition::onAppendRefused(const std::string &id)
{
    Decisions out;
    auto found = pending_.find(id);
    if (found == pending_.end()) {
        return out;
    }
    auto &pending = found->second;
    --pending.inFlight;
    bool certain = pending.inFlight == 0 && !pending.maybeTaken;
    if (certain && pending.record.kind == RecordKind::Intent) {
        dropAppending(pending.record, "the log refused the record", out);
        pending_.erase(found);
        return out;
    }
    pending.toRetry = true;
    pending.reads = 0;
    return out;
}

void CallPartition::onAppendUnknown(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        --found->second.inFlight;
        found->second.maybeTaken = true;
        found->second.toRetry = true;
        found->second.reads = 0;
    }
}

/// A caller that waits is told at once. Its intent may still land; it is read back then and never run, unless the caller comes again.
std::vector<Decision> CallPartition::onLogDown()
{
    Decisions out;
    logDown_ = true;
    for (const auto &[id, pending] : pending_) {
        auto found = entries_.find(pending.record.key);
        bool waits = pending.record.kind == RecordKind::Intent && found != entries_.end() && found->second.phase == Phase::Appending;
        if (waits && found->second.intent == id) {
            tellNotRun(found->first, found->second, "the log is down", out);
        }
    }
    return out;
}

void CallPartition::trim(Offset first)
{
    while (!byOffset_.empty() && byOffset_.begin()->first < first) {
        auto found = entries_.find(byOffset_.begin()->second);
        byOffset_.erase(byOffset_.begin());
        found->second.at = Offset();
        bool ours = found->second.phase == Phase::Appending || found->second.phase == Phase::Running;
        if (!ours) {
            dropBody(found->second);
            entries_.erase(found);
        }
    }
}

void CallPartition::append(CallRecord record, Decisions &out)
{
    record.id = newId();
    record.partition = partition_;
    record.epoch = record.epoch.value() > 0 ? record.epoch : epoch_;
    pending_.emplace(record.id, Pending{record});
    out.emplace_back(Append{std::move(record)});
}

/// Counts for the intent that it names, whatever fence stands by now: only the intent's writer writes it.
void CallPartition::appendResult(const CallKey &key, const Entry &entry, Decisions &out)
{
    CallRecord record;
    record.kind = RecordKind::Result;
    record.epoch = fence_;
    record.key = key;
    record.digest = entry.digest;
    record.intent = entry.intent;
    record.result = entry.result;
    append(std::move(record), out);
}

void CallPartition::touch(const CallKey &key, Entry &entry, Offset offset)
{
    byOffset_.erase(entry.at);
    entry.at = offset;
    byOffset_.emplace(offset, key);
}

void CallPartition::keepResult(const CallKey &key, Entry &entry, CallResult result)
{
    entry.result = std::move(result);
    if (!entry.result.bodyKept) {
        entry.result.body.clear();
    }
    if (entry.result.body.empty()) {
        return;
    }
    keptBytes_ += entry.result.body.size();
    bodies_.push_back(key);
    while (keptBytes_ > maxKeptBytes) {
        auto oldest = entries_.find(bodies_.front());
        bodies_.pop_front();
        if (oldest != entries_.end() && !oldest->second.result.body.empty()) {
            dropBody(oldest->second);
            oldest->second.result.bodyKept = false;
        }
    }
}

void CallPartition::dropBody(Entry &entry)
{
    keptBytes_ -= entry.result.body.size();
    entry.result.body = std::string();
}

std::size_t CallPartition::approximateBytes() const
{
    constexpr std::size_t node = 48; // pointers and colour of one node of a container
    std::size_t bytes = sizeof(*this) + keptBytes_;
    for (const auto &[key, entry] : entries_) {
        auto text = key.customer.value().capacity() + key.key.capacity();
        bytes += 2 * (node + sizeof(CallKey) + text) + sizeof(Entry) + sizeof(Offset) + entry.intent.capacity() + entry.freedIntent.capacity();
    }
    return bytes;
}

} // namespace baobabstall::calls
