// core/types.h: strong types for ids, counters and units. No I/O.
//
// Index
//   Id             text ids: customers, hosts, upstreams, requests
//   Ordinal        counters that order things: offsets, epochs, incarnations
//   offsetOf(), eraOf(), positionOf()   an Offset as era and position of the log
//   Milliseconds   a length of time
//   Instant        a point in time
//   AdapterRef     customer/adapter@version, the name a request gives
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace baobabstall::core {

/// A text id that can't be mixed up with an id of another kind.
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    { }

    [[nodiscard]] const std::string &value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }
    friend auto operator<=>(const Id &, const Id &) = default;
    friend bool operator==(const Id &, const Id &) = default;

private:
    std::string value_;
};

using CustomerId = Id<struct CustomerTag>;           // who pays for a request
using PlanId = Id<struct PlanTag>;                   // what a customer holds
using AdapterName = Id<struct AdapterNameTag>;       // unique within a customer
using AdapterVersion = Id<struct AdapterVersionTag>; // unique within an adapter
using BaseModel = Id<struct BaseModelTag>;           // shared by many adapters
using HostId = Id<struct HostTag>;                   // one daemon's machine
using ZoneId = Id<struct ZoneTag>;                   // availability zone
using RegionId = Id<struct RegionTag>;               // several zones with one set of claims
using UpstreamId = Id<struct UpstreamTag>;           // a model engine or a plain service replica
using ServiceName = Id<struct ServiceNameTag>;       // a group of plain service replicas
using PromptPart = Id<struct PromptPartTag>;         // a part of a prompt that requests may share
using RequestId = Id<struct RequestTag>;             // unique for each request of a caller
using WorkspaceId = Id<struct WorkspaceTag>;         // a customer's keys, rank and quota

/// A counter that only rises. Zero means "none yet".
template<typename Tag>
class Ordinal
{
public:
    constexpr Ordinal() = default;
    constexpr explicit Ordinal(std::uint64_t value)
        : value_(value)
    { }

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr Ordinal next() const { return Ordinal(value_ + 1); }
    friend constexpr auto operator<=>(Ordinal, Ordinal) = default;
    friend constexpr bool operator==(Ordinal, Ordinal) = default;

private:
    std::uint64_t value_ = 0;
};

using Offset = Ordinal<struct OffsetTag>;           // place of a record in a stream of the platform's log; the first record is 1
using StoreEra = Ordinal<struct StoreEraTag>;       // rises each time the platform's log comes back as an earlier copy of itself
using Epoch = Ordinal<struct EpochTag>;             // offset of the claim that made an owner; serves as the fencing number
using Incarnation = Ordinal<struct IncarnationTag>; // one run of a daemon's process; a later run has a higher one
using EngineStart = Ordinal<struct EngineStartTag>; // one run of an engine; changes when it forgets what it held

// A log that comes back as an earlier copy gives out some offsets a second time, for other records. An Offset therefore carries the era in
// its upper bits: offsets of a later era are greater than all earlier ones, and so are the epochs and fencing numbers made from them. A log
// without eras has era 0, where offset and position are the same number.
constexpr int offsetPositionBits = 40; // positions up to 10^12 and eras up to 8191 stay exact in the 53 bits of a JSON number

[[nodiscard]] constexpr Offset offsetOf(StoreEra era, std::uint64_t position)
{
    return Offset((era.value() << offsetPositionBits) | position);
}

[[nodiscard]] constexpr StoreEra eraOf(Offset offset)
{
    return StoreEra(offset.value() >> offsetPositionBits);
}

/// The offset within its era; the first record of the log has position 1.
[[nodiscard]] constexpr std::uint64_t positionOf(Offset offset)
{
    return offset.value() & ((std::uint64_t(1) << offsetPositionBits) - 1);
}

/// A length of time in milliseconds.
class Milliseconds
{
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(std::int64_t count)
        : count_(count)
    { }

    [[nodiscard]] constexpr std::int64_t count() const { return count_; }
    friend constexpr auto operator<=>(Milliseconds, Milliseconds) = default;
    friend constexpr bool operator==(Milliseconds, Milliseconds) = default;
    friend constexpr Milliseconds operator+(Milliseconds a, Milliseconds b) { return Milliseconds(a.count_ + b.count_); }
    friend constexpr Milliseconds operator-(Milliseconds a, Milliseconds b) { return Milliseconds(a.count_ - b.count_); }
    friend constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor) { return Milliseconds(a.count_ * factor); }
    friend constexpr Milliseconds operator/(Milliseconds a, std::int64_t divisor) { return Milliseconds(a.count_ / divisor); }

private:
    std::int64_t count_ = 0;
};

/// A point in time, in milliseconds since an origin that the clock chooses. Only differences mean anything.
class Instant
{
public:
    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t sinceOrigin)
        : sinceOrigin_(sinceOrigin)
    { }

    [[nodiscard]] constexpr std::int64_t sinceOrigin() const { return sinceOrigin_; }
    friend constexpr auto operator<=>(Instant, Instant) = default;
    friend constexpr bool operator==(Instant, Instant) = default;
    friend constexpr Instant operator+(Instant at, Milliseconds by) { return Instant(at.sinceOrigin_ + by.count()); }
    friend constexpr Instant operator-(Instant at, Milliseconds by) { return Instant(at.sinceOrigin_ - by.count()); }
    friend constexpr Milliseconds operator-(Instant a, Instant b) { return Milliseconds(a.sinceOrigin_ - b.sinceOrigin_); }

private:
    std::int64_t sinceOrigin_ = 0;
};

/// The adapter and version that a request names: the `model` field of a completion call.
struct AdapterRef {
    CustomerId customer;
    AdapterName adapter;
    AdapterVersion version;

    /// "customer/adapter@version".
    [[nodiscard]] std::string text() const;
    /// Reads "customer/adapter@version"; nothing when a part is missing, empty or has a character outside [A-Za-z0-9._-].
    [[nodiscard]] static std::optional<AdapterRef> parse(std::string_view text);

    friend auto operator<=>(const AdapterRef &, const AdapterRef &) = default;
    friend bool operator==(const AdapterRef &, const AdapterRef &) = default;
};

} // namespace baobabstall::core

template<typename Tag>
struct std::hash<baobabstall::core::Id<Tag>> {
    std::size_t operator()(const baobabstall::core::Id<Tag> &id) const noexcept { return std::hash<std::string>()(id.value()); }
};

template<typename Tag>
struct std::hash<baobabstall::core::Ordinal<Tag>> {
    std::size_t operator()(baobabstall::core::Ordinal<Tag> ordinal) const noexcept { return std::hash<std::uint64_t>()(ordinal.value()); }
};

template<>
struct std::hash<baobabstall::core::AdapterRef> {
    std::size_t operator()(const baobabstall::core::AdapterRef &ref) const noexcept;
};
