#include "jackdawvane/sessions/statement_executor.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const auto read_one = [] { return make_statement(statement_kind::read, "READ 1"); };
const auto write_one = [] { return make_statement(statement_kind::write, "WRITE 1 x"); };
const auto begin_one = [] { return make_statement(statement_kind::begin, "BEGIN"); };
const auto commit_one = [] { return make_statement(statement_kind::commit, "COMMIT"); };

class StatementExecutor : public ::testing::Test {
  protected:
    void SetUp() override {
        fixture.start(0);
        ASSERT_EQ(fixture.take<accept_session>().size(), 1U);
    }

    /// Opens a transaction that has written; returns its connection.
    connection_id open_written_transaction() {
        fixture.send_statement(1, begin_one());
        fixture.send_statement(2, write_one());
        fixture.accept(3);
        const auto begin = fixture.commands();
        EXPECT_EQ(begin.size(), 1U);
        EXPECT_EQ(begin.front().second.kind, command_kind::begin);
        const auto connection = begin.front().first;
        fixture.reply(4, connection, done(transaction_state::open, point(1, 10)));
        EXPECT_EQ(fixture.commands().size(), 1U);
        fixture.reply(5, connection, success(transaction_state::open, point(1, 10)));
        fixture.answers();
        return connection;
    }

    session_fixture fixture;
};

TEST_F(StatementExecutor, ReadGoesToAReplicaWithThePointOfTheStalenessBound) {
    fixture.send_statement(10, read_one());
    fixture.accept(11);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_NE(fixture.connected_servers[sent.front().first], backend_server_id{"p"});
    EXPECT_EQ(sent.front().second.after, point(1, 10));
    fixture.reply(20, sent.front().first, success(transaction_state::idle, point(1, 10)));
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::none);
}

TEST_F(StatementExecutor, ReadRefusedByALaggingReplicaIsSentToAnother) {
    fixture.send_statement(10, read_one());
    fixture.accept(11);
    const auto first = fixture.commands();
    fixture.reply(12, first.front().first,
                  failure(statement_error::lagging, transaction_state::idle));
    fixture.accept(13);
    const auto second = fixture.commands();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(fixture.connected_servers[second.front().first],
              fixture.connected_servers[first.front().first]);
    EXPECT_TRUE(fixture.answers().empty());
}

/// Guards against new statements for a server that is about to stop: a leaving server was used
/// until it stopped when no other was available.
TEST_F(StatementExecutor, LeavingServerGetsNoNewWorkAfterAFewSeconds) {
    std::vector<backend_registration> leaving;
    for (const char* name : {"p", "r1", "r2"}) {
        leaving.push_back(testing::registration(name));
        leaving.back().leaving = true;
    }
    fixture.state.directory.update(at(100), at(100), 2, leaving);
    fixture.confirm_primary(4500);
    fixture.send_statement(4500, read_one());
    fixture.accept(4501);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    fixture.reply(4502, sent.front().first, success(transaction_state::idle, point(1, 10)));
    fixture.confirm_primary(4700);
    fixture.send_statement(4700, read_one());
    fixture.accept(4701);
    EXPECT_TRUE(fixture.commands().empty());
    fixture.confirm_primary(5700);
    fixture.tick(5700); // The read is refused at its timeout.
    fixture.send_statement(5710, write_one());
    fixture.accept(5711);
    EXPECT_TRUE(fixture.commands().empty())
        << "a leaving primary must not get new statements either";
}

struct leaving_server_case {
    const char* name;
    int last_listed_staying; ///< Last read that did not list the server as leaving; -1 for none.
    bool sent;
};

class LeavingServerLearnedOfLate : public ::testing::TestWithParam<leaving_server_case> {};

