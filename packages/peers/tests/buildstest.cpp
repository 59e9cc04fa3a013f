#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <peers/messages.h>

namespace baobabstall::peers {
namespace {

// Frames as commit 1f7b75f writes them, in hexadecimal digits. Hosts of that build run beside hosts of this one during an upgrade.
constexpr std::string_view oldRelayCall
    = "038207820aad656167654d73182864626f647964626f6479666669656c647382826249646271318268446561646c696e656339303068686173426567756ef564686f73746168"
      "626964116b6c6173744576656e7449640c6a6d61794861766552756ef5666d6574686f6464504f53546573656e6473016673656e74546f8163692d3166746172676574662f78"
      "3f793d316776657273696f6e627631";
constexpr std::string_view oldErrorReply
    = "0482078207a1656572726f72a6676f7574636f6d65676e6f745f72756e647065657267656e7472792d3166726561736f6e676375745f6f66666e72657472795f616674"
      "65725f6d731901f46473746570647065657264747970656b756e617661696c61626c65";
constexpr std::string_view oldRelayHead = "048207820da2666669656c64736849643a2071310d0a6673746174757318c8";
constexpr std::string_view oldRelayCredit = "06820ca265627974657319100062696411";
constexpr std::string_view oldStreamOrigin
    = "06820aa3626964627131666f726967696ea56772657175657374056473656e64016773657276696365617368757073747265616d63692d316776657273696f6e6276316b72"
      "656d61696e696e674d73190384";

std::string bytesOf(std::string_view digits)
{
    constexpr int hexBase = 16;
    std::string bytes;
    for (; digits.size() >= 2; digits.remove_prefix(2)) {
        bytes.push_back(static_cast<char>(std::stoi(std::string(digits.substr(0, 2)), nullptr, hexBase)));
    }
    return bytes;
}

nlohmann::json payloadOf(const std::string &bytes)
{
    return nlohmann::json::from_cbor(bytes.begin() + 1, bytes.end());
}

/// The value of the message in a frame of a call or reply.
nlohmann::json messageOf(const std::string &bytes)
{
    return payloadOf(bytes).at(1).at(1);
}

/// 1f7b75f demands each of its fields and skips others.
void expectReadableByOld(const nlohmann::json &old, const nlohmann::json &present, const std::string &place)
{
    ASSERT_EQ(old.is_object(), present.is_object()) << place;
    for (const auto &[name, value] : old.items()) {
        ASSERT_TRUE(present.contains(name)) << "1f7b75f demands field \"" << name << "\" of " << place << "; keep it, and add fields beside it";
        const bool isSameType = value.is_number() ? present.at(name).is_number() : value.type() == present.at(name).type();
        EXPECT_TRUE(isSameType) << "field \"" << name << "\" of " << place << " has another type than 1f7b75f reads";
    }
}

Frame frameOf(std::string_view digits)
{
    core::Error error;
    auto frame = decode(bytesOf(digits), error);
    EXPECT_TRUE(frame) << error.text();
    return frame ? std::move(*frame) : Frame(Cancel());
}

// Guards against links that hosts of two builds close on each other's frames, and against calls whose tries are not bounded, during an upgrade (issue 35).
TEST(Builds, frames_of_1f7b75f_are_read_and_bound_no_tries)
{
    const auto call = std::get<RelayCall>(std::get<Call>(frameOf(oldRelayCall)).body);
    EXPECT_EQ(call.id, 17U);
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.fields.size(), 2U);
    EXPECT_EQ(call.ageMs, 40);
    EXPECT_EQ(call.sentTo, std::vector<core::UpstreamId>{core::UpstreamId("i-1")});
    EXPECT_TRUE(call.mayHaveRun && call.hasBegun);
    EXPECT_EQ(call.lastEventId, 12);
    EXPECT_EQ(call.version, "v1");
    EXPECT_LT(call.tries, 0);
    EXPECT_EQ(call.keptTries, 0);
    EXPECT_EQ(call.cuts, 0);
    const auto refusal = std::get<ErrorReply>(std::get<Reply>(frameOf(oldErrorReply)).body);
    EXPECT_EQ(refusal.error.reason, "cut_off");
    EXPECT_EQ(refusal.error.outcome, core::Outcome::NotRun);
    EXPECT_FALSE(refusal.relayed);
    EXPECT_EQ(std::get<RelayHeadReply>(std::get<Reply>(frameOf(oldRelayHead)).body).status, 200);
    EXPECT_EQ(std::get<RelayCreditNotice>(std::get<Notice>(frameOf(oldRelayCredit)).body).bytes, 4096);
    EXPECT_EQ(std::get<StreamOriginNotice>(std::get<Notice>(frameOf(oldStreamOrigin)).body).origin.version, "v1");
}

TEST(Builds, what_this_build_writes_has_each_field_that_1f7b75f_demands)
{
    RelayCall call;
    call.sentTo = {core::UpstreamId("i-1"), core::UpstreamId()};
    call.tries = 1;
    ErrorReply refusal{core::Error{.step = core::Step::Peer, .retryAfter = core::Milliseconds(1)}};
    refusal.relayed = RelayAccount{{core::UpstreamId("i-1")}, 1, false, 12, "v1"};
    expectReadableByOld(messageOf(bytesOf(oldRelayCall)), messageOf(encode(Call{7, call})), "RelayCall");
    expectReadableByOld(messageOf(bytesOf(oldErrorReply)), messageOf(encode(Reply{7, refusal})), "ErrorReply");
    expectReadableByOld(messageOf(bytesOf(oldErrorReply)).at("error"), messageOf(encode(Reply{7, refusal})).at("error"), "ErrorReply.error");
    expectReadableByOld(messageOf(bytesOf(oldRelayHead)), messageOf(encode(Reply{7, RelayHeadReply{}})), "RelayHeadReply");
    expectReadableByOld(payloadOf(bytesOf(oldRelayCredit)).at(1), payloadOf(encode(Notice{RelayCreditNotice{}})).at(1), "RelayCreditNotice");
    EXPECT_EQ(payloadOf(encode(Call{7, call})).at(1).at(0), payloadOf(bytesOf(oldRelayCall)).at(1).at(0)) << "the kinds of calls have moved";
    EXPECT_EQ(payloadOf(encode(Reply{7, refusal})).at(1).at(0), payloadOf(bytesOf(oldErrorReply)).at(1).at(0)) << "the kinds of replies have moved";
    EXPECT_EQ(payloadOf(encode(Notice{RelayCreditNotice{}})).at(0), payloadOf(bytesOf(oldRelayCredit)).at(0)) << "the kinds of notices have moved";
}

// A place at a crowded plain service: older builds skip its fields and answer that they know of no limit, what is not asked for isn't written.
TEST(Builds, a_place_that_is_asked_for_survives_encoding_and_is_not_written_otherwise)
{
    SendCall asked{.upstream = core::UpstreamId("i-1"), .perSecond = 5, .holdMs = 2'000};
    EXPECT_FALSE(messageOf(encode(Call{7, asked})).contains("workMs"));
    asked.workMs = 30;
    asked.roundTripMs = 11;
    asked.untilLateMs = -20;
    asked.rank = 2;
    asked.mayRepeat = true;
    asked.spread = 1ULL << 63U;
    core::Error error;
    const auto frame = decode(encode(Call{7, asked}), error);
    ASSERT_TRUE(frame) << error.text();
    const auto &read = std::get<SendCall>(std::get<Call>(*frame).body);
    EXPECT_EQ(read.workMs, 30);
    EXPECT_EQ(read.roundTripMs, 11);
    EXPECT_EQ(read.untilLateMs, -20);
    EXPECT_EQ(read.rank, 2);
    EXPECT_TRUE(read.mayRepeat);
    EXPECT_EQ(read.spread, 1ULL << 63U);
    EXPECT_EQ(read.holdMs, 2'000);
}

// The order of callers at model replicas: older builds skip its fields, and what asks without them goes with the most urgent.
TEST(Builds, ranks_and_workspaces_of_asks_survive_encoding_and_are_not_written_otherwise)
{
    ResidencyCall load{.replica = core::UpstreamId("r-1"), .onTimeMs = 300};
    PrefillCall prompt{.replica = core::UpstreamId("r-1"), .promptTokens = 700, .waitMs = 250};
    EXPECT_EQ(messageOf(encode(Call{7, load})).size(), 6U);
    EXPECT_EQ(messageOf(encode(Call{7, prompt})).size(), 3U);
    core::Error error;
    const auto old = decode(encode(Call{7, prompt}), error);
    ASSERT_TRUE(old) << error.text();
    EXPECT_EQ(std::get<PrefillCall>(std::get<Call>(*old).body).rank, 0);
    load.rank = 2;
    load.workspace = core::WorkspaceId("alpha");
    prompt.workspace = core::WorkspaceId("alpha");
    prompt.isLate = true;
    const auto loadFrame = decode(encode(Call{7, load}), error);
    const auto promptFrame = decode(encode(Call{7, prompt}), error);
    ASSERT_TRUE(loadFrame && promptFrame) << error.text();
    const auto &readLoad = std::get<ResidencyCall>(std::get<Call>(*loadFrame).body);
    EXPECT_EQ(readLoad.rank, 2);
    EXPECT_EQ(readLoad.workspace, load.workspace);
    EXPECT_EQ(readLoad.onTimeMs, 300);
    const auto &readPrompt = std::get<PrefillCall>(std::get<Call>(*promptFrame).body);
    EXPECT_EQ(readPrompt.workspace, prompt.workspace);
    EXPECT_TRUE(readPrompt.isLate);
    EXPECT_EQ(readPrompt.waitMs, 250);
}

TEST(Builds, tries_and_accounts_survive_encoding_and_decoding)
{
    core::Error error;
    RelayCall sent;
    sent.tries = 1;
    sent.keptTries = 2;
    sent.cuts = 3;
    const auto call = decode(encode(Call{7, sent}), error);
    ASSERT_TRUE(call) << error.text();
    const auto &read = std::get<RelayCall>(std::get<Call>(*call).body);
    EXPECT_EQ(read.tries, 1);
    EXPECT_EQ(read.keptTries, 2);
    EXPECT_EQ(read.cuts, 3);
    ErrorReply refusal{core::Error{.step = core::Step::Peer}};
    refusal.relayed = RelayAccount{{core::UpstreamId("i-1")}, 1, true, 12, "v1"};
    const auto reply = decode(encode(Reply{7, refusal}), error);
    ASSERT_TRUE(reply) << error.text();
    const auto &account = std::get<ErrorReply>(std::get<Reply>(*reply).body).relayed;
    ASSERT_TRUE(account);
    EXPECT_EQ(account->sentTo, std::vector<core::UpstreamId>{core::UpstreamId("i-1")});
    EXPECT_EQ(account->cuts, 1);
    EXPECT_TRUE(account->isFinal);
    EXPECT_EQ(account->lastEventId, 12);
    EXPECT_EQ(account->version, "v1");
}

// Guards against links that hosts of two builds close on each other's loads: those of older builds name no paces, and those of this one may.
TEST(Builds, loads_with_and_without_paces_are_read)
{
    core::Error error;
    const nlohmann::json old = nlohmann::json::array({3, {{"scope", 2}, {"loads", {{"i-1", 4, 120}}}}});
    const auto bytes = nlohmann::json::to_cbor(old);
    const auto read = decode(std::string(1, '\6') + std::string(bytes.begin(), bytes.end()), error);
    ASSERT_TRUE(read) << error.text();
    const auto &loads = std::get<LoadsNotice>(std::get<Notice>(*read).body);
    EXPECT_EQ(loads.loads.size(), 1U);
    EXPECT_FALSE(loads.paces);
    EXPECT_EQ(payloadOf(encode(Notice{loads})), old) << "without paces the same bytes as before";

    LoadsNotice sent{2, loads.loads, std::vector<UpstreamPace>{{core::UpstreamId("i-1"), 125, -798}}};
    expectReadableByOld(old.at(1), payloadOf(encode(Notice{sent})).at(1), "LoadsNotice");
    const auto again = decode(encode(Notice{sent}), error);
    ASSERT_TRUE(again) << error.text();
    EXPECT_EQ(std::get<LoadsNotice>(std::get<Notice>(*again).body).paces, sent.paces);
    sent.paces->clear();
    const auto none = decode(encode(Notice{sent}), error);
    ASSERT_TRUE(none) << error.text();
    EXPECT_TRUE(std::get<LoadsNotice>(std::get<Notice>(*none).body).paces);
}

} // namespace
} // namespace baobabstall::peers
