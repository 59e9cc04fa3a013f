// Any text is taken or refused with a printable reason.
#include <cstdint>
#include <cstdlib>

#include <settings/settings.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error why;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = settings::parseSettings(text, "fuzz", why);
    for (const unsigned char c : why.reason) {
        if (c < 0x20 || c > 0x7e) {
            std::abort();
        }
    }
    if (!settings && why.reason.empty()) {
        std::abort();
    }
    return 0;
}
