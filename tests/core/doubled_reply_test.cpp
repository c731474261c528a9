#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const auto read_one = [] { return make_statement(statement_kind::read, "READ 1"); };
const auto write_one = [] { return make_statement(statement_kind::write, "WRITE 1 x"); };
const auto begin_one = [] { return make_statement(statement_kind::begin, "BEGIN"); };
const auto commit_one = [] { return make_statement(statement_kind::commit, "COMMIT"); };
const auto rollback_one = [] { return make_statement(statement_kind::rollback, "ROLLBACK"); };

statement set_one() {
    auto set = make_statement(statement_kind::set, "SET v 1");
    set.name = "v";
    set.value = "1";
    return set;
}

statement prepare_one() {
    auto prepare = make_statement(statement_kind::prepare, "PREPARE q WRITE s");
    prepare.name = "q";
    prepare.access = access_mode::write;
    prepare.shape = "s";
    return prepare;
}

statement execute_one() {
    auto execute = make_statement(statement_kind::execute, "EXECUTE q 1 x");
    execute.name = "q";
    execute.value = "1 x";
    return execute;
}

/// A session whose statements all run on one connection, and a server that answers one of them
/// twice.
class doubling_server {
  public:
    doubling_server() { fixture.start(0); }

    /// Sends @a next and answers what is sent for it, in the transaction state @a after. The answer
    /// to a command of the kind @a doubled is kept.
    void run(const statement& next, command_kind doubled,
             transaction_state after = transaction_state::idle) {
        fixture.confirm_primary(++now_);
        fixture.send_statement(now_, next);
        answer_sent(doubled, after);
        fixture.answers();
    }
    void answer_sent(command_kind doubled, transaction_state after) {
        fixture.accept(++now_);
        for (auto sent = fixture.commands(); !sent.empty(); sent = fixture.commands()) {
            for (const auto& [id, command] : sent) {
                connection = id;
                const bool begins = command.kind == command_kind::begin;
                const auto state = begins ? transaction_state::open : after;
                const auto answer = answer_to(command, state, point(1, 10));
                if (command.kind == doubled) {
                    kept = answer;
                }
                fixture.reply(++now_, id, answer);
            }
        }
    }
    /// Sends @a next without an answer.
    /// @return the commands sent for it
    std::vector<backend_command> send(const statement& next) {
        fixture.confirm_primary(++now_);
        fixture.send_statement(now_, next);
        fixture.accept(++now_);
        return sent();
    }
    std::vector<backend_command> sent() {
        std::vector<backend_command> found;
        for (auto& [id, command] : fixture.commands()) {
            connection = id;
            found.push_back(std::move(command));
        }
        return found;
    }
    void reply(const statement_reply& answer) { fixture.reply(++now_, connection, answer); }

    session_fixture fixture{consistency_mode::primary};
    connection_id connection;
    statement_reply kept;

  private:
    int now_{1};
};

using scenario = std::function<void(doubling_server&)>;

const scenario after_read = [](doubling_server& s) {
    s.run(read_one(), command_kind::caller_text);
};
const scenario after_write = [](doubling_server& s) {
    s.run(write_one(), command_kind::caller_text);
};
void run_transaction(doubling_server& s, command_kind kept_kind, bool keep_commit) {
    s.run(begin_one(), command_kind::status);
    s.run(write_one(), kept_kind, transaction_state::open);
    s.run(commit_one(), keep_commit ? command_kind::caller_text : command_kind::status);
}
const scenario after_begin = [](doubling_server& s) {
    run_transaction(s, command_kind::begin, false);
};
const scenario after_commit = [](doubling_server& s) {
    run_transaction(s, command_kind::status, true);
};
const scenario after_statement_in_transaction = [](doubling_server& s) {
    run_transaction(s, command_kind::caller_text, false);
};
const scenario after_rollback = [](doubling_server& s) {
    s.run(begin_one(), command_kind::status);
    s.run(write_one(), command_kind::status, transaction_state::open);
    s.run(rollback_one(), command_kind::rollback);
};
const scenario after_set = [](doubling_server& s) {
    s.run(set_one(), command_kind::status);
    s.run(write_one(), command_kind::set);
};
const scenario after_prepare = [](doubling_server& s) {
    s.run(prepare_one(), command_kind::status);
    s.run(execute_one(), command_kind::prepare);
};

struct doubled_case {
    const char* name;
    scenario earlier;
    statement (*next)();
};

class DoubledReply : public ::testing::TestWithParam<doubled_case> {
  protected:
    void SetUp() override { GetParam().earlier(server); }
    doubling_server server;
};

/// Guards against a second answer that is taken for the answer to the next statement (issue 31).
TEST_P(DoubledReply, AfterTheNextStatementIsSentIsDropped) {
    ASSERT_EQ(server.send(GetParam().next()).size(), 1U);
    const auto own = success(transaction_state::idle, point(1, 11));
    server.reply(server.kept);
    EXPECT_TRUE(server.fixture.answers().empty());
    server.reply(own);
    const auto answers = server.fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().signature, own.signature);
    EXPECT_FALSE(server.fixture.backends.holds(server.connection));
}

