// Arbitrary frames from a peer: decode() must not throw or crash, nor use time or memory out of proportion to its input.
#include <cstdint>
#include <string_view>

#include <peers/messages.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    baobabstall::core::Error error;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto frame = baobabstall::peers::decode(bytes, error);
    if (frame) {
        (void)baobabstall::peers::decode(baobabstall::peers::encode(*frame), error);
    }
    return 0;
}
