// standins/engine/engine.h: a model engine that generates text that says which adapter and request it belongs to.
//
// Index
//   EngineOptions   the command line
//   Signal          wakes coroutines that wait for a change
//   Generation      one request on the engine, also after its caller has gone
//   Engine          the protocol of docs/ARCHITECTURE.md, GET /record, faults
//
// The text of token N (from 0) is "customer/adapter@version|REQUEST-ID|N ", the name without its epoch. Event N of a stream is
// token N; after the tokens come one event with the finish reason and "[DONE]", which counts as an event too.
// X-Priority: lower numbers enter the batch first, equal ones in order of arrival; none counts as 0.
//
// Faults besides the common ones:
//   fail_loads          that many load orders fail with 500 after their time
//   load_slow_ms        added to each load
//   ignore_fencing      orders are taken whatever their number
//   refuse              that many completions get 503 and are not run
//   leaving             every completion gets 503 with type "leaving" and is not run: the engine's own word that it stops
//   cross_answers       that many completions carry the id, name and text of another request, from event cross_after on
//   wrong_names         that many completions run on and name another version, from event cross_after on
//   duplicate_answers   that many streams are sent twice, one after the other
//   cut_streams         that many streams are cut after cut_after events; forget_cut: and can't be resumed
// Orders among them: {"restart":true} empties the engine, cuts its streams and raises the start number; with
// {"restart":true,"forget_fencing":true} it also forgets the highest fencing number.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <common/standin.h>

namespace baobabstall::standins {

struct EngineOptions {
    std::string platform;           // ip:port of the weight store; empty: weights are there at once
    int slots = 8;                  // adapters held at once
    int batch = 16;                 // requests that run at once
    std::int64_t tokenMs = 5;       // between tokens
    std::int64_t loadMs = 0;        // a load's own time after the weights arrived
    std::int64_t reportLagMs = 500; // lag of GET /load
    std::int64_t lingerMs = 3000;   // how long a stream without a reader goes on, and is held after its end
    bool checksFencing = true;
    std::uint64_t start = 1;
};

/// Wakes every coroutine that waits; each then looks for itself at what changed.
class Signal
{
public:
    explicit Signal(boost::asio::io_context &io)
        : io_(io)
    { }

    Task<void> wait(core::Milliseconds atMost);
    void raise();

private:
    boost::asio::io_context &io_;
    std::list<boost::asio::steady_timer *> waiting_;
};

/// What one request is on the engine.
struct Generation {
    explicit Generation(boost::asio::io_context &io)
        : changed(io)
    { }

    std::string requestId;
    std::string name;    // with its epoch
    std::string shownId; // what the answer says from event `shownFrom` on
    std::string shownName;
    int shownFrom = 0;
    int priority = 0;
    int maxTokens = 0;
    int tokens = 0; // made so far
    int readers = 0;
    int resumed = 0;
    bool chat = false;
    bool streamed = false;
    bool duplicate = false;
    bool running = false;
    std::optional<int> cutAfter;
    std::int64_t acceptedMs = 0;
    std::int64_t idleSinceMs = 0; // since when nobody reads
    std::uint64_t start = 0;
    std::string end;                 // "" while it goes on; "complete", "cancelled", "abandoned", "unloaded", "restarted"
    std::vector<std::string> events; // data of each event
    Signal changed;
};

class Engine final : public StandIn
{
public:
    Engine(boost::asio::io_context &io, EngineOptions options);

protected:
    Task<void> serve(net::Exchange &exchange) override;
    [[nodiscard]] Json record() const override;
    void act(Json &wanted) override;

private:
    using GenerationPtr = std::shared_ptr<Generation>;
    enum class Holding : std::uint8_t { Loading, Held };
    struct Order {
        std::string name;
        std::string path; // of the weights; empty in an unload order
        std::uint64_t fencing = 0;
    };
    struct LoadReport {
        std::int64_t atMs;
        std::size_t running;
        std::size_t waiting;
    };

    // Orders.
    Task<std::optional<Order>> readOrder(net::Exchange &exchange, std::string kind);
    Task<void> serveLoad(net::Exchange &exchange);
    Task<void> serveUnload(net::Exchange &exchange);
    Task<int> load(std::string name, std::string path);
    Task<bool> fetchWeights(std::string name);
    int unload(const std::string &name, std::uint64_t fencing);
    bool takesNumber(std::uint64_t fencing);
    void recordOrder(const std::string &kind, const std::string &name, std::uint64_t fencing, const std::string &verdict);

    // Completions.
    Task<void> serveCompletion(net::Exchange &exchange, bool chat);
    GenerationPtr begin(const net::HttpRequest &request, const Json &body, bool chat);
    void misname(Generation &generation);
    Task<void> generate(GenerationPtr generation);
    Task<void> enterBatch(GenerationPtr generation);
    [[nodiscard]] bool isNext(const GenerationPtr &generation) const;
    void finish(Generation &generation, const std::string &end);
    Task<void> follow(net::Exchange &exchange, GenerationPtr generation, std::size_t from);
    Task<void> answerWhole(net::Exchange &exchange, GenerationPtr generation);
    Task<void> serveStream(net::Exchange &exchange, const std::string &rest);
    void abandonUnread(Generation &generation);

    // Reports.
    [[nodiscard]] Json models() const;
    [[nodiscard]] Json loadReport();
    void noteLoad();
    void restart(bool forgetFencing);

    EngineOptions options_;
    net::HttpClient client_;
    std::map<std::string, Holding> adapters_;
    std::map<std::string, GenerationPtr> streams_; // by request id, the newest of each
    std::vector<GenerationPtr> all_;               // every request that was accepted, for the record
    std::list<GenerationPtr> waiting_;
    std::list<GenerationPtr> running_;
    std::deque<LoadReport> reports_;
    Signal batchChanged_;
    Signal loadsChanged_;
    Json orders_ = Json::array();
    Json violations_ = Json::array();
    std::uint64_t highestFencing_ = 0;
    std::uint64_t start_;
};

} // namespace baobabstall::standins