/// Guards against later answers that are one behind after a second answer.
TEST_P(DoubledReply, WhileNothingIsPendingEndsTheConnection) {
    const auto used = server.connection;
    server.reply(server.kept);
    EXPECT_FALSE(server.fixture.backends.holds(used));
    ASSERT_EQ(server.send(GetParam().next()).size(), 1U);
    EXPECT_NE(server.connection, used);
}

INSTANTIATE_TEST_SUITE_P(
    DoubledReply, DoubledReply,
    ::testing::Values(doubled_case{"read_before_a_read", after_read, read_one},
                      doubled_case{"read_before_a_write", after_read, write_one},
                      doubled_case{"write_before_a_read", after_write, read_one},
                      doubled_case{"write_before_a_write", after_write, write_one},
                      doubled_case{"begin_before_a_write", after_begin, write_one},
                      doubled_case{"commit_before_a_write", after_commit, write_one},
                      doubled_case{"statement_in_a_transaction_before_a_write",
                                   after_statement_in_transaction, write_one},
                      doubled_case{"rollback_before_a_write", after_rollback, write_one},
                      doubled_case{"set_before_a_write", after_set, write_one},
                      doubled_case{"prepare_before_an_execute", after_prepare, execute_one}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a write that is committed on its own: its BEGIN failed, but was confirmed by the
/// second answer to the BEGIN of an earlier transaction.
TEST(DoubledBegin, DoesNotConfirmTheNextTransaction) {
    doubling_server server;
    after_begin(server);
    server.fixture.send_statement(100, begin_one());
    server.fixture.answers();
    ASSERT_EQ(server.send(write_one()).front().kind, command_kind::begin);
    const auto used = server.connection;
    server.reply(server.kept);
    EXPECT_TRUE(server.sent().empty());
    EXPECT_FALSE(server.fixture.backends.holds(used));
}

/// Guards against a write that runs twice: the second answer that it had not run was taken for the
/// answer to its second attempt.
TEST(DoubledError, OfAnEarlierAttemptLeavesAWriteUnknown) {
    doubling_server server;
    ASSERT_EQ(server.send(write_one()).size(), 1U);
    const auto busy = failure(statement_error::busy, transaction_state::idle);
    server.reply(busy);
    server.fixture.tick(100);
    server.fixture.accept(101);
    const auto used = server.connection;
    ASSERT_EQ(server.sent().size(), 1U);
    ASSERT_EQ(server.connection, used);
    server.reply(busy);
    server.fixture.tick(200);
    server.fixture.accept(201);
    EXPECT_TRUE(server.sent().empty());
    const auto answers = server.fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unknown_outcome);
}

/// Guards against a prepared name that runs an earlier statement because its prepare failed.
/// Guards against a reset within a transaction whose answer is taken for a foreign one.
TEST(ValidatedConnection, WriteAfterAPauseContinuesItsTransaction) {
    doubling_server server;
    server.run(begin_one(), command_kind::status);
    server.run(write_one(), command_kind::status, transaction_state::open);
    for (const auto position : {10U, 11U}) {
        const auto now = std::int64_t{2000} * position;
        server.fixture.confirm_primary(now, point(1, position));
        server.fixture.send_statement(now, write_one()); // Validated by a reset after the pause.
        ASSERT_EQ(server.sent().front().kind, command_kind::reset);
        server.fixture.reply(now + 1, server.connection,
                             done(transaction_state::open, point(1, position)));
        ASSERT_EQ(server.sent().size(), 1U);
        server.fixture.reply(now + 2, server.connection,
                             success(transaction_state::open, point(1, position)));
        const auto answers = server.fixture.answers();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().problem, statement_error::none);
    }
}

TEST(DoubledReset, PreparedNamesAreNotUsedAgain) {
    doubling_server server;
    server.run(prepare_one(), command_kind::status);
    const auto first = server.send(execute_one());
    ASSERT_EQ(first.size(), 1U);
    ASSERT_EQ(first.front().kind, command_kind::prepare);
    server.reply(done(transaction_state::idle, point(1, 10)));
    ASSERT_EQ(server.sent().size(), 1U);
    server.reply(success(transaction_state::idle, point(1, 11)));
    server.fixture.answers();
    server.fixture.confirm_primary(3000, point(1, 11));
    server.fixture.send_statement(3000, execute_one()); // Validated by a reset after the pause.
    const auto again = server.sent();
    ASSERT_EQ(again.size(), 2U);
    EXPECT_EQ(again[0].kind, command_kind::reset);
    EXPECT_NE(again[1].name, first.front().name);
}

} // namespace
} // namespace jackdawvane
