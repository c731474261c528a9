#include "jackdawvane/sessions/statement_executor.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

// Times after the stop signal with the default settings, in milliseconds.
constexpr int sessions_end_at = 2300;
constexpr int operations_end_at = 3000;
constexpr int exit_at = 4800;

const auto read_one = [] { return make_statement(statement_kind::read, "READ 1"); };
const auto write_one = [] { return make_statement(statement_kind::write, "WRITE 1 x"); };
const auto begin_one = [] { return make_statement(statement_kind::begin, "BEGIN"); };
const auto commit_one = [] { return make_statement(statement_kind::commit, "COMMIT"); };
const auto rollback_one = [] { return make_statement(statement_kind::rollback, "ROLLBACK"); };

/// A session at a VM that got the stop signal at time 0.
class StatementShutdown : public ::testing::Test {
  protected:
    void SetUp() override {
        fixture.start(0);
        fixture.take<accept_session>();
        fixture.executor.leave(at(0));
    }

    /// Sends a statement for which the primary is proved, and accepts its connection.
    void send(int milliseconds, const statement& next) {
        fixture.confirm_primary(milliseconds);
        fixture.send_statement(milliseconds, next);
        fixture.accept(milliseconds);
    }
    /// Replies to all commands that were sent to servers since the last call.
    void reply_to_all(int milliseconds, transaction_state state) {
        fixture.confirm_primary(milliseconds);
        for (const auto& [connection, command] : fixture.commands()) {
            fixture.reply(milliseconds, connection, answer_to(command, state, point(1, 10)));
        }
    }
    /// Opens a transaction with a write that is answered.
    void open_transaction(int milliseconds) {
        send(milliseconds, begin_one());
        send(milliseconds + 1, write_one());
        reply_to_all(milliseconds + 2, transaction_state::open); // BEGIN
        reply_to_all(milliseconds + 3, transaction_state::open);
        fixture.answers();
    }
    bool session_has_ended() { return !fixture.take<end_session>().empty(); }

    session_fixture fixture;
};

/// Guards against a caller that sends statements in series, which is never seen idle: it went on
/// until the process ended and cut its last statement (review/3).
TEST_F(StatementShutdown, SessionEndsWithTheAnswerOnceTheLoadBalancerKnows) {
    send(sessions_end_at - 200, read_one());
    reply_to_all(sessions_end_at - 100, transaction_state::idle);
    EXPECT_EQ(fixture.answers().size(), 1U);
    EXPECT_FALSE(session_has_ended());
    send(sessions_end_at - 95, read_one());
    fixture.tick(sessions_end_at);
    EXPECT_FALSE(session_has_ended()) << "a statement is running";
    reply_to_all(sessions_end_at + 15, transaction_state::idle);
    EXPECT_EQ(fixture.answers().size(), 1U);
    EXPECT_TRUE(session_has_ended());
    EXPECT_TRUE(fixture.executor.left(at(sessions_end_at + 15)));
}

/// Guards against a session that ends while statements that were received with the answered one
/// have no answer.
TEST_F(StatementShutdown, QueuedStatementsAreAnsweredBeforeTheSessionEnds) {
    send(sessions_end_at, read_one());
    fixture.send_statement(sessions_end_at + 1, read_one());
    reply_to_all(sessions_end_at + 10, transaction_state::idle);
    EXPECT_FALSE(session_has_ended());
    fixture.accept(sessions_end_at + 11);
    reply_to_all(sessions_end_at + 20, transaction_state::idle);
    EXPECT_EQ(fixture.answers().size(), 2U);
    EXPECT_TRUE(session_has_ended());
}

TEST_F(StatementShutdown, SessionEndsAfterItsRollback) {
    open_transaction(sessions_end_at);
    EXPECT_FALSE(session_has_ended()) << "the transaction is open";
    fixture.send_statement(sessions_end_at + 10, rollback_one());
    EXPECT_EQ(fixture.answers().size(), 1U);
    EXPECT_TRUE(session_has_ended());
}

struct late_operation {
    const char* name;
    statement (*next)();
    bool in_transaction;
    statement_error expected; ///< `none`: it is sent to a server.
};

class LateOperation : public StatementShutdown,
                      public ::testing::WithParamInterface<late_operation> {};

/// Guards against operations that begin too late to end before the process does.
TEST_P(LateOperation, IsRefusedAsNotRunUnlessItCommits) {
    if (GetParam().in_transaction) {
        open_transaction(operations_end_at - 10);
    }
    send(operations_end_at, GetParam().next());
    const auto answers = fixture.answers();
    if (GetParam().expected == statement_error::none) {
        EXPECT_TRUE(answers.empty());
        reply_to_all(operations_end_at + 5, transaction_state::idle);
        ASSERT_EQ(fixture.answers().size(), 1U);
    } else {
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().problem, GetParam().expected);
        for (const auto& [connection, command] : fixture.commands()) {
            EXPECT_EQ(command.kind, command_kind::rollback);
        }
    }
    EXPECT_TRUE(session_has_ended());
}

