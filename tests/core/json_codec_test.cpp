#include "jackdawvane/foundation/compact_json.hpp"
#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/node/peer.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Guards against a message that is changed by encoding and decoding.
TEST(JsonCodec, PeerMessageSurvivesEncodingAndDecoding) {
    forward_request sent;
    sent.id = request_id{7};
    sent.kind = request_kind::commit;
    sent.organisation = organisation_id{"depot"};
    sent.session = {{group_id{"g1"}, term{3}, log_position{42}}};
    sent.max_staleness = from_milliseconds(250);
    sent.remaining = from_milliseconds(1500);

    const auto received = decode_peer_message(method_of(sent), encode(sent));

    ASSERT_TRUE(received);
    EXPECT_EQ(write_json(encode(received.value())), write_json(encode(sent)));
}

/// Guards against a request that the backend server cannot decode because a field is not set.
TEST(JsonCodec, RequestWithoutAnEndpointSurvivesEncodingAndDecoding) {
    const auto sent = to_json(backend_request{});
    const auto received = from_json<backend_request>(sent);
    ASSERT_TRUE(received) << received.error().message();
    EXPECT_EQ(to_json(received.value()), sent);
}

struct compact_part {
    int number{0};
    bool flag{true};
    static constexpr auto fields() {
        return std::tuple{field("number", &compact_part::number),
                          field("flag", &compact_part::flag)};
    }
};

struct compact_whole {
    compact_part own{7, true}; ///< The default differs from that of its type.
    std::optional<compact_part> maybe;
    std::vector<compact_part> list;
    static constexpr auto fields() {
        return std::tuple{field("own", &compact_whole::own), field("maybe", &compact_whole::maybe),
                          field("list", &compact_whole::list)};
    }
};

struct compact_case {
    const char* name;
    compact_whole value;
    const char* text;
};

class CompactJson : public testing::TestWithParam<compact_case> {};

/// Guards against omitting a field whose value differs from the decoder's default.
TEST_P(CompactJson, LeavesOutDefaultsAndReadsTheSame) {
    const auto compact = to_compact_json(GetParam().value);
    EXPECT_EQ(write_json(compact), GetParam().text);
    const auto received = from_json<compact_whole>(compact);
    ASSERT_TRUE(received);
    EXPECT_EQ(to_json(received.value()), to_json(GetParam().value));
}

INSTANTIATE_TEST_SUITE_P(
    JsonCodec, CompactJson,
    testing::Values(
        compact_case{"defaults", {}, "{}"},
        compact_case{"nested_type_default", {{0, true}, {}, {}}, R"({"own":{"number":0}})"},
        compact_case{"optional",
                     {{}, compact_part{0, false}, {}},
                     R"({"maybe":{"flag":false},"own":{"number":0}})"},
        compact_case{
            "list", {{7, true}, {}, {{0, true}, {2, true}}}, R"({"list":[{},{"number":2}]})"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

struct malformed_case {
    const char* name;
    const char* json;
    const char* message_part;
};

class MalformedInput : public testing::TestWithParam<malformed_case> {};

/// Guards against partially accepted input and against errors that do not name the key.
TEST_P(MalformedInput, IsReportedWithItsKey) {
    const auto json = parse_json(GetParam().json);
    ASSERT_TRUE(json);
    const auto decoded = from_json<backend_server_row>(json.value());
    ASSERT_FALSE(decoded);
    EXPECT_NE(decoded.error().message().find(GetParam().message_part), std::string::npos)
        << decoded.error().message();
}

INSTANTIATE_TEST_SUITE_P(
    JsonCodec, MalformedInput,
    testing::Values(malformed_case{"unknown_key", R"({"slot":3})", "slot: is not a known key"},
                    malformed_case{"negative", R"({"slots":-1})", "slots: must be a whole"},
                    malformed_case{"endpoint", R"({"endpoint":"here"})", "endpoint: must be"},
                    malformed_case{"port", R"({"endpoint":"127.0.0.1:70000"})", "endpoint: must"},
                    malformed_case{"enum", R"({"state":"gone"})", "one of active, leaving"},
                    malformed_case{"type", R"([])", "must be an object"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against stack exhaustion by deeply nested input from the network.
TEST(JsonCodec, DeepNestingIsRefused) {
    EXPECT_FALSE(parse_json(std::string(100000, '[')));
}

} // namespace
} // namespace jackdawvane
