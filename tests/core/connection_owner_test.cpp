#include "jackdawvane/sessions/connection_owner.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

TEST(ConnectionOwner, DoesNotRunTheRestOfALostTransaction) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.lease = connection_id{1000};
    statement.attempt = attempt_id{1000};
    statement.backend = backend_server_id{"p"};
    statement.continues_transaction = true;
    fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_FALSE(results.front().result.answered);
    EXPECT_FALSE(results.front().result.sent);
}

// Guards against a statement that runs when its owner VM resumes after a pause, seconds after its
// entry VM has retried it elsewhere: the first statement of a transaction then ran on two
// connections (soak seed 1).
TEST(ConnectionOwner, GivesBackAsNotRunWhatArrivedDuringAPause) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    fixture.owner.paused(at(5000));
    fixture.owner.submit(at(5001), vm_id{"b"}, statement, fixture.out);
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().result.reply.problem, statement_error::busy);
    EXPECT_FALSE(results.front().result.sent);
    fixture.owner.submit(at(5300), vm_id{"b"}, statement, fixture.out);
    EXPECT_FALSE(fixture.take<open_server_connection>().empty());
}

// Guards against reads that ask a lagging server again and again, each time on a new connection.
TEST(ConnectionOwner, RefusesReadsAtAServerThatHasJustLagged) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.lease = connection_id{1000};
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    statement.main.after = point(1, 9);
    fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    fixture.accept(2);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    statement_reply lagging;
    lagging.problem = statement_error::lagging;
    lagging.position = point(1, 5);
    fixture.reply(3, sent.front().first, lagging);
    fixture.owner.settle(at(3), fixture.out);
    static_cast<void>(fixture.owner.take_results());

    statement.lease = connection_id{1001};
    fixture.owner.submit(at(10), vm_id{"b"}, statement, fixture.out);
    const auto refused = fixture.owner.take_results();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().result.reply.problem, statement_error::lagging);
    EXPECT_FALSE(refused.front().result.sent);

    statement.lease = connection_id{1002};
    statement.main.after = point(1, 5);
    fixture.owner.submit(at(11), vm_id{"b"}, statement, fixture.out);
    EXPECT_TRUE(fixture.owner.take_results().empty());

    statement.lease = connection_id{1003};
    statement.main.after = point(1, 9);
    fixture.owner.submit(at(40), vm_id{"b"}, statement, fixture.out);
    EXPECT_TRUE(fixture.owner.take_results().empty());
}

// Guards against entry VMs that choose a server without knowing the load of the other VMs.
TEST(ConnectionOwner, ReportsTheLoadOfTheServerWithEachResult) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    statement.lease = connection_id{1000};
    fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    fixture.accept(2);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    statement.lease = connection_id{1001};
    fixture.owner.submit(at(3), vm_id{"c"}, statement, fixture.out);
    fixture.backends.on_reply(
        at(13), {sent.front().first, success(transaction_state::idle, point(1, 10)), {}},
        fixture.out);
    fixture.owner.settle(at(13), fixture.out);
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    ASSERT_TRUE(results.front().result.load);
    const auto& load = *results.front().result.load;
    EXPECT_EQ(load.running, 1U);
    EXPECT_EQ(load.waiting, 0U);
    EXPECT_EQ(load.service_time, std::chrono::milliseconds{12});
}

