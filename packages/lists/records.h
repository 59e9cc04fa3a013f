// lists/records.h: records of the stream `lists` as text. What they mean is judged in lists/lists.h.
//
// A change      {"id","list","kind":"change","by","based_on":OFFSET,"group","part","parts","patch":{"customers":{...}}}
// A snapshot    {"id","list","kind":"snapshot","by","version":OFFSET,"as_of":OFFSET,"since_ms","digest","group","part","parts",
//                "document":{"customers":{...}}}
//
// A record of the log holds at most 256 KiB. A larger change or snapshot stands in several records of one group, split between
// entries; a small one is a group of one part.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include <core/error.h>
#include <core/types.h>
#include <lists/documents.h>

namespace baobabstall::lists {

constexpr std::string_view listsStream = "lists";  // the platform's stream that holds both lists
constexpr std::size_t maxRecordBytes = 256 * 1024; // of one record of the log

enum class RecordKind : std::uint8_t { Change, Snapshot };

/// All fields of a record but its content.
struct RecordHeader {
    std::string id;    // of this record; unique
    std::string group; // of all parts; unique
    int part = 1;      // from 1
    int parts = 1;
    ListName list = ListName::Customers;
    RecordKind kind = RecordKind::Change;
    std::string publisher;    // who published this version
    core::Offset basedOn;     // change: the version it was edited from
    core::Offset version;     // snapshot: the version it holds
    core::Offset asOf;        // snapshot: the offset up to which its writer had read
    std::int64_t sinceMs = 0; // snapshot: when the version was accepted
    std::uint64_t digest = 0; // snapshot: of the whole content
};

/// A record ready to be appended; `id` serves to find it again when the answer to the append was lost.
struct OutgoingRecord {
    std::string id;
    std::string text;
};

/// The records that carry `entries` (an object with one key for each entry), split so that each fits the log. `head` gives all fields but
/// id, part and parts; head.group must be unique. Nothing when one entry alone is too large.
[[nodiscard]] std::optional<std::vector<OutgoingRecord>> writeRecords(const RecordHeader &head, const nlohmann::json &entries, core::Error &why);

/// Reads a record. `entries` gets the object of entries of the patch or document. Refuses whatever is not exactly of the form above.
[[nodiscard]] std::optional<RecordHeader> readRecord(std::string_view text, nlohmann::json &entries, std::string &reason);

/// A digest as records and operators see it: 16 hex digits.
[[nodiscard]] std::string digestText(std::uint64_t digest);

} // namespace baobabstall::lists
