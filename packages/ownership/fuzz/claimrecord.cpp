// Whatever text comes: no crash, and what is read can be written and read again.

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