// Guards against a statement that is delayed by a network partition and runs when the partition
// ends, seconds after its entry VM has retried it elsewhere.
TEST(ConnectionOwner, EndsConnectionsWhoseStatementIsGivenUp) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    statement.begin.emplace();
    std::vector<connection_id> connections;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        statement.lease = connection_id{100 + number};
        fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
        connections.push_back(fixture.take<open_server_connection>().front().connection);
        fixture.backends.on_ready(at(5), {connections.back(), {}}, fixture.out);
    }
    EXPECT_EQ(fixture.commands().size(), 2U);
    fixture.backends.tick(at(990), fixture.out);
    EXPECT_TRUE(fixture.take<close_server_connection>().empty());
    fixture.backends.on_reply(
        at(1001), {connections[0], done(transaction_state::open, point(1, 10)), {}}, fixture.out);
    fixture.backends.tick(at(1200), fixture.out);
    EXPECT_TRUE(fixture.commands().empty()) << "the transaction's statement was sent";
    EXPECT_EQ(fixture.take<close_server_connection>().size(), 2U);
    fixture.owner.settle(at(1200), fixture.out);
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_TRUE(std::none_of(results.begin(), results.end(),
                             [](const auto& each) { return each.result.answered; }));
}

// Guards against a lost transaction whose next statement is reported as refused: its session would
// stay in the transaction.
TEST(ConnectionOwner, TellsTheLossOfATransactionDuringAPause) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.continues_transaction = true;
    fixture.owner.paused(at(5000));
    fixture.owner.submit(at(5001), vm_id{"b"}, statement, fixture.out);
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_FALSE(results.front().result.answered);
}

// Guards against starvation: one organisation sends many statements at once, and the first
// statement of another one must not wait behind all of them.
TEST(ConnectionOwner, ServesOrganisationsInTurn) {
    session_fixture fixture;
    const auto submit = [&](const char* organisation, std::uint64_t number) {
        forwarded_statement statement;
        statement.lease = connection_id{1000 + number};
        statement.attempt = attempt_id{1000 + number};
        statement.backend = backend_server_id{"r1"};
        statement.organisation = organisation_id{organisation};
        statement.main.value = organisation;
        statement.remaining = std::chrono::seconds{1};
        fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    };
    for (std::uint64_t i = 0; i < 12; ++i) {
        submit("busy", i);
    }
    submit("quiet", 50);
    fixture.accept(2);
    const auto running = fixture.commands();
    ASSERT_EQ(running.size(), 4U); // Concurrency limit: two statements per slot.
    fixture.reply(3, running.front().first, success(transaction_state::idle, point(1, 10)));
    fixture.owner.release(at(3), vm_id{"b"}, {connection_id{1000}, {}, false, false}, fixture.out);
    fixture.reply(4, running[1].first, success(transaction_state::idle, point(1, 10)));
    fixture.accept(5);
    bool quiet_served = false;
    for (const auto& [connection, command] : fixture.commands()) {
        quiet_served = quiet_served || command.value == "quiet";
    }
    EXPECT_TRUE(quiet_served);
}

// Guards against a VM that stops while it runs statements for other VMs.
TEST(ConnectionOwner, IsBusyUntilItsStatementsAreAnsweredOrGivenUp) {
    session_fixture fixture;
    const auto submit = [&](std::uint64_t number) {
        forwarded_statement statement;
        statement.lease = connection_id{1000 + number};
        statement.attempt = attempt_id{1000 + number};
        statement.backend = backend_server_id{"r1"};
        statement.organisation = organisation_id{"o"};
        statement.remaining = std::chrono::seconds{1};
        fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    };
    EXPECT_FALSE(fixture.owner.busy());
    submit(1);
    submit(2);
    fixture.accept(2);
    const auto running = fixture.commands();
    ASSERT_EQ(running.size(), 2U);
    EXPECT_TRUE(fixture.owner.busy());
    fixture.reply(3, running.front().first, success(transaction_state::idle, point(1, 10)));
    EXPECT_TRUE(fixture.owner.busy());
    fixture.owner.release(at(4), vm_id{"b"}, {connection_id{1002}, {}, false, true}, fixture.out);
    EXPECT_FALSE(fixture.owner.busy());
}

