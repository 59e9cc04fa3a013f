// lists/documents.h: what the operators' two lists say, and their JSON. No I/O.
//
// Index
//   ListName               customers or plans
//   KeyDigest              SHA-256 of a caller's key; the lists never hold a key itself
//   Customer, Plan         one entry of a list
//   Customers, Plans       a whole list
//   parseListFile()        an operator's file, JSON with comments
//   patchBetween()         the JSON merge patch (RFC 7396) that turns one list into another
//   EntryCodec             what the two kinds of entry have in common for code that treats them alike
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

[[nodiscard]] std::string_view listNameText(ListName list); // "customers", "plans"; also the one key of the list's file
[[nodiscard]] std::optional<ListName> parseListName(std::string_view text);

/// SHA-256 of a caller's key.
using KeyDigest = std::array<std::uint8_t, 32>;

[[nodiscard]] KeyDigest digestOfKey(std::string_view key);
[[nodiscard]] std::string keyDigestText(const KeyDigest &digest); // "sha256:" and 64 lower-case hex digits
[[nodiscard]] std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/// One customer: the plan it holds and the keys its callers show.
struct Customer {
    core::PlanId plan;        // may be missing in the plans list: then every request of the customer is refused
    std::set<KeyDigest> keys; // 0 to 16; a key belongs to one customer only

    friend bool operator==(const Customer &, const Customer &) = default;
};

/// What a plan allows for one adapter.
struct PlanAdapter {
    std::set<core::AdapterVersion> versions; // 1 to 64 that requests may name
    core::BaseModel baseModel;               // the engines that can hold it

    friend bool operator==(const PlanAdapter &, const PlanAdapter &) = default;
};

/// What a plan's customers may use. Every customer of the plan has its own adapter for each of these names.
struct Plan {
    double share = 1;                                  // of the capacity, relative to other plans; above 0, at most 1000
    int maxInFlight = 1;                               // requests at once of one customer on one daemon; 1 to 100,000
    std::map<core::AdapterName, PlanAdapter> adapters; // at most 1,000
    std::set<core::ServiceName> services;              // plain services that may be called; at most 1,000

    friend bool operator==(const Plan &, const Plan &) = default;
};

using Customers = std::map<core::CustomerId, Customer>;
using Plans = std::map<core::PlanId, Plan>;
using ListDocument = std::variant<Customers, Plans>;

[[nodiscard]] ListName listNameOf(const ListDocument &document);

/// Reads an operator's file: one object with the one key "customers" or "plans". Step Lists; the reason names file, path, what was
/// found and what is allowed. Also refuses a key that two customers hold.
[[nodiscard]] std::optional<ListDocument> parseListFile(std::string_view text, const std::string &name, core::Error &why);

/// The merge patch from one list to the other, as JSON text; both must be the same kind of list. "{}" when they are equal.
[[nodiscard]] std::string patchBetween(const ListDocument &from, const ListDocument &to);

/// The JSON of one kind of entry.
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

/// A codec's reason with the place of the entry: "customers.surf-camp.plan: found ...".
[[nodiscard]] std::string reasonWithPath(ListName list, const std::string &entry, const std::string &reason);

/// A name as ids in lists must be: 1 to 128 characters of A-Z a-z 0-9 . _ -
[[nodiscard]] bool isValidEntryName(std::string_view text);

} // namespace baobabstall::lists
