// Parsing must not crash on any input, and every parsed record must survive another round trip.

#include <calls/calls.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error why;
    const auto record = calls::recordFromJson({reinterpret_cast<const char *>(data), size}, why);
    if (record && !calls::recordFromJson(calls::toJson(*record), why)) {
        __builtin_trap();
    }
    return 0;
}
