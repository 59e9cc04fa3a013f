#include "log.h"

#include <algorithm>

namespace baobabstall::standins {

std::uint64_t LogStream::append(nlohmann::json data, std::int64_t nowMs)
{
    records_.push_back(LogRecord{next_, nowMs, std::move(data)});
    return next_++;
}

void LogStream::retain(std::size_t count, core::Milliseconds age, std::int64_t nowMs)
{
    while (count > 0 && records_.size() > count) {
        records_.pop_front();
    }
    while (age.count() > 0 && !records_.empty() && nowMs - records_.front().timeMs > age.count()) {
        records_.pop_front();
    }
}

LogSlice LogStream::read(std::uint64_t from, std::size_t limit, std::size_t hidden) const
{
    LogSlice slice;
    slice.next = next_ > hidden ? next_ - hidden : 1;
    slice.first = std::min(next_ - records_.size(), slice.next);
    for (const auto &record : records_) {
        if (slice.records.size() >= limit || record.offset >= slice.next) {
            break;
        }
        if (record.offset >= from) {
            slice.records.push_back(record);
        }
    }
    return slice;
}

bool RateLimit::take(std::int64_t nowMs)
{
    constexpr double msPerSecond = 1000;
    if (perSecond_ <= 0) {
        return true;
    }
    permits_ = std::min(perSecond_, permits_ + perSecond_ * static_cast<double>(nowMs - lastMs_) / msPerSecond);
    lastMs_ = nowMs;
    if (permits_ < 1) {
        return false;
    }
    permits_ -= 1;
    return true;
}

} // namespace baobabstall::standins
