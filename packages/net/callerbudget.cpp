#include <net/callerbudget.h>

#include <algorithm>
#include <numeric>

namespace baobabstall::net {

std::string_view callerPartText(CallerPart part)
{
    constexpr std::array<std::string_view, 5> texts = {"input", "body", "framing", "answer", "connections"};
    return texts.at(static_cast<std::size_t>(part));
}

CallerBudget::Holder::Holder(CallerBudget &budget, GiveWay giveWay, Instant now)
    : budget_(budget)
    , giveWay_(std::move(giveWay))
    , stepBegan_(now)
{
    budget_.holders_.insert(this);
}

CallerBudget::Holder::~Holder()
{
    budget_.heldBytes_ -= bytes();
    budget_.holders_.erase(this);
}

bool CallerBudget::Holder::resize(CallerPart part, std::size_t bytes, Instant now)
{
    if (hasGivenWay_) {
        return false;
    }
    auto &held = parts_.at(static_cast<std::size_t>(part));
    if (bytes > held && !budget_.makeRoom(*this, part, bytes - held, now)) {
        return false;
    }
    budget_.heldBytes_ += bytes - held;
    held = bytes;
    return true;
}

void CallerBudget::Holder::awaitCaller(Instant now)
{
    state_ = State::Awaited;
    stepBegan_ = now;
    stepBytes_ = 0;
}

void CallerBudget::Holder::idle(Instant now)
{
    state_ = State::Idle;
    stepBegan_ = now;
}

void CallerBudget::Holder::onProgress(std::size_t bytes, Instant now)
{
    stepBytes_ += bytes;
    if (stepBytes_ >= CallerBudget::stepBytes) {
        stepBytes_ = 0;
        stepBegan_ = now;
    }
}

std::size_t CallerBudget::Holder::bytes() const
{
    return std::accumulate(parts_.begin(), parts_.end(), std::size_t{0});
}

CallerBudgetLimits CallerBudget::limitsFor(std::size_t memoryBytes, std::size_t maxConnections)
{
    const auto memory = memoryBytes > 0 ? memoryBytes : defaultMemoryBytes;
    return {.totalBytes = std::max(minTotalBytes, memory / memoryShare), .maxConnections = maxConnections};
}

bool CallerBudget::makeRoomForConnection(Instant now)
{
    if (limits_.maxConnections == 0 || holders_.size() < limits_.maxConnections) {
        return true;
    }
    auto *victim = slowest(nullptr, Holder::State::Awaited, calm, 0, now);
    if (victim == nullptr) {
        victim = slowest(nullptr, Holder::State::Idle, calm, 0, now);
    }
    if (victim == nullptr) {
        return false;
    }
    dismiss(*victim, CallerPart::Connections);
    return true;
}

bool CallerBudget::fits(const Holder &asker, std::size_t more) const
{
    const auto bytes = asker.bytes() + more;
    const auto others = heldBytes_ - asker.bytes();
    const auto total = bytes > smallBytes ? limits_.totalBytes - limits_.totalBytes / reserveShare : limits_.totalBytes;
    return others + bytes <= total || others == 0;
}

bool CallerBudget::makeRoom(const Holder &asker, CallerPart part, std::size_t more, Instant now)
{
    while (!fits(asker, more)) {
        auto *victim = slowest(&asker, Holder::State::Awaited, calm, smallBytes, now);
        if (victim == nullptr && part == CallerPart::Answer) {
            victim = slowest(&asker, Holder::State::Awaited, Milliseconds(0), smallBytes, now);
        }
        if (victim == nullptr) {
            return part == CallerPart::Answer;
        }
        dismiss(*victim, part);
    }
    return true;
}

CallerBudget::Holder *CallerBudget::slowest(const Holder *asker, Holder::State state, Milliseconds longerThan, std::size_t minBytes, Instant now) const
{
    Holder *found = nullptr;
    for (auto *each : holders_) {
        const bool canGiveWay
            = each != asker && each->state_ == state && !each->hasGivenWay_ && each->bytes() >= minBytes && now - each->stepBegan_ > longerThan;
        if (canGiveWay && (found == nullptr || each->stepBegan_ < found->stepBegan_)) {
            found = each;
        }
    }
    return found;
}

void CallerBudget::dismiss(Holder &holder, CallerPart part)
{
    holder.hasGivenWay_ = true;
    heldBytes_ -= holder.bytes();
    holder.parts_.fill(0);
    holder.giveWay_(part);
}

} // namespace baobabstall::net
