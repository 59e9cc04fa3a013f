// lists/documents.h: the content of the operators' two lists, and its JSON form. No I/O.
//
// Index
//   ListName               customers or plans
//   KeyDigest              SHA-256 of an API key; the lists never hold a key itself
//   Customer, Plan         one entry of a list
//   Customers, Plans       a whole list
//   parseListFile()        parses an operator's file: JSON with comments
//   patchBetween()         the JSON merge patch (RFC 7396) that turns one list into another
//   EntryCodec             concept for code that is generic over both kinds of entry
#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json_fwd.hpp>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::lists {

enum class ListName : std::uint8_t { Customers, Plans };

[[nodiscard]] std::string_view listNameText(ListName list); // "customers" or "plans"; also the only top-level key of the list's file
[[nodiscard]] std::optional<ListName> parseListName(std::string_view text);

/// SHA-256 of an API key.
using KeyDigest = std::array<std::uint8_t, 32>;

[[nodiscard]] KeyDigest digestOfKey(std::string_view key);
[[nodiscard]] std::string keyDigestText(const KeyDigest &digest); // "sha256:" and 64 lower-case hex digits
[[nodiscard]] std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/// One customer: its plan and the API keys of its callers.
struct Customer {
    core::PlanId plan;        // if the plans list lacks it, every request of the customer is refused
    std::set<KeyDigest> keys; // 0 to 16; each key belongs to one customer only

    friend bool operator==(const Customer &, const Customer &) = default;
};

/// The permitted versions of one adapter.
struct PlanAdapter {
    std::set<core::AdapterVersion> versions; // 1 to 64 versions that requests may name
    core::BaseModel baseModel;               // of the engines that can load the adapter

    friend bool operator==(const PlanAdapter &, const PlanAdapter &) = default;
};

/// What the customers of a plan may use. Every customer of the plan has its own adapter under each of these names.
struct Plan {
    double share = 1;                                  // of the capacity, relative to other plans; greater than 0, at most 1000
    int maxInFlight = 1;                               // concurrent requests of one customer on one daemon; 1 to 100,000
    std::map<core::AdapterName, PlanAdapter> adapters; // at most 1,000
    std::set<core::ServiceName> services;              // permitted plain services; at most 1,000

    friend bool operator==(const Plan &, const Plan &) = default;
};

using Customers = std::map<core::CustomerId, Customer>;
using Plans = std::map<core::PlanId, Plan>;
using ListDocument = std::variant<Customers, Plans>;

[[nodiscard]] ListName listNameOf(const ListDocument &document);

/// Parses an operator's file: one object with the single key "customers" or "plans". Rejects an API key that two customers hold.
/// On failure `why` has the step Lists and a reason with the file, the path, the value found and the values allowed.
[[nodiscard]] std::optional<ListDocument> parseListFile(std::string_view text, const std::string &name, core::Error &why);

/// The merge patch from one list to another of the same kind, as JSON text. "{}" if they are equal.
[[nodiscard]] std::string patchBetween(const ListDocument &from, const ListDocument &to);

/// Reads and writes the JSON of one kind of entry.
template<typename T>
concept EntryCodec = requires(const nlohmann::json &value, const typename T::Entry &entry, std::string &reason)
{
    typename T::Id;
    {
        T::list
        } -> std::convertible_to<ListName>;
    {
        T::read(value, reason)
        } -> std::same_as<std::optional<typename T::Entry>>;
    {
        T::write(entry)
        } -> std::same_as<nlohmann::json>;
};

struct CustomerCodec {
    using Id = core::CustomerId;
    using Entry = Customer;
    static constexpr ListName list = ListName::Customers;

    /// On failure `reason` is "PATH-WITHIN-THE-ENTRY: found ...; allowed: ...".
    [[nodiscard]] static std::optional<Customer> read(const nlohmann::json &value, std::string &reason);
    [[nodiscard]] static nlohmann::json write(const Customer &customer);
};

struct PlanCodec {
    using Id = core::PlanId;
    using Entry = Plan;
    static constexpr ListName list = ListName::Plans;

    [[nodiscard]] static std::optional<Plan> read(const nlohmann::json &value, std::string &reason);
    [[nodiscard]] static nlohmann::json write(const Plan &plan);
};

/// A codec's reason with the path of the entry prepended: "customers.surf-camp.plan: found ...".
[[nodiscard]] std::string reasonWithPath(ListName list, const std::string &entry, const std::string &reason);

/// Whether the text may be an id in a list: 1 to 128 characters of A-Z a-z 0-9 . _ -
[[nodiscard]] bool isValidEntryName(std::string_view text);

} // namespace baobabstall::lists
