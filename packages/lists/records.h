// lists/records.h: the text form of records of the stream `lists`. lists/lists.h evaluates them.
//
// A change      {"id","list","kind":"change","by","based_on":OFFSET,"group","part","parts","patch":{"customers":{...}}}
// A snapshot    {"id","list","kind":"snapshot","by","version":OFFSET,"as_of":OFFSET,"since_ms","digest","group","part","parts",
//                "document":{"customers":{...}}}
//
// A record of the log holds at most 256 KiB. A larger change or snapshot is split between entries into the parts of a group, one
// record each; a small one is a group with one part.
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

constexpr std::string_view listsStream = "lists";  // stream of the platform's log with the records of both lists
constexpr std::size_t maxRecordBytes = 256 * 1024; // of one record of the log

enum class RecordKind : std::uint8_t { Change, Snapshot };

/// All fields of a record except its content.
struct RecordHeader {
    std::string id;    // unique for each record
    std::string group; // common to all parts; unique for each change or snapshot
    int part = 1;      // from 1
    int parts = 1;
    ListName list = ListName::Customers;
    RecordKind kind = RecordKind::Change;
    std::string publisher;    // who published this change or version
    core::Offset basedOn;     // change: the version that it was edited from
    core::Offset version;     // snapshot: the version that it contains
    core::Offset asOf;        // snapshot: last offset that its writer had read
    std::int64_t sinceMs = 0; // snapshot: civil time at which the log accepted the version
    std::uint64_t digest = 0; // snapshot: of the content of all parts
};

/// A record to append; `id` identifies it in the log if the response to the append was lost.
struct OutgoingRecord {
    std::string id;
    std::string text;
};

/// The records for `entries` (an object with one key per entry), split so that each fits into the log. `header` gives all fields except
/// id, part and parts; its group must be unique. None if a single entry is too large, or there are too many parts.
[[nodiscard]] std::optional<std::vector<OutgoingRecord>> writeRecords(const RecordHeader &header, const nlohmann::json &entries, core::Error &why);

/// Parses a record; `entries` receives the entries of its patch or document. Rejects everything that does not match the form above.
[[nodiscard]] std::optional<RecordHeader> readRecord(std::string_view text, nlohmann::json &entries, std::string &reason);

/// A digest as 16 hex digits, as in records and operator output.
[[nodiscard]] std::string digestText(std::uint64_t digest);

} // namespace baobabstall::lists
