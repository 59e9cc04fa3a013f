// serving/givenway.h: counts who let whom go first at the resources that this host gives out, for a bounded log. No I/O.
//
//   GivenWayLog givenWay;
//   givenWay.add("prompt", way);
//   for (const auto &line : givenWay.take(now)) ...   // once a second at most, the largest counts since
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <serving/claims.h>

namespace baobabstall::serving {

class GivenWayLog
{
public:
    struct Line {
        std::string room;
        GivenWay way;
        int count = 0;
    };

    static constexpr core::Milliseconds interval{1'000};
    static constexpr std::size_t maxLines = 4;
    static constexpr std::size_t maxPairs = 256; // further ones are not counted

    void add(std::string_view room, const GivenWay &way);
    /// Nothing before the interval has passed.
    [[nodiscard]] std::vector<Line> take(core::Instant now);

private:
    std::map<std::pair<std::string, GivenWay>, int> counts_;
    std::optional<core::Instant> takenAt_;
};

} // namespace baobabstall::serving
