// workspaces/keytable.h: finds the owner of a key. No I/O.
//
//   KeyTable table;
//   table.add("k1", KeyOwner(0)); table.add("k2", KeyOwner(1));
//   table.find("k1");               // KeyOwner(0)
//   table.find("k");                // nothing
//
// A lookup takes the same time however many keys there are, and tells nothing of a key by how long it takes: keys are placed by a hash
// under a random secret of this table, and compared in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/types.h>

namespace baobabstall::workspaces {

using KeyOwner = core::Ordinal<struct KeyOwnerTag>; // index of a workspace in its configuration

class KeyTable
{
public:
    static constexpr std::size_t maxKeyBytes = 1024; // longer texts are no keys

    KeyTable();

    /// Returns false, and changes nothing, for an empty or too long key. A key of two owners opens neither from then on: see ambiguous().
    bool add(std::string_view key, KeyOwner owner);
    [[nodiscard]] std::optional<KeyOwner> find(std::string_view key) const;

    /// Pairs of owners that were added with one key.
    [[nodiscard]] const std::vector<std::pair<KeyOwner, KeyOwner>> &ambiguous() const { return ambiguous_; }
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t bytes() const; // of memory

private:
    struct Slot {
        std::uint64_t hash = 0;
        std::uint32_t begin = 0;  // in texts_
        std::uint16_t length = 0; // 0: a free slot
        bool isAmbiguous = false;
        std::uint32_t owner = 0;
    };
    static constexpr std::size_t firstSlots = 64;
    static constexpr std::size_t secretBytes = 192;

    [[nodiscard]] std::uint64_t hashOf(std::string_view key) const;
    [[nodiscard]] bool holds(const Slot &slot, std::uint64_t hash, std::string_view key) const;
    /// The key's slot, or the free one where it belongs.
    [[nodiscard]] std::size_t place(std::uint64_t hash, std::string_view key) const;
    void grow();

    std::array<unsigned char, secretBytes> secret_{};
    std::vector<Slot> slots_;
    std::string texts_;
    std::vector<std::pair<KeyOwner, KeyOwner>> ambiguous_;
    std::size_t size_ = 0;
};

} // namespace baobabstall::workspaces
