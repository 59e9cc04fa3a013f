#include <workspaces/keytable.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace baobabstall::workspaces {

KeyTable::KeyTable()
    : slots_(firstSlots)
{
    static_assert(secretBytes >= XXH3_SECRET_SIZE_MIN);
    if (RAND_bytes(secret_.data(), static_cast<int>(secret_.size())) != 1) {
        throw std::runtime_error("no random bytes for the secret of a key table");
    }
}

std::uint64_t KeyTable::hashOf(std::string_view key) const
{
    return XXH3_64bits_withSecret(key.data(), key.size(), secret_.data(), secret_.size());
}

bool KeyTable::holds(const Slot &slot, std::uint64_t hash, std::string_view key) const
{
    return slot.hash == hash && slot.length == key.size() && CRYPTO_memcmp(texts_.data() + slot.begin, key.data(), key.size()) == 0;
}

std::size_t KeyTable::place(std::uint64_t hash, std::string_view key) const
{
    const std::size_t mask = slots_.size() - 1;
    std::size_t at = hash & mask;
    while (slots_[at].length > 0 && !holds(slots_[at], hash, key)) {
        at = (at + 1) & mask;
    }
    return at;
}

bool KeyTable::add(std::string_view key, KeyOwner owner)
{
    if (key.empty() || key.size() > maxKeyBytes) {
        return false;
    }
    if ((size_ + 1) * 2 > slots_.size()) {
        grow();
    }
    const auto hash = hashOf(key);
    auto &slot = slots_[place(hash, key)];
    if (slot.length > 0) {
        if (slot.owner != owner.value()) {
            slot.isAmbiguous = true;
            ambiguous_.emplace_back(KeyOwner(slot.owner), owner);
        }
        return true;
    }
    slot = {.hash = hash,
            .begin = static_cast<std::uint32_t>(texts_.size()),
            .length = static_cast<std::uint16_t>(key.size()),
            .isAmbiguous = false,
            .owner = static_cast<std::uint32_t>(owner.value())};
    texts_.append(key);
    ++size_;
    return true;
}

std::optional<KeyOwner> KeyTable::find(std::string_view key) const
{
    if (key.empty() || key.size() > maxKeyBytes) {
        return std::nullopt;
    }
    const auto &slot = slots_[place(hashOf(key), key)];
    return slot.length > 0 && !slot.isAmbiguous ? std::optional(KeyOwner(slot.owner)) : std::nullopt;
}

void KeyTable::grow()
{
    auto old = std::exchange(slots_, std::vector<Slot>(slots_.size() * 2));
    const std::size_t mask = slots_.size() - 1;
    for (const auto &slot : old) {
        if (slot.length > 0) {
            std::size_t at = slot.hash & mask;
            while (slots_[at].length > 0) {
                at = (at + 1) & mask;
            }
            slots_[at] = slot;
        }
    }
}

std::size_t KeyTable::bytes() const
{
    return sizeof(*this) + slots_.capacity() * sizeof(Slot) + texts_.capacity() + ambiguous_.capacity() * sizeof(ambiguous_.front());
}

} // namespace baobabstall::workspaces