/// Guards against measuring the time limit from the read that first lists a server as leaving: the
/// server may have begun to leave long before.
TEST_P(LeavingServerLearnedOfLate, GetsNewStatementsByItsLastReadAsNotLeaving) {
    constexpr int read_at = 20'000;
    session_fixture fixture;
    fixture.state.directory = backend_directory{};
    std::vector<backend_registration> list{registration("p")};
    if (GetParam().last_listed_staying >= 0) {
        fixture.state.directory.update(at(0), at(GetParam().last_listed_staying), 1, list);
    }
    list.front().leaving = true;
    fixture.state.directory.update(at(read_at), at(read_at), 2, list);
    fixture.start(read_at);
    fixture.confirm_primary(read_at);
    fixture.send_statement(read_at + 10, write_one());
    fixture.accept(read_at + 11);
    EXPECT_EQ(fixture.commands().size(), GetParam().sent ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(StatementExecutor, LeavingServerLearnedOfLate,
                         ::testing::Values(leaving_server_case{"known_before", 19'000, true},
                                           leaving_server_case{"list_was_old", 13'000, false},
                                           leaving_server_case{"first_list_of_this_vm", -1, false}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

// Guards against a read that waits for its timeout on a silent server while another is idle.
TEST_F(StatementExecutor, SilentReadIsAlsoSentElsewhere) {
    fixture.send_statement(10, read_one());
    fixture.accept(11);
    fixture.commands();
    fixture.tick(200);
    EXPECT_TRUE(fixture.commands().empty());
    fixture.confirm_primary(300);
    fixture.tick(345);
    fixture.accept(346);
    const auto second = fixture.commands();
    ASSERT_EQ(second.size(), 1U);
    fixture.reply(360, second.front().first, success(transaction_state::idle, point(1, 10)));
    EXPECT_EQ(fixture.answers().size(), 1U);
}

struct failed_attempt_case {
    const char* name;
    bool first_fails; ///< Whether the first of the two attempts fails, else the second one.
    statement_kind next;
};

class FailedAttempt : public ::testing::TestWithParam<failed_attempt_case> {};

/// Guards against an answer that reaches the wrong statement: when one of the two attempts of a
/// read failed, the read ended, and the late success of the other attempt answered the session's
/// next statement (review/1: a write was reported as done that no server had run).
TEST_P(FailedAttempt, LeavesTheReadToItsOtherAttempt) {
    session_fixture fixture;
    fixture.start(0);
    const auto attempts = fixture.send_read_twice(10, read_one());
    const auto next = GetParam().next == statement_kind::write ? write_one() : read_one();
    fixture.send_statement(365, next);
    fixture.answers();
    const auto failing = GetParam().first_fails ? attempts.first : attempts.second;
    const auto succeeding = GetParam().first_fails ? attempts.second : attempts.first;
    fixture.reply(370, failing, failure(statement_error::failed, transaction_state::idle));
    EXPECT_TRUE(fixture.answers().empty());
    fixture.confirm_primary(379);
    auto late = success(transaction_state::idle, point(1, 10));
    late.signature = "late";
    fixture.reply(380, succeeding, late);
    const auto first = fixture.answers();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().signature, "late");
    fixture.accept(381);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().second.value, next.text);
    const auto own = success(transaction_state::idle, point(1, 11));
    fixture.reply(390, sent.front().first, own);
    const auto second = fixture.answers();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().signature, own.signature);
}

INSTANTIATE_TEST_SUITE_P(
    StatementExecutor, FailedAttempt,
    ::testing::Values(failed_attempt_case{"second_before_a_read", false, statement_kind::read},
                      failed_attempt_case{"second_before_a_write", false, statement_kind::write},
                      failed_attempt_case{"first_before_a_read", true, statement_kind::read},
                      failed_attempt_case{"first_before_a_write", true, statement_kind::write}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a read that never ends because each of its attempts waits for the other.
TEST_F(StatementExecutor, ReadFailsOnceBothAttemptsHaveFailed) {
    const auto attempts = fixture.send_read_twice(10, read_one());
    const auto failed = failure(statement_error::failed, transaction_state::idle);
    fixture.reply(370, attempts.second, failed);
    EXPECT_TRUE(fixture.answers().empty());
    fixture.reply(380, attempts.first, failed);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::failed);
}

// Without evidence of the leadership, a write could be acknowledged by a replaced primary.
TEST_F(StatementExecutor, WriteWaitsForProofAndIsRefusedAsNotRun) {
    fixture.send_statement(900, write_one());
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
    fixture.tick(1850);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::busy);
    EXPECT_NE(answers.front().detail.find("retry_after_ms"), std::string::npos);
}

// kdrp-vane inc-23ab: writes sent to a partitioned primary timed out with an unknown outcome.
TEST_F(StatementExecutor, WriteIsNotSentToASilentPrimary) {
    fixture.state.leadership(group_id{"g"})
        .on_status(at(790), at(790), backend_server_id{"r1"}, replica_status(1, point(1, 10)));
    fixture.send_statement(800, write_one());
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
    fixture.confirm_primary(810);
    fixture.tick(820);
    EXPECT_EQ(fixture.take<open_server_connection>().size(), 1U);
}

// Without these ages, the logs do not show the cause of a refusal.
TEST_F(StatementExecutor, RefusalLogsTheAgeOfTheConfirmation) {
    fixture.send_statement(900, write_one());
    fixture.tick(1850);
    std::string text;
    for (const auto& each : fixture.out.common) {
        if (const auto* line = std::get_if<log_record>(&each)) {
            text += line->text;
        }
    }
    EXPECT_NE(text.find("proof_age_ms=1850 primary_age_ms=1850"), std::string::npos) << text;
}

TEST_F(StatementExecutor, WriteOnALostConnectionIsUnknownAndNotSentAgain) {
    fixture.send_statement(1, write_one());
    fixture.accept(2);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    fixture.lose(3, sent.front().first);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unknown_outcome);
    fixture.tick(50);
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
}

// If a connection is lost while it opens, it is not known whether a write sent on it has run.
TEST_F(StatementExecutor, WriteIsNotSentBeforeItsConnectionIsOpen) {
    fixture.send_statement(1, write_one());
    EXPECT_TRUE(fixture.commands().empty());
    fixture.accept(2);
    EXPECT_EQ(fixture.commands().size(), 1U);
}

// An answer that arrives after the evidence has expired may come from a replaced primary.
TEST_F(StatementExecutor, LateWriteAnswerWaitsForProof) {
    fixture.send_statement(1, write_one());
    fixture.accept(2);
    const auto connection = fixture.commands().front().first;
    fixture.reply(850, connection, success(transaction_state::idle, point(1, 11)));
    EXPECT_TRUE(fixture.answers().empty());
    fixture.confirm_primary(900, point(1, 11));
    fixture.tick(910);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::none);
}

TEST_F(StatementExecutor, LateWriteAnswerOfAReplacedPrimaryIsUnknown) {
    fixture.send_statement(1, write_one());
    fixture.accept(2);
    const auto connection = fixture.commands().front().first;
    fixture.reply(850, connection, success(transaction_state::idle, point(1, 11)));
    fixture.state.leadership(group_id{"g"})
        .on_status(at(900), at(900), backend_server_id{"r1"}, primary_status(2, point(1, 10)));
    fixture.tick(910);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unknown_outcome);
}

