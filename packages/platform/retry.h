// platform/retry.h: what to do next when the platform's answers are late, lost, stale or missing. No I/O: platform.cpp does what is said here.
//
// Index
//   LogRecord, LogPage   what a read of a stream gives
//   parseLogPage()
//   Backoff              waits that grow, with jitter from a seed
//   AppendAnswer         how one try ended
//   AppendCourse         one append: try, wait, or look whether it took effect
//   FollowCursor         one follower: which records of a page are new, and what was missed
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::platform {

struct LogRecord {
    core::Offset offset;
    std::int64_t timeMs = 0; // when the log took it, by the log's own clock
    std::string data;        // JSON text
};

/// The answer to one read.
struct LogPage {
    core::Offset first; // oldest record still kept
    core::Offset next;  // offset of the next append
    std::vector<LogRecord> records;
};

/// Nothing and an error of step Log when the text is no such answer, or its offsets do not rise.
[[nodiscard]] std::optional<LogPage> parseLogPage(std::string_view text, core::Error &why);

/// Waits between tries: each twice as long as the last up to a limit, each shortened by up to a half at random so that many hosts
/// do not come back in step.
class Backoff
{
public:
    Backoff(core::Milliseconds first, core::Milliseconds longest, std::uint64_t seed);

    [[nodiscard]] core::Milliseconds next();
    void reset() { wait_ = first_; }

private:
    core::Milliseconds first_;
    core::Milliseconds longest_;
    core::Milliseconds wait_;
    std::mt19937_64 random_;
};

/// How one append ended up to now, as its caller's side saw it.
struct AppendAnswer {
    int status = 0;       // HTTP status; 0: no whole answer came
    core::Offset offset;  // with status 200
    bool notSent = false; // with status 0: certain that not one byte went out
};

/// Whether a try with this answer may have taken effect. The log's own refusals (4xx, and 503 in an outage) say that it did not.
[[nodiscard]] bool mayHaveTakenEffect(const AppendAnswer &answer);

/// The course of one append. Begin with step(); do it; report by an on...() function; go on with step() until it says Done or Failed.
///
/// A record may stand in the stream twice when an append is still under way while its writer looks for it, or when the reads lag.
/// Both carry the same id; readers of a stream must judge the second as they judge any late record.
class AppendCourse
{
public:
    enum class Step : std::uint8_t {
        Append, // send the record
        Look,   // read the stream from lookFrom()
        Wait,   // wait for waitTime()
        Done,   // offset() is the record's
        Failed, // error() says why, and whether the record may yet take effect
    };

    /// `before`: an offset that the stream had not passed before the first try; nothing found below it can be this record.
    AppendCourse(std::string recordId, core::Offset before, int maxTries, Backoff backoff);

    [[nodiscard]] Step step() const { return step_; }
    void onAnswer(const AppendAnswer &answer);
    void onPage(const LogPage &page);
    void onReadFailed();
    void onWaited();

    [[nodiscard]] core::Offset lookFrom() const { return lookFrom_; }
    [[nodiscard]] core::Milliseconds waitTime() const { return waitTime_; }
    [[nodiscard]] core::Offset offset() const { return offset_; }
    [[nodiscard]] const core::Error &error() const { return error_; }

private:
    void retryAfterWait(std::string reason);
    void finish(core::Offset offset);
    [[nodiscard]] bool isOwn(const LogRecord &record) const;

    std::string recordId_;
    core::Offset before_;
    core::Offset lookFrom_;
    int triesLeft_;
    Backoff backoff_;
    Step step_ = Step::Append;
    bool mustLook_ = false;           // a try went unanswered and was not looked for since
    bool mayHaveTakenEffect_ = false; // a try went unanswered; it may arrive late, so not finding it proves nothing
    core::Milliseconds waitTime_;
    core::Offset offset_;
    core::Error error_;
};

/// Keeps a follower's place in a stream.
class FollowCursor
{
public:
    explicit FollowCursor(core::Offset next)
        : next_(next)
    { }

    /// What a page brings.
    struct News {
        std::optional<core::Offset> gapUntil; // records below this one are lost
        std::vector<LogRecord> records;       // new ones, in the order of their offsets, without holes
        bool caughtUp = false;                // nothing more was there when the page was written
        bool stale = false;                   // the page is older than what was read before: wait before the next read
    };

    [[nodiscard]] News onPage(LogPage page);
    /// The offset to read from.
    [[nodiscard]] core::Offset next() const { return next_; }

private:
    core::Offset next_;
};

} // namespace baobabstall::platform
