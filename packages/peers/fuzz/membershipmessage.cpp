// Whatever bytes come: no crash, and what is read can be written and read again.

#include <peers/membership.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error why;
    const auto message = peers::fromCbor({data, size}, why);
    if (message && peers::fromCbor(peers::toCbor(*message), why) != message) {
        __builtin_trap();
    }
    return 0;
}
