// What the platform answers: any text is taken or refused; a cursor never goes back.
#include <cstdint>
#include <cstdlib>

#include <platform/hosts.h>
#include <platform/retry.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error why;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (!platform::parseHostList(text, why) && why.reason.empty()) {
        std::abort();
    }
    if (auto page = platform::parseLogPage(text, why)) {
        platform::FollowCursor cursor(core::Offset(2));
        const auto news = cursor.onPage(std::move(*page));
        if (cursor.next() < core::Offset(2) || (news.stale && !news.records.empty())) {
            std::abort();
        }
    }
    return 0;
}
