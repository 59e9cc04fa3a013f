// Traffic and CPU time of the membership protocol, with real encoded messages on a virtual clock.

#include <benchmark/benchmark.h>

#include <peers/membership.h>

using namespace baobabstall::peers;
using baobabstall::core::Error;
using baobabstall::core::Milliseconds;
namespace settings = baobabstall::settings;

namespace {

constexpr Milliseconds step{25};

HostId host(std::size_t at)
{
    return HostId("entry-" + std::to_string(at));
}

/// Members that exchange encoded messages without loss.
class Region
{
public:
    explicit Region(std::size_t count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            listed_.push_back({host(at), ZoneId("zone-" + std::to_string(at % 5))});
        }
        for (std::size_t at = 0; at < count; ++at) {
            members_.emplace_back(Membership::Self{host(at), listed_[at].zone, Incarnation(1'700'000'000'000 + at)}, settings::Membership{}, at + 1);
            members_.back().setHostList(listed_, now_);
            index_.emplace(host(at), at);
        }
    }

    void run(Milliseconds length)
    {
        for (auto end = now_ + length; now_ < end; now_ = now_ + step) {
            for (auto &[from, to, bytes] : std::exchange(inFlight_, {})) {
                Error error;
                auto message = fromCbor(bytes, error);
                if (message && to >= deadCount_) {
                    send(to, members_[to].onMessage(host(from), *message, now_));
                }
            }
            for (std::size_t at = deadCount_; at < members_.size(); ++at) {
                if (now_ >= members_[at].nextTick()) {
                    send(at, members_[at].tick(now_));
                }
            }
        }
    }

    void kill(std::size_t count) { deadCount_ = count; }
    void resetCounts()
    {
        messages_ = 0;
        bytes_ = 0;
    }
    [[nodiscard]] double bytes() const { return static_cast<double>(bytes_); }
    [[nodiscard]] double messages() const { return static_cast<double>(messages_); }

private:
    struct Packet {
        std::size_t from;
        std::size_t to;
        std::vector<std::uint8_t> bytes;
    };

    void send(std::size_t from, const std::vector<OutgoingMessage> &out)
    {
        for (const auto &outgoing : out) {
            auto bytes = toCbor(outgoing.message);
            ++messages_;
            bytes_ += bytes.size();
            inFlight_.push_back({from, index_.at(outgoing.to), std::move(bytes)});
        }
    }

    std::vector<HostEntry> listed_;
    std::vector<Membership> members_;
    std::map<HostId, std::size_t> index_;
    std::vector<Packet> inFlight_;
    Instant now_;
    std::size_t deadCount_ = 0; // members with a lower index are dead
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
};

void count(benchmark::State &state, const Region &region, double seconds)
{
    auto daemons = static_cast<double>(state.range(0));
    state.counters["sent_bytes_s"] = region.bytes() / seconds / daemons;
    state.counters["sent_messages_s"] = region.messages() / seconds / daemons;
}

/// What one daemon sends while no member changes; it receives as much.
void quietBytes(benchmark::State &state)
{
    Region region(static_cast<std::size_t>(state.range(0)));
    region.run(Milliseconds(90'000));
    for (auto _ : state) {
        region.resetCounts();
        region.run(Milliseconds(60'000));
        count(state, region, 60);
    }
}
BENCHMARK(quietBytes)->Arg(8)->Arg(105)->Arg(210)->Arg(420)->Iterations(1)->Unit(benchmark::kMillisecond);

/// The minute in which a fifth of the daemons dies at the same moment.
void zoneLostBytes(benchmark::State &state)
{
    Region region(static_cast<std::size_t>(state.range(0)));
    region.run(Milliseconds(90'000));
    for (auto _ : state) {
        region.kill(static_cast<std::size_t>(state.range(0)) / 5);
        region.resetCounts();
        region.run(Milliseconds(60'000));
        count(state, region, 60);
    }
}
BENCHMARK(zoneLostBytes)->Arg(105)->Arg(210)->Arg(420)->Iterations(1)->Unit(benchmark::kMillisecond);

/// The first half minute after a simultaneous start of all daemons, the phase with the most traffic.
void startBytes(benchmark::State &state)
{
    for (auto _ : state) {
        Region region(static_cast<std::size_t>(state.range(0)));
        region.run(Milliseconds(30'000));
        count(state, region, 30);
    }
}
BENCHMARK(startBytes)->Arg(105)->Arg(210)->Arg(420)->Iterations(1)->Unit(benchmark::kMillisecond);

/// A message with the maximum number of updates: decode, apply, answer.
void messageApplied(benchmark::State &state)
{
    auto daemons = static_cast<std::size_t>(state.range(0));
    Membership membership({host(0), ZoneId("zone-0"), Incarnation(1)}, settings::Membership{}, 1);
    std::vector<HostEntry> listed;
    for (std::size_t at = 0; at < daemons; ++at) {
        listed.push_back({host(at), ZoneId("zone-0")});
    }
    membership.setHostList(listed, Instant());
    std::uint64_t incarnation = 1'700'000'000'000;
    double size = 0;
    for (auto _ : state) {
        MembershipMessage message{Ping{1}, Incarnation(1'700'000'000'000), 0, {17, 18}, {}};
        for (std::size_t at = 0; at < 8; ++at) {
            auto subject = host(1 + (++incarnation * 7 + at) % (daemons - 1));
            message.updates.push_back({subject, ZoneId("zone-0"), Incarnation(incarnation), 0, MemberState::Alive});
        }
        auto bytes = toCbor(message);
        size = static_cast<double>(bytes.size());
        Error error;
        benchmark::DoNotOptimize(membership.onMessage(host(1), *fromCbor(bytes, error), Instant()));
    }
    state.counters["message_bytes"] = size;
}
BENCHMARK(messageApplied)->Arg(105)->Arg(210)->Arg(420)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
