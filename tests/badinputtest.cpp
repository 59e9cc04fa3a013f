// Input that breaks the rules gets a clear answer or a bounded cut, and harms no other request.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/rawsocket.h>
#include <harness/world.h>

namespace baobabstall::harness {

namespace {

constexpr std::size_t headerLimit = 4 * 1024;
constexpr std::size_t bodyLimit = 256 * 1024;

class BadInput : public testing::Test
{
public:
    BadInput()
        : world([] {
            DeploymentOptions options;
            options.daemons = 1;
            options.engines = 1;
            options.more = {"--token-ms=0", "--engine-args=--linger-ms=500"};
            options.settings = quickSettings();
            options.settings["callers"]
                = {{"max_header_bytes", headerLimit}, {"max_body_bytes", bodyLimit}, {"receive_timeout_ms", 1000}, {"send_timeout_ms", 1000}};
            return options;
        }())
        , callers(world.callers("entry-1"))
    {
        EXPECT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 1)));
    }

    void TearDown() override
    {
        EXPECT_TRUE(succeeded(world.complete("entry-1", "camp/brief@v1", 3))) << "other callers are harmed";
        EXPECT_EQ(world.end(), 0) << "the daemon did not end well";
    }

    /// Sends bytes and gives the whole answer.
    std::string sendRaw(const std::string &bytes)
    {
        RawSocket socket(callers);
        socket.send(bytes);
        return socket.readToEnd();
    }

    static std::string post(const std::string &headers, const std::string &body)
    {
        return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n"
            + body;
    }

    static std::string key(const std::string &customer) { return "Authorization: Bearer " + customerKey(customer) + "\r\n"; }

    void expectRefusal(const std::string &bytes, int status)
    {
        const auto text = sendRaw(bytes);
        EXPECT_EQ(statusOf(text), status) << text;
        const auto body = Json::parse(bodyTextOf(text), nullptr, false);
        ASSERT_TRUE(body.is_object() && body.contains("error")) << text;
        EXPECT_EQ(body.at("error").value("outcome", ""), "not_run") << text;
        EXPECT_FALSE(body.at("error").value("message", "").empty()) << text;
        EXPECT_EQ(text.find(customerKey("camp")), std::string::npos) << "a key in an answer";
    }

    World world;
    std::string callers;
};

} // namespace

TEST_F(BadInput, malformed_http)
{
    expectRefusal("NONSENSE\r\n\r\n", 400);
    expectRefusal(std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 15), 400); // a TLS hello
    expectRefusal("GET /v1/models HTTP/9.9\r\n\r\n", 400);
    expectRefusal("POST /v1/completions HTTP/1.1\r\nContent-Length: many\r\n\r\n", 400);
}

TEST_F(BadInput, malformed_json)
{
    for (const auto *body : {"", "{", "[]", "7", "{\"model\":7}", "{\"prompt\":\"p\"}", "{\"model\":\"camp/brief@v1\",\"stream\":\"yes\"}", "\xff\xfe{}"}) {
        expectRefusal(post(key("camp"), body), 400);
    }
}

TEST_F(BadInput, deeply_nested_json_ends_no_process)
{
    const std::size_t depth = bodyLimit / 2 - 100;
    const auto body = R"({"model":"camp/brief@v1","max_tokens":1,"x":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    const auto text = sendRaw(post(key("camp"), body));
    EXPECT_NE(statusOf(text), 0) << "no answer";
}

TEST_F(BadInput, over_the_limits)
{
    expectRefusal(post(key("camp") + "X-Filler: " + std::string(headerLimit, 'x') + "\r\n", "{}"), 431);
    expectRefusal(post(key("camp"), std::string(bodyLimit + 1, ' ')), 413);
    expectRefusal("POST /v1/completions HTTP/1.1\r\n" + key("camp") + "Content-Length: 99999999999\r\n\r\n", 413);
}

TEST_F(BadInput, keys_customers_and_names)
{
    const std::string good = R"({"model":"camp/brief@v1","max_tokens":1})";
    expectRefusal(post("", good), 401);
    expectRefusal(post("Authorization: Bearer wrong\r\n", good), 401);
    expectRefusal(post("Authorization: Basic x\r\n", good), 401);
    expectRefusal(post(key("shop"), good), 403);
    expectRefusal(post(key("camp"), R"({"model":"camp/none@v1"})"), 404);
    expectRefusal(post(key("camp"), R"({"model":"camp/brief@v9"})"), 404);
    expectRefusal(post(key("camp"), R"({"model":"../../etc"})"), 404);
    expectRefusal("GET /nowhere HTTP/1.1\r\nConnection: close\r\n" + key("camp") + "\r\n", 404);
    expectRefusal("POST /services/none/x HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n" + key("camp") + "\r\n", 404);
}

TEST_F(BadInput, slow_senders_get_408)
{
    RawSocket head(callers);
    head.send("POST /v1/completions HTTP/1.1\r\nHost:");
    RawSocket body(callers);
    body.send("POST /v1/completions HTTP/1.1\r\n" + key("camp") + "Content-Length: 100\r\n\r\n{");
    EXPECT_TRUE(succeeded(world.complete("entry-1", "camp/brief@v1", 2)));
    EXPECT_EQ(statusOf(head.readToEnd()), 408);
    EXPECT_EQ(statusOf(body.readToEnd()), 408);
}

TEST_F(BadInput, a_reader_that_stops_is_cut_off_and_its_request_cancelled)
{
    RawSocket reader(callers, RawSocket::smallReceiveBuffer);
    const auto body = Json{{"model", "camp/brief@v1"}, {"max_tokens", 1'000'000}, {"stream", true}}.dump();
    reader.send(post(key("camp"), body));
    const auto ended = [this] {
        const auto requests = world.record("engine-1", "requests");
        return std::any_of(requests.begin(), requests.end(), [](const Json &request) {
            return request.at("max_tokens") == 1'000'000 && !request.at("end").get<std::string>().empty();
        });
    };
    EXPECT_TRUE(succeeded(world.complete("entry-1", "camp/swell@v1", 2)));
    EXPECT_TRUE(waitUntil(ended)) << "the request of a reader that stopped still runs";
    EXPECT_TRUE(reader.waitClosed());
}

TEST_F(BadInput, operators_pages_are_not_on_the_callers_address)
{
    for (const auto *path : {"/metrics", "/status", "/lists", "/explain/x"}) {
        const auto text = sendRaw(std::string("GET ") + path + " HTTP/1.1\r\nConnection: close\r\n" + key("camp") + "\r\n");
        EXPECT_EQ(statusOf(text), 404) << path;
    }
}

TEST_F(BadInput, a_peer_without_the_key_is_cut_off)
{
    const auto peers = world.peers("entry-1");
    RawSocket nonsense(peers);
    nonsense.send("hello\r\n\r\n");
    EXPECT_TRUE(nonsense.waitClosed());
    RawSocket silent(peers);
    EXPECT_TRUE(silent.waitClosed());
    RawSocket impostor(peers);
    impostor.send("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                  "Sec-WebSocket-Version: 13\r\n\r\n");
    impostor.send(std::string(200, '\x82'));
    EXPECT_TRUE(impostor.waitClosed());
}

} // namespace baobabstall::harness
