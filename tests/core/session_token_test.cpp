#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/routing/session_token.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

session_position at(std::string group, std::uint64_t in_term, std::uint64_t position) {
    return {group_id{std::move(group)}, term{in_term}, log_position{position}};
}

std::vector<session_position> groups(std::size_t count) {
    std::vector<session_position> positions;
    for (std::size_t i = 0; i < count; ++i) {
        positions.push_back(at("group-" + std::to_string(i), i, ~std::uint64_t{0} - i));
    }
    return positions;
}

class TokenSize : public testing::TestWithParam<std::size_t> {};

/// Guards against losing or changing a position in a token, including extreme values.
TEST_P(TokenSize, RoundTripKeepsEveryPosition) {
    const auto sent = groups(GetParam());
    const auto text = encode_token(sent);
    const auto received = decode_token(text);
    ASSERT_TRUE(received) << received.error().message();
    EXPECT_EQ(received.value(), sent);
    EXPECT_EQ(text.find_first_of("+/=\r\n"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(SessionToken, TokenSize, testing::Values(0, 1, 2, 3, 32));

struct malformed_token_case {
    const char* guards_against;
    std::string text;
};

class MalformedToken : public testing::TestWithParam<malformed_token_case> {};

TEST_P(MalformedToken, IsATypedError) {
    const auto received = decode_token(GetParam().text);
    ASSERT_FALSE(received);
    EXPECT_EQ(received.error().kind, error_kind::malformed_token);
}

INSTANTIATE_TEST_SUITE_P(
    SessionToken, MalformedToken,
    testing::Values(
        malformed_token_case{"foreign_text", "not a token"},
        malformed_token_case{"one_character", "A"}, malformed_token_case{"too_short", "AAAA"},
        malformed_token_case{"padding", encode_token(groups(1)) + "="},
        malformed_token_case{"blanks", " " + encode_token(groups(1))},
        malformed_token_case{"too_many_groups", encode_token(groups(33))},
        malformed_token_case{"memory_exhaustion", std::string(1U << 20U, 'A')},
        malformed_token_case{"a_group_twice", encode_token({at("g", 1, 1), at("g", 2, 2)})},
        malformed_token_case{"two_joined", encode_token(groups(2)) + encode_token(groups(2))}),
    [](const auto& tested) { return std::string{tested.param.guards_against}; });

/// Guards against accepting a corrupted token with different positions.
TEST(SessionToken, AnyChangedCharacterIsRefused) {
    const auto text = encode_token(groups(3));
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char replacement : {'A', '_', '+', '\0', '\n'}) {
            auto damaged = text;
            damaged[i] = replacement;
            EXPECT_EQ(static_cast<bool>(decode_token(damaged)), damaged == text) << i;
        }
        EXPECT_EQ(static_cast<bool>(decode_token(text.substr(0, i))), i == 0) << i;
    }
}

/// Guards against a crash or a hang on random input.
TEST(SessionToken, RandomTextIsRefused) {
    random_engine random{20};
    for (int run = 0; run < 2000; ++run) {
        std::string text(1 + random() % 80, '\0');
        for (auto& character : text) {
            character = static_cast<char>(random() % 256);
        }
        EXPECT_FALSE(decode_token(text));
    }
}

/// Guards against a session that loses its own writes when answers arrive out of order, and
/// against mixing the positions of two groups.
TEST(SessionToken, MergeNeverGoesBackAndKeepsGroupsApart) {
    std::vector<session_position> positions;
    for (const auto& seen : {at("a", 2, 10), at("b", 1, 99), at("a", 2, 9), at("a", 1, 500),
                             at("a", 3, 4), at("b", 1, 98)}) {
        merge(positions, seen);
    }
    ASSERT_NE(find_position(positions, group_id{"a"}), nullptr);
    EXPECT_EQ(*find_position(positions, group_id{"a"}), at("a", 3, 4));
    EXPECT_EQ(*find_position(positions, group_id{"b"}), at("b", 1, 99));
    EXPECT_EQ(find_position(positions, group_id{"c"}), nullptr);
}

} // namespace
} // namespace jackdawvane
