#include <platform/retry.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::platform {

namespace {

using core::Offset;
using nlohmann::json;

// Records of any kind stand in a page. One that its own reader would refuse must not hide the others.
constexpr settings::JsonOptions pageOptions{.comments = false, .uniqueKeys = false, .maxDepth = 1'000};
constexpr int statusOk = 200;
constexpr int firstRefusal = 400;
constexpr int statusTooMany = 429;
constexpr int firstServerError = 500;
constexpr int statusOutage = 503;

bool isOffset(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_integer() && *found >= 1;
}

bool readRecords(const json &page, LogPage &into)
{
    Offset last;
    for (const auto &entry : page["records"]) {
        if (!entry.is_object() || !isOffset(entry, "offset") || !entry.contains("data") || !entry.contains("time_ms")
            || !entry["time_ms"].is_number_integer()) {
            return false;
        }
        const Offset offset(entry["offset"].get<std::uint64_t>());
        if (offset <= last) {
            return false;
        }
        last = offset;
        into.records.push_back({offset, entry["time_ms"].get<std::int64_t>(), entry["data"].dump()});
    }
    return true;
}

} // namespace

std::optional<LogPage> parseLogPage(std::string_view text, core::Error &why)
{
    why = core::Error{.step = core::Step::Log, .reason = "not a page of the log", .refusal = core::Refusal::BadAnswer};
    const auto page = settings::parseJson(text, "page of the log", pageOptions, why);
    if (!page || !page->is_object() || !isOffset(*page, "first") || !isOffset(*page, "next") || !page->contains("records") || !(*page)["records"].is_array()) {
        return std::nullopt;
    }
    LogPage result{Offset((*page)["first"].get<std::uint64_t>()), Offset((*page)["next"].get<std::uint64_t>()), {}};
    if (!readRecords(*page, result)) {
        return std::nullopt;
    }
    return result;
}

// ---- Backoff ----

Backoff::Backoff(core::Milliseconds first, core::Milliseconds longest, std::uint64_t seed)
    : first_(first)
    , longest_(longest)
    , wait_(first)
    , random_(seed)
{ }

core::Milliseconds Backoff::next()
{
    const auto wait = wait_;
    wait_ = std::min(longest_, wait_ * 2);
    const auto half = static_cast<std::uint64_t>(wait.count()) / 2;
    return wait - core::Milliseconds(static_cast<std::int64_t>(random_() % (half + 1)));
}

// ---- AppendCourse ----

bool mayHaveTakenEffect(const AppendAnswer &answer)
{
    const bool isRefusal = answer.status >= firstRefusal && answer.status < firstServerError;
    return !answer.notSent && !isRefusal && answer.status != statusOutage;
}

AppendCourse::AppendCourse(std::string recordId, Offset before, int maxTries, Backoff backoff)
    : recordId_(std::move(recordId))
    , before_(std::max(before, Offset(1)))
    , lookFrom_(before_)
    , triesLeft_(maxTries)
    , backoff_(backoff)
{ }

void AppendCourse::onAnswer(const AppendAnswer &answer)
{
    if (answer.status == statusOk && answer.offset > Offset()) {
        finish(answer.offset);
        return;
    }
    if (answer.status >= firstRefusal && answer.status < firstServerError && answer.status != statusTooMany) {
        error_ = core::Error{
            .step = core::Step::Log, .reason = "the log refused the record with status " + std::to_string(answer.status), .refusal = core::Refusal::Internal};
        step_ = Step::Failed;
        return;
    }
    const bool unknown = platform::mayHaveTakenEffect(answer);
    mustLook_ = mustLook_ || unknown;
    mayHaveTakenEffect_ = mayHaveTakenEffect_ || unknown;
    retryAfterWait(answer.status == 0 ? "no answer to an append" : "an append was answered with status " + std::to_string(answer.status));
}

void AppendCourse::onPage(const LogPage &page)
{
    const auto own = std::find_if(page.records.begin(), page.records.end(), [this](const LogRecord &record) { return isOwn(record); });
    if (own != page.records.end()) {
        finish(own->offset);
        return;
    }
    if (!page.records.empty()) {
        lookFrom_ = page.records.back().offset.next();
    }
    if (page.next < before_) {
        retryAfterWait("the log's reads lag");
        return;
    }
    if (lookFrom_ < page.next && !page.records.empty()) {
        step_ = Step::Look;
        return;
    }
    mustLook_ = false;
    lookFrom_ = before_;
    step_ = Step::Append;
}

void AppendCourse::onReadFailed()
{
    retryAfterWait("the log can't be read");
}

void AppendCourse::onWaited()
{
    step_ = mustLook_ ? Step::Look : Step::Append;
}

void AppendCourse::retryAfterWait(std::string reason)
{
    if (--triesLeft_ <= 0) {
        error_ = core::Error{.step = core::Step::Log, .reason = std::move(reason), .refusal = core::Refusal::Unavailable};
        error_.outcome = mayHaveTakenEffect_ ? core::Outcome::Unknown : core::Outcome::NotRun;
        error_.retryAfter = backoff_.next();
        step_ = Step::Failed;
        return;
    }
    waitTime_ = backoff_.next();
    step_ = Step::Wait;
}

void AppendCourse::finish(Offset offset)
{
    offset_ = offset;
    step_ = Step::Done;
}

bool AppendCourse::isOwn(const LogRecord &record) const
{
    const auto data = json::parse(record.data, nullptr, false);
    if (record.offset < before_ || !data.is_object()) {
        return false;
    }
    const auto id = data.find("id");
    return id != data.end() && id->is_string() && id->get_ref<const std::string &>() == recordId_;
}

// ---- FollowCursor ----

FollowCursor::News FollowCursor::onPage(LogPage page)
{
    News news;
    if (page.next < next_) {
        news.stale = true;
        return news;
    }
    if (page.first > next_) {
        news.gapUntil = page.first;
        next_ = page.first;
    }
    for (auto &record : page.records) {
        if (record.offset < next_) {
            continue;
        }
        if (record.offset > next_) {
            break; // a hole that the log says it still has: the next read asks again from there
        }
        next_ = record.offset.next();
        news.records.push_back(std::move(record));
    }
    news.caughtUp = next_ >= page.next;
    news.stale = !news.caughtUp && news.records.empty();
    return news;
}

} // namespace baobabstall::platform
