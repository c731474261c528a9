#include "platform/line_codec.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

struct statement_case {
    const char* name;
    const char* line;
    statement_kind kind;
};

class CallerStatement : public ::testing::TestWithParam<statement_case> {};

TEST_P(CallerStatement, IsReadByItsFirstWord) {
    const auto read = line_codec{}.read_caller(GetParam().line);
    const auto* const found = std::get_if<statement>(&read);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->kind, GetParam().kind);
}

INSTANTIATE_TEST_SUITE_P(
    LineCodec, CallerStatement,
    ::testing::Values(
        statement_case{"begin", "QUERY 1 BEGIN", statement_kind::begin},
        statement_case{"begin_read", "QUERY 1 BEGIN READ", statement_kind::begin},
        statement_case{"begin_other", "QUERY 1 BEGIN WRITE", statement_kind::unknown},
        statement_case{"commit", "QUERY 1 COMMIT", statement_kind::commit},
        statement_case{"rollback", "QUERY 1 ROLLBACK", statement_kind::rollback},
        statement_case{"read", "QUERY 1 READ 1a4", statement_kind::read},
        statement_case{"read_nothing", "QUERY 1 READ", statement_kind::unknown},
        statement_case{"write", "QUERY 1 WRITE 1a4 x y", statement_kind::write},
        statement_case{"set", "QUERY 1 SET a b c", statement_kind::set},
        statement_case{"prepare", "QUERY 1 PREPARE s READ q", statement_kind::prepare},
        statement_case{"prepare_other", "QUERY 1 PREPARE s q", statement_kind::unknown},
        statement_case{"execute", "QUERY 1 EXECUTE s 1a4 x", statement_kind::execute},
        statement_case{"deallocate", "QUERY 1 DEALLOCATE s", statement_kind::deallocate},
        statement_case{"prefix_of_ours", "QUERY 1 AFTER 1.1 READ 1", statement_kind::unknown},
        statement_case{"id_of_ours", "QUERY - READ 1a4", statement_kind::unknown},
        statement_case{"empty_id", "QUERY  READ 1a4", statement_kind::unknown},
        statement_case{"no_text", "QUERY 1", statement_kind::unknown}),
    [](const auto& each) { return each.param.name; });

TEST(LineCodec, KeepsTheTextAndTheLastFieldWhole) {
    const auto read = line_codec{}.read_caller("QUERY id1 EXECUTE s1 1a4 x  y");
    const auto& found = std::get<statement>(read);
    EXPECT_EQ(found.id, statement_id{"id1"});
    EXPECT_EQ(found.name, "s1");
    EXPECT_EQ(found.value, "1a4 x  y");
    EXPECT_EQ(found.text, "EXECUTE s1 1a4 x  y");
}

// A control character could hide a second statement in a line; such a line must not reach a backend
// server.
TEST(LineCodec, ControlCharactersAndUnknownKindsAreUnreadable) {
    for (const auto* line : {"QUERY 1 READ a\rQUERY 2 WRITE b", "HELLO", ""}) {
        EXPECT_TRUE(std::holds_alternative<malformed_line>(line_codec{}.read_caller(line))) << line;
    }
}

// Guards against a line that a backend server ends elsewhere than this proxy.
TEST(LineCodec, ControlCharactersInAnAnswerAreUnreadable) {
    using namespace std::string_view_literals;
    for (const auto line : {"ROW a\nCOMPLETE s"sv, "ROW a\rb"sv, "ROW a\0b"sv, "COMPLETE s\n"sv}) {
        EXPECT_TRUE(std::holds_alternative<malformed_line>(line_codec{}.read_backend(line)));
    }
}

TEST(LineCodec, ReadsTheAnswersOfABackendServer) {
    const line_codec codec;
    EXPECT_EQ(std::get<answer_row>(codec.read_backend("ROW a b")).text, "a b");
    EXPECT_EQ(std::get<answer_completed>(codec.read_backend("COMPLETE s.1")).signature, "s.1");
    EXPECT_EQ(std::get<answer_error>(codec.read_backend("ERROR LAGGING x")).problem,
              statement_error::lagging);
    const auto ready = std::get<answer_ready>(codec.read_backend("READY T 3.12"));
    EXPECT_EQ(ready.state, transaction_state::open);
    EXPECT_EQ(ready.position, (log_point{term{3}, log_position{12}}));
    EXPECT_EQ(std::get<answer_ready>(codec.read_backend("READY I -")).position, std::nullopt);
    EXPECT_TRUE(std::holds_alternative<malformed_line>(codec.read_backend("READY X -")));
}

TEST(LineCodec, ReadsAStatusRow) {
    const auto status = line_codec{}.read_status("replica 3 3.1209 4 12 2 17");
    ASSERT_TRUE(status);
    EXPECT_EQ(status->role, backend_role::replica);
    EXPECT_EQ(status->term, term{3});
    EXPECT_EQ(status->received, (log_point{term{3}, log_position{1209}}));
    EXPECT_EQ(status->held_term, term{4});
    EXPECT_EQ(status->lag, from_milliseconds(12));
    EXPECT_EQ(status->busy, 2U);
    EXPECT_EQ(status->connections, 17U);
    EXPECT_FALSE(line_codec{}.read_status("qhzkwmtrbelo"));
}

TEST(LineCodec, WritesCommands) {
    const line_codec codec;
    std::string text;
    backend_command read;
    read.id = statement_id{"id1"};
    read.value = "READ 1a4";
    read.after = log_point{term{3}, log_position{7}};
    codec.write_command(read, text);
    backend_command execute;
    execute.kind = command_kind::execute;
    execute.id = statement_id{"id2"};
    execute.name = "p1";
    execute.value = "1a4 x";
    codec.write_command(execute, text);
    backend_command hold;
    hold.kind = command_kind::hold;
    hold.term = term{4};
    codec.write_command(hold, text);
    EXPECT_EQ(text, "QUERY id1 AFTER 3.7 READ 1a4\r\n"
                    "QUERY id2 EXECUTE p1 1a4 x\r\n"
                    "QUERY - PAUSE 4\r\n");
}

TEST(LineCodec, WritesReplies) {
    const line_codec codec;
    std::string text;
    statement_reply good;
    good.rows = {"a"};
    good.signature = "s.1";
    good.position = log_point{term{1}, log_position{2}};
    codec.write_reply(good, text);
    statement_reply bad;
    bad.problem = statement_error::unknown_outcome;
    bad.state = transaction_state::failed;
    codec.write_reply(bad, text);
    EXPECT_EQ(text, "ROW a\r\nCOMPLETE s.1\r\nREADY I 1.2\r\nERROR UNKNOWN -\r\nREADY E -\r\n");
}

} // namespace
} // namespace jackdawvane::platform