// kdrp-vane scale-1 violated PINNED: the statement after a lost transaction ran outside of it.
TEST_F(StatementExecutor, StatementAfterTheLossOfItsTransactionIsAborted) {
    const auto connection = open_written_transaction();
    fixture.lose(10, connection);
    fixture.send_statement(20, read_one());
    EXPECT_TRUE(fixture.commands().empty());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::aborted);
    EXPECT_EQ(answers.front().state, transaction_state::failed);
}

TEST_F(StatementExecutor, CommitThatWasNotSentIsAborted) {
    const auto connection = open_written_transaction();
    fixture.lose(10, connection);
    fixture.send_statement(20, commit_one());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::aborted);
    EXPECT_EQ(answers.front().state, transaction_state::idle);
}

TEST_F(StatementExecutor, CommitWithoutAnAnswerIsUnknown) {
    const auto connection = open_written_transaction();
    fixture.send_statement(20, commit_one());
    ASSERT_EQ(fixture.commands().size(), 1U);
    fixture.lose(21, connection);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unknown_outcome);
}

// When BEGIN fails, the statement after it would run outside of a transaction.
TEST_F(StatementExecutor, StatementIsNotSentWhenItsTransactionDoesNotOpen) {
    fixture.send_statement(1, begin_one());
    fixture.send_statement(2, write_one());
    fixture.accept(3);
    const auto connection = fixture.commands().front().first;
    fixture.reply(4, connection, failure(statement_error::read_only, transaction_state::idle));
    for (const auto& [id, command] : fixture.commands()) {
        EXPECT_NE(command.value, "WRITE 1 x");
    }
}

TEST_F(StatementExecutor, CommitOfAFailedTransactionIsNoSuccess) {
    const auto connection = open_written_transaction();
    fixture.send_statement(10, read_one());
    fixture.commands();
    fixture.reply(11, connection, failure(statement_error::failed, transaction_state::failed));
    fixture.send_statement(12, commit_one());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers.back().problem, statement_error::aborted);
    EXPECT_EQ(answers.back().state, transaction_state::idle);
}

TEST_F(StatementExecutor, IdleTransactionIsRolledBack) {
    open_written_transaction();
    fixture.tick(3100);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().second.kind, command_kind::rollback);
}

TEST_F(StatementExecutor, WithdrawnKeyIsRefusedAtTheNextOperation) {
    auto newer = session_configuration();
    newer->keys.clear();
    fixture.state.configuration = newer;
    fixture.send_statement(10, read_one());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::unauthorised);
}

