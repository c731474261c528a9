#include "jackdawvane/foundation/compact_json.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <string>

#include "adapters/json_rpc_reader.hpp"
#include "adapters/json_rpc_writer.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::detail {
namespace {

using namespace std::string_literals;

struct text_case {
    const char* name;
    std::string text;
};

class ForwardedText : public ::testing::TestWithParam<text_case> {};

/// Guards against a statement, value or row whose text changes on the way between two VMs.
TEST_P(ForwardedText, ArrivesUnchanged) {
    forwarded_statement sent;
    sent.main.id = statement_id{GetParam().text};
    sent.main.value = "WRITE 1 " + GetParam().text;
    sent.values["v"] = GetParam().text;
    sent.prepared = prepared_statement{access_mode::write, GetParam().text};
    std::string method;
    Json::Value params;
    json_rpc_reader reader{[&](const std::string& name, const Json::Value& input) {
        method = name;
        params = input;
    }};
    ASSERT_TRUE(
        reader.read(write_notification(forwarded_statement::method, to_compact_json(sent))));
    const auto read = from_json<forwarded_statement>(params);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().main.id, sent.main.id);
    EXPECT_EQ(read.value().main.value, sent.main.value);
    EXPECT_EQ(read.value().values, sent.values);
    EXPECT_EQ(read.value().prepared, sent.prepared);
}

INSTANTIATE_TEST_SUITE_P(
    StatementText, ForwardedText,
    ::testing::Values(
        text_case{"plain", "x"}, text_case{"quotes", R"(a"b\c/d'e)"}, text_case{"blanks", " a  b "},
        text_case{"delete", "a\x7f"s}, text_case{"two_bytes", "\xc3\xa9"s},
        text_case{"three_bytes", "\xe2\x82\xac"s}, text_case{"four_bytes", "\xf0\x9f\x90\xa6"s},
        text_case{"line_separator", "a\xe2\x80\xa8z"s},
        text_case{"byte_order_mark", "\xef\xbb\xbfz"s},
        text_case{"replacement_character", "\xef\xbf\xbd"s},
        text_case{"single_continuation_byte", "a\x80z"s}, text_case{"cut_sequence", "a\xe2\x82"s},
        text_case{"overlong_sequence", "a\xc0\xafz"s}, text_case{"surrogate", "a\xed\xa0\x80z"s},
        text_case{"beyond_unicode", "a\xf5\x80\x80\x80z"s}, text_case{"byte_ff", "a\xffz"s},
        text_case{"long", std::string(900'000, 'y')}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane::detail
