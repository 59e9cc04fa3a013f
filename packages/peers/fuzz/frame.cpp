// Frames between daemons as any peer may send them: decode() must neither throw, crash nor take more than its input is worth.
#include <cstdint>
#include <string_view>

#include <peers/messages.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    baobabstall::core::Error why;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto frame = baobabstall::peers::decode(bytes, why);
    if (frame) {
        (void)baobabstall::peers::decode(baobabstall::peers::encode(*frame), why);
    }
    return 0;
}
