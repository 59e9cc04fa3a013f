// List files, records and peers' exports: any text is accepted or rejected, a version never decreases, and accepted input can be written
// and read again.
#include <cstdint>
#include <cstdlib>

#include <lists/lists.h>

namespace {

using namespace baobabstall;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void readFile(std::string_view text)
{
    core::Error why;
    const auto document = lists::parseListFile(text, "fuzz", why);
    require(document || !why.reason.empty());
    if (document) {
        const auto again
            = lists::parseListFile(lists::patchBetween(lists::listNameOf(*document) == lists::ListName::Customers ? lists::ListDocument(lists::Customers())
                                                                                                                  : lists::ListDocument(lists::Plans()),
                                                       *document),
                                   "again",
                                   why);
        const auto empty = std::visit([](const auto &entries) { return entries.empty(); }, *document);
        require(empty || again == document);
    }
}

/// Each line is a record; its first byte determines its offset in the stream.
void readRecords(std::string_view text)
{
    lists::ListsState state;
    auto version = core::Offset();
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto skip = line.empty() ? 1U : static_cast<unsigned char>(line[0]) % 3U;
        state.apply(core::Offset(state.position().value() + skip), 1, line.empty() ? line : line.substr(1));
        const auto now = state.inForce(lists::ListName::Customers).version;
        require(now >= version);
        version = now;
    }
}

void readExport(std::string_view text)
{
    lists::ListsState state;
    core::Error why;
    if (state.importSnapshot(text, why)) {
        require(state.isReady());
        lists::ListsState second;
        require(second.importSnapshot(state.exportSnapshot(1).value(), why));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    readFile(text);
    readRecords(text);
    readExport(text);
    return 0;
}