INSTANTIATE_TEST_SUITE_P(
    StatementShutdown, LateOperation,
    ::testing::Values(late_operation{"read", read_one, false, statement_error::busy},
                      late_operation{"write", write_one, false, statement_error::busy},
                      late_operation{"begin", begin_one, false, statement_error::busy},
                      late_operation{"read_in_transaction", read_one, true,
                                     statement_error::aborted},
                      late_operation{"commit", commit_one, true, statement_error::none}),
    [](const auto& tested) { return std::string{tested.param.name}; });

struct unanswered_statement {
    const char* name;
    void (*prepare)(session_fixture& fixture);
    statement_error expected;
};

class UnansweredAtExit : public StatementShutdown,
                         public ::testing::WithParamInterface<unanswered_statement> {};

/// Guards against an exit that cuts statements: callers get the final answer of each, and "not run"
/// only for those that no server has got (review/3).
TEST_P(UnansweredAtExit, GetsItsFinalAnswer) {
    auto newer = session_configuration();
    newer->routes[route_name{"db"}].deadline_ms = 10'000;
    newer->routes[route_name{"db"}].transaction_idle_ms = 10'000;
    fixture.state.configuration = newer;
    GetParam().prepare(fixture);
    fixture.answers();
    fixture.take<end_session>();
    fixture.confirm_primary(exit_at - 100);
    fixture.tick(exit_at - 50);
    EXPECT_TRUE(fixture.answers().empty());
    EXPECT_FALSE(fixture.executor.left(at(exit_at - 50)));
    fixture.tick(exit_at);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, GetParam().expected);
    EXPECT_TRUE(session_has_ended());
    EXPECT_TRUE(fixture.executor.left(at(exit_at)));
}

void send_accepted(session_fixture& fixture, int milliseconds, const statement& next) {
    fixture.confirm_primary(milliseconds);
    fixture.send_statement(milliseconds, next);
    fixture.accept(milliseconds);
}

void open_and_send(session_fixture& fixture, const statement& next) {
    send_accepted(fixture, 2900, begin_one());
    send_accepted(fixture, 2901, write_one());
    for (int i = 0; i < 2; ++i) {
        for (const auto& [connection, command] : fixture.commands()) {
            fixture.reply(2902 + i, connection,
                          answer_to(command, transaction_state::open, point(1, 10)));
        }
    }
    send_accepted(fixture, 2910, next);
}

INSTANTIATE_TEST_SUITE_P(
    StatementShutdown, UnansweredAtExit,
    ::testing::Values(
        unanswered_statement{"running_write",
                             [](session_fixture& f) { send_accepted(f, 2900, write_one()); },
                             statement_error::unknown_outcome},
        unanswered_statement{"running_read",
                             [](session_fixture& f) { send_accepted(f, 2900, read_one()); },
                             statement_error::timeout},
        unanswered_statement{"read_in_transaction",
                             [](session_fixture& f) { open_and_send(f, read_one()); },
                             statement_error::aborted},
        unanswered_statement{"commit", [](session_fixture& f) { open_and_send(f, commit_one()); },
                             statement_error::unknown_outcome},
        unanswered_statement{"waits_for_the_rate",
                             [](session_fixture& f) {
                                 f.limits.state = admission_state::pending;
                                 f.send_statement(2900, write_one());
                             },
                             statement_error::busy},
        unanswered_statement{"waits_for_a_server",
                             [](session_fixture& f) {
                                 f.state.directory = backend_directory{};
                                 f.send_statement(2900, write_one());
                             },
                             statement_error::busy}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a commit that waits for its confirmation while the process ends.
TEST_F(StatementShutdown, UnconfirmedCommitIsUnknownAtExit) {
    auto newer = session_configuration();
    newer->routes[route_name{"db"}].deadline_ms = 10'000;
    fixture.state.configuration = newer;
    send(2900, write_one());
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    fixture.reply(exit_at - 100, sent.front().first,
                  success(transaction_state::idle, point(1, 11)));
    EXPECT_TRUE(fixture.answers().empty());
    fixture.tick(exit_at);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unknown_outcome);
    EXPECT_TRUE(session_has_ended());
}

/// Guards against an exit that leaves queued statements of a session without an answer.
TEST_F(StatementShutdown, QueuedStatementsAreAnsweredAtExit) {
    auto newer = session_configuration();
    newer->routes[route_name{"db"}].deadline_ms = 10'000;
    fixture.state.configuration = newer;
    send(2900, write_one());
    fixture.send_statement(2901, write_one());
    fixture.send_statement(2902, read_one());
    fixture.tick(exit_at);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_EQ(answers[0].problem, statement_error::unknown_outcome);
    EXPECT_EQ(answers[1].problem, statement_error::busy);
    EXPECT_EQ(answers[2].problem, statement_error::busy);
    EXPECT_TRUE(session_has_ended());
}

/// Guards against a session without an answer to its start, when no configuration is known.
TEST(StatementShutdownStart, SessionThatWaitsForTheConfigurationIsRejectedAtExit) {
    session_fixture fixture;
    fixture.state.configuration = nullptr;
    fixture.executor.leave(at(0));
    fixture.start(exit_at - 100);
    fixture.tick(exit_at);
    EXPECT_EQ(fixture.take<reject_session>().size(), 1U);
    EXPECT_TRUE(fixture.executor.left(at(exit_at)));
}

} // namespace
} // namespace jackdawvane
