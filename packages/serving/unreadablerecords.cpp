#include <serving/unreadablerecords.h>

#include <algorithm>
#include <utility>

#include <core/hash.h>

namespace baobabstall::serving {

bool UnreadableRecords::isNew(std::string_view topic, std::string_view key, std::string_view value, core::Instant now)
{
    const auto hash = core::hashText(value, core::hashText(key, core::hashText(topic, 0)));
    if (std::find(known_.begin(), known_.end(), hash) != known_.end()) {
        return false;
    }
    known_.push_back(hash);
    if (known_.size() > maxKnown) {
        known_.pop_front();
    }
    if (now - intervalStart_ >= interval) {
        intervalStart_ = now;
        lines_ = 0;
    }
    if (lines_ >= maxLines) {
        ++leftOut_;
        return false;
    }
    ++lines_;
    return true;
}

std::uint64_t UnreadableRecords::takeLeftOut()
{
    return std::exchange(leftOut_, 0);
}

} // namespace baobabstall::serving
