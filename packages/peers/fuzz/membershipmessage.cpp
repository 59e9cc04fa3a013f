// Arbitrary bytes must not crash the decoder, and a decoded message must survive encoding and decoding.

#include <peers/membership.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error error;
    const auto message = peers::fromCbor({data, size}, error);
    if (message && peers::fromCbor(peers::toCbor(*message), error) != message) {
        __builtin_trap();
    }
    return 0;
}
