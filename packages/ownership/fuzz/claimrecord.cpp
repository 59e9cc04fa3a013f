// Arbitrary input must not crash, and a parsed record must survive a round trip through its JSON text.

#include <ownership/claims.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace baobabstall;
    core::Error why;
    const auto record = ownership::claimFromJson({reinterpret_cast<const char *>(data), size}, why);
    if (record && ownership::claimFromJson(ownership::toJson(*record), why) != record) {
        __builtin_trap();
    }
    return 0;
}
