// serving/newestconfiguration.h: the configuration that a page or listing of the operators topic brings into force. No I/O.
//
//   if (auto newest = newestConfiguration(page.records, codec, onUnreadable)) { ...newest->configuration... }
//
// Each configuration is complete, so of several only the last readable one matters. Reading one with thousands of routes takes a small host
// a good part of the time between two changes; the others are not read.
#pragma once

#include <functional>
#include <optional>
#include <span>

#include <serving/protocol.h>

namespace baobabstall::serving {

struct PlacedConfiguration {
    Configuration configuration;
    core::Offset offset;
};

/// Nothing when no record is a readable configuration. `onUnreadable` is called for each record that was tried before.
[[nodiscard]] inline std::optional<PlacedConfiguration>
newestConfiguration(std::span<const StoreRecord> records, const Codec &codec, const std::function<void(const StoreRecord &, const core::Error &)> &onUnreadable)
{
    for (std::size_t i = records.size(); i-- > 0;) {
        const auto &record = records[i];
        if (!codec.isConfigurationKey(record.key)) {
            continue;
        }
        core::Error why;
        if (auto configuration = codec.readConfiguration(record.value, why)) {
            return PlacedConfiguration{std::move(*configuration), record.offset};
        }
        onUnreadable(record, why);
    }
    return std::nullopt;
}

} // namespace baobabstall::serving