/// Guards against statements of a VM that is taken for lost: it may have retried them elsewhere.
TEST(ConnectionOwner, DoesNotRunQueuedStatementsOfALostVm) {
    session_fixture fixture;
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    for (const char* entry : {"b", "b", "b", "b", "c", "c", "b"}) { // Four of them run at once.
        statement.lease = connection_id{statement.lease.value() + 1};
        statement.main.value = entry;
        fixture.owner.submit(at(1), vm_id{entry}, statement, fixture.out);
    }
    fixture.accept(2);
    ASSERT_EQ(fixture.commands().size(), 4U);
    fixture.owner.forget(vm_id{"c"}, fixture.out);
    fixture.owner.forget(vm_id{"b"}, fixture.out);
    fixture.owner.settle(at(3), fixture.out);
    fixture.accept(4);
    EXPECT_TRUE(fixture.commands().empty());
    EXPECT_FALSE(fixture.owner.busy());
    EXPECT_EQ(fixture.owner.statements_running(), 0U);
}

struct abandoned_statement_case {
    const char* name;
    bool queued; ///< Whether it still waits for a slot, else it runs.
    bool discard;
    std::size_t results; ///< Results for its entry VM, which do not say that it was sent.
};

class AbandonedStatement : public ::testing::TestWithParam<abandoned_statement_case> {};

/// Guards against a statement that outlives the one that its caller has given up: a queued one
/// still ran, and its connection stayed leased for seconds; a running one was kept in memory for
/// good.
TEST_P(AbandonedStatement, IsForgottenByItsOwner) {
    session_fixture fixture;
    constexpr std::uint64_t concurrency = 4; // Two statements per slot.
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{1};
    for (std::uint64_t number = 1; number <= concurrency + 1; ++number) {
        statement.lease = connection_id{1000 + number};
        statement.attempt = attempt_id{1000 + number};
        statement.main.value = "statement " + std::to_string(number);
        fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    }
    fixture.accept(2);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), concurrency);
    const auto abandoned = 1000 + (GetParam().queued ? concurrency + 1 : 1);
    fixture.owner.release(at(3), vm_id{"b"},
                          {connection_id{abandoned}, statement.backend, false, GetParam().discard},
                          fixture.out);
    const auto results = fixture.owner.take_results();
    EXPECT_EQ(results.size(), GetParam().results);
    for (const auto& each : results) {
        EXPECT_EQ(each.result.attempt, attempt_id{abandoned});
        EXPECT_FALSE(each.result.answered || each.result.sent || each.result.unreachable);
    }
    fixture.backends.on_reply(
        at(4), {sent.back().first, success(transaction_state::idle, point(1, 10)), {}},
        fixture.out);
    fixture.owner.settle(at(4), fixture.out);
    fixture.accept(5);
    const auto next = fixture.commands();
    EXPECT_EQ(next.size(), GetParam().queued ? 0U : 1U);
    EXPECT_EQ(fixture.owner.statements_running(), concurrency - 1);
}

INSTANTIATE_TEST_SUITE_P(
    ConnectionOwner, AbandonedStatement,
    ::testing::Values(abandoned_statement_case{"queued", true, false, 1},
                      abandoned_statement_case{"queued_discarded", true, true, 0},
                      abandoned_statement_case{"running_discarded", false, true, 0}),
    [](const auto& tested) { return std::string{tested.param.name}; });

TEST(ConnectionOwner, GivesBackAsNotRunWhatDoesNotStartInTime) {
    session_fixture fixture;
    for (std::uint64_t i = 0; i < 6; ++i) {
        forwarded_statement statement;
        statement.lease = connection_id{1000 + i};
        statement.attempt = attempt_id{1000 + i};
        statement.backend = backend_server_id{"r1"};
        statement.organisation = organisation_id{"o"};
        statement.remaining = std::chrono::seconds{1};
        fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    }
    fixture.accept(2);
    fixture.owner.settle(at(300), fixture.out);
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 2U);
    for (const auto& each : results) {
        EXPECT_EQ(each.result.reply.problem, statement_error::busy);
        EXPECT_FALSE(each.result.sent);
    }
}

} // namespace
} // namespace jackdawvane