TEST_F(StatementExecutor, OperationOverTheRateIsRefusedAsNotRun) {
    fixture.limits.state = admission_state::refused;
    fixture.send_statement(10, read_one());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::busy);
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
}

/// Guards against large statements that wait in the session; only their number was limited.
TEST_F(StatementExecutor, QueuedStatementsAreLimitedInBytes) {
    auto large = read_one();
    large.text = std::string(std::size_t{1024} * 1024, 'x');
    for (const int time : {1, 2, 3}) {
        fixture.send_statement(time, large);
    }
    const auto rejected = fixture.take<reject_session>();
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected.front().problem, statement_error::too_large);
}

/// Guards against sessions that keep any number of values while they are open.
TEST_F(StatementExecutor, ValuesBeyondTheLimitOfAllSessionsAreRefused) {
    auto set = make_statement(statement_kind::set, "SET");
    set.value = std::string(1000 * 1000, 'x');
    const auto fitting = executor_settings{}.state_bytes / (set.value.size() + 1);
    for (std::size_t number = 0; number <= fitting; ++number) {
        set.name = std::string(1, static_cast<char>('a' + number));
        fixture.send_statement(1, set);
        EXPECT_EQ(fixture.answers().back().problem,
                  number < fitting ? statement_error::none : statement_error::busy);
    }
    set.name = "a";
    set.value.resize(10);
    fixture.send_statement(2, set);
    EXPECT_EQ(fixture.answers().back().problem, statement_error::none);
}

/// Guards against a second start that replaces a session which has a statement in progress.
TEST_F(StatementExecutor, SecondStartEndsTheSession) {
    fixture.send_statement(1, read_one());
    fixture.start(2);
    ASSERT_EQ(fixture.take<reject_session>().size(), 1U);
    EXPECT_EQ(fixture.executor.sessions(), 0U);
}

struct rejection_case {
    const char* name;
    const char* key;
    const char* database;
    statement_error expected;
};

class Rejection : public ::testing::TestWithParam<rejection_case> {};

TEST_P(Rejection, NamesItsReason) {
    session_fixture fixture;
    fixture.start(0, GetParam().key, GetParam().database);
    const auto rejected = fixture.take<reject_session>();
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected.front().problem, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(StatementExecutor, Rejection,
                         ::testing::Values(rejection_case{"unknown_key", "other", "db",
                                                          statement_error::unauthorised},
                                           rejection_case{"unknown_database", "k", "other",
                                                          statement_error::unknown_database}),
                         [](const auto& each) { return each.param.name; });

// Callers that connect right after a restart would exhaust their retries on rejections.
TEST(StatementExecutorStart, SessionWaitsForTheFirstConfiguration) {
    session_fixture fixture;
    fixture.state.configuration = nullptr;
    fixture.start(0);
    EXPECT_TRUE(fixture.take<reject_session>().empty());
    fixture.state.configuration = session_configuration();
    fixture.tick(100);
    EXPECT_EQ(fixture.take<accept_session>().size(), 1U);
}

TEST(StatementExecutorStart, SessionIsRefusedBeforeTheCallerGivesUp) {
    session_fixture fixture;
    fixture.state.configuration = nullptr;
    fixture.start(0);
    fixture.tick(1700);
    const auto rejected = fixture.take<reject_session>();
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected.front().problem, statement_error::busy);
}

// kdrp-vane scale-1 --seed 939875511361 violated PINNED: `continues_transaction` was not passed
// between two VMs, so a statement of a lost transaction ran on a new connection.
TEST(ForwardedStatement, KeepsEveryFieldBetweenVms) {
    forwarded_statement sent;
    sent.lease = connection_id{1};
    sent.attempt = attempt_id{2};
    sent.writes = true;
    sent.continues_transaction = true;
    sent.prepared = prepared_statement{access_mode::write, "q"};
    sent.begin.emplace();
    sent.begin->after = point(3, 4);
    const auto decoded = decode_peer_message(forwarded_statement::method, to_json(sent));
    ASSERT_TRUE(decoded);
    const auto& received = std::get<forwarded_statement>(decoded.value());
    EXPECT_TRUE(received.continues_transaction);
    EXPECT_TRUE(received.writes);
    EXPECT_EQ(received.prepared, sent.prepared);
    EXPECT_EQ(received.begin->after, sent.begin->after);
    EXPECT_EQ(to_json(received), to_json(sent));
}

} // namespace
} // namespace jackdawvane
