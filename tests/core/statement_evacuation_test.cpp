#include "jackdawvane/sessions/statement_executor.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const auto read_one = [] { return make_statement(statement_kind::read, "READ 1"); };
const auto write_one = [] { return make_statement(statement_kind::write, "WRITE 1 x"); };

/// Server `p` is the primary and in `d1`, `r1` is in `d2` and `r2` in `d3`. The bound is 5 s, and
/// no request is sent in its last second.
class StatementEvacuation : public ::testing::Test {
  protected:
    void SetUp() override {
        std::vector<backend_registration> servers;
        for (const auto& [name, domain] : {std::pair{"p", "d1"}, {"r1", "d2"}, {"r2", "d3"}}) {
            servers.push_back(registration(name));
            servers.back().domain = failure_domain_id{domain};
            fixture.state.regions[failure_domain_id{domain}] = region_id{"r"};
        }
        fixture.state.directory.update(at(0), at(0), 2, servers);
        fixture.state.evacuations =
            evacuation_list{{std::chrono::seconds{5}, std::chrono::seconds{1}}};
        evacuate(0, {});
        fixture.start(0);
    }

    void evacuate(std::int64_t milliseconds, const std::vector<const char*>& domains) {
        evacuated_domains list{++version, {}};
        for (const auto* domain : domains) {
            list.domains.emplace_back(domain);
        }
        fixture.state.evacuations.update(at(milliseconds), list);
        ++list.version; // An evacuation ends with the second list without it.
        ++version;
        fixture.state.evacuations.update(at(milliseconds), list);
    }
    /// Sends @a next and returns the servers that got a command for it.
    std::vector<std::string> send(std::int64_t milliseconds, statement next) {
        fixture.confirm_primary(milliseconds);
        fixture.send_statement(milliseconds, std::move(next));
        fixture.accept(milliseconds);
        std::vector<std::string> servers;
        for (const auto& [connection, command] : fixture.commands()) {
            servers.push_back(fixture.connected_servers[connection].str());
            used.push_back(connection);
        }
        return servers;
    }
    void expect_refused_at_once() {
        const auto answers = fixture.answers();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().problem, statement_error::busy);
        EXPECT_NE(answers.front().detail.find("retry_after_ms="), std::string::npos);
    }

    session_fixture fixture;
    std::uint64_t version{0};
    std::vector<connection_id> used;
};

TEST_F(StatementEvacuation, ReadsAvoidTheDomainAtOnce) {
    evacuate(100, {"d2"});
    EXPECT_EQ(send(110, read_one()), (std::vector<std::string>{"r2"}));
    fixture.reply(111, used.back(), success(transaction_state::idle, point(1, 10)));
    evacuate(200, {"d3"});
    EXPECT_EQ(send(210, read_one()), (std::vector<std::string>{"r1"}));
}

/// Guards against a read that is not repeated once the servers outside have refused it, because the
/// excluded one has not been tried.
TEST_F(StatementEvacuation, ReadIsTriedAgainWhenAllServersOutsideWereBusy) {
    evacuate(100, {"d2"});
    const auto busy = failure(statement_error::busy, transaction_state::idle);
    EXPECT_EQ(send(110, read_one()).size(), 1U);
    fixture.reply(111, used.back(), busy);
    fixture.accept(111);
    const auto second = fixture.commands();
    ASSERT_EQ(second.size(), 1U);
    fixture.reply(112, second.front().first, busy);
    fixture.tick(140);
    EXPECT_EQ(fixture.commands().size(), 1U);
}

/// Guards against callers that wait for their timeout for what no server will run.
TEST_F(StatementEvacuation, EvacuationOfTheLastZoneRefusesAtOnce) {
    evacuate(100, {"d1", "d2", "d3"});
    EXPECT_TRUE(send(110, read_one()).empty());
    expect_refused_at_once();
    EXPECT_TRUE(send(120, write_one()).empty());
    expect_refused_at_once();
    evacuate(200, {"d1", "d2"});
    EXPECT_EQ(send(210, read_one()), (std::vector<std::string>{"r2"}));
}

/// Guards against writes that wait although no server can become primary.
TEST_F(StatementEvacuation, WritesAreRefusedAtOnceWithoutASuccessorOfThePrimary) {
    fixture.state.directory = backend_directory{};
    auto primary = registration("p");
    primary.domain = failure_domain_id{"d1"};
    auto replica = registration("r1");
    replica.domain = failure_domain_id{"d2"};
    replica.leaving = true;
    fixture.state.directory.update(at(0), at(0), 1, {primary, replica});
    evacuate(100, {"d1"});
    EXPECT_TRUE(send(110, write_one()).empty());
    expect_refused_at_once();
    evacuate(200, {});
    EXPECT_EQ(send(210, write_one()), (std::vector<std::string>{"p"}));
}

/// Guards against statements that reach the primary after the bound, and against an early end of
/// its use, while its group has no other primary yet.
TEST_F(StatementEvacuation, PrimaryIsUsedWhileItIsMovedButNotNearTheBound) {
    evacuate(1000, {"d1"});
    EXPECT_EQ(send(3900, write_one()), (std::vector<std::string>{"p"}));
    fixture.reply(3910, used.back(), success(transaction_state::idle, point(1, 11)));
    EXPECT_EQ(fixture.answers().size(), 1U);
    EXPECT_TRUE(send(4000, write_one()).empty());
    EXPECT_TRUE(fixture.answers().empty()) << "a replica of another domain can be promoted";
    evacuate(4100, {});
    fixture.confirm_primary(4110);
    fixture.tick(4110);
    fixture.accept(4111);
    EXPECT_EQ(fixture.commands().size(), 1U);
}

struct open_transaction_case {
    const char* name;
    bool running; ///< A statement is running at the bound; else the transaction is idle.
};

class OpenTransaction : public StatementEvacuation,
                        public ::testing::WithParamInterface<open_transaction_case> {};

/// Guards against a transaction that sends statements to the domain after the bound, and against a
/// reply that leaves its outcome open: it is rolled back.
TEST_P(OpenTransaction, IsAbortedBeforeTheBound) {
    send(10, make_statement(statement_kind::begin, "BEGIN"));
    EXPECT_EQ(send(20, write_one()), (std::vector<std::string>{"p"}));
    fixture.reply(21, used.back(), done(transaction_state::open, point(1, 10)));
    fixture.commands();
    fixture.reply(22, used.back(), success(transaction_state::open, point(1, 10)));
    fixture.answers();
    evacuate(1000, {"d1"});
    EXPECT_EQ(send(1500, read_one()), (std::vector<std::string>{"p"}));
    fixture.reply(1501, used.back(), success(transaction_state::open, point(1, 10)));
    fixture.answers();
    // The list was empty at 0 ms: nothing is sent from 4,000 ms on.
    if (GetParam().running) {
        EXPECT_EQ(send(3990, write_one()).size(), 1U);
    }
    fixture.tick(4001);
    fixture.commands();
    fixture.take<close_server_connection>();
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), GetParam().running ? 1U : 0U);
    if (GetParam().running) {
        EXPECT_EQ(answers.front().problem, statement_error::aborted);
    }
    EXPECT_TRUE(send(4010, make_statement(statement_kind::commit, "COMMIT")).empty());
    const auto commit = fixture.answers();
    ASSERT_EQ(commit.size(), 1U);
    EXPECT_EQ(commit.front().problem, statement_error::aborted);
}

INSTANTIATE_TEST_SUITE_P(StatementEvacuation, OpenTransaction,
                         ::testing::Values(open_transaction_case{"idle", false},
                                           open_transaction_case{"running", true}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a rollback that reaches the domain after the bound, when the caller ends a failed
/// transaction late.
TEST_F(StatementEvacuation, FailedTransactionGivesItsConnectionUpBeforeTheBound) {
    send(10, make_statement(statement_kind::begin, "BEGIN"));
    send(20, write_one());
    fixture.reply(21, used.back(), done(transaction_state::open, point(1, 10)));
    fixture.commands();
    fixture.answers(); // Of the begin.
    fixture.reply(22, used.back(), failure(statement_error::failed, transaction_state::failed));
    EXPECT_EQ(fixture.answers().size(), 1U);
    evacuate(1000, {"d1"});
    fixture.tick(4005);
    EXPECT_EQ(fixture.take<close_server_connection>().size(), 1U);
    EXPECT_TRUE(send(6000, make_statement(statement_kind::rollback, "ROLLBACK")).empty());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::none);
}

/// Guards against an attempt that its entry VM counts for good: its connection is closed with the
/// domain, so it gets no answer.
TEST_F(StatementEvacuation, AttemptThatIsClosedAtItsReleaseIsReported) {
    forwarded_statement statement;
    statement.backend = backend_server_id{"r1"};
    statement.lease = connection_id{1000};
    statement.attempt = attempt_id{7};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::seconds{8};
    fixture.owner.submit(at(1), vm_id{"b"}, statement, fixture.out);
    fixture.accept(2);
    ASSERT_EQ(fixture.commands().size(), 1U);
    evacuate(100, {"d2"});
    fixture.owner.release(at(4200), vm_id{"b"}, {statement.lease, statement.backend, false, false},
                          fixture.out);
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().entry, vm_id{"b"});
    EXPECT_EQ(results.front().result.attempt, statement.attempt);
    EXPECT_TRUE(results.front().result.sent);
    EXPECT_FALSE(results.front().result.answered);
    EXPECT_EQ(fixture.owner.statements_running(), 0U);
}

/// Guards against a VM that starts while an evacuation is in effect and sends statements to the
/// domain before it knows of it.
TEST_F(StatementEvacuation, NothingIsSentWhileNoListIsKnown) {
    fixture.state.evacuations = evacuation_list{{std::chrono::seconds{5}, {}}};
    EXPECT_TRUE(send(10, read_one()).empty());
    expect_refused_at_once();
    evacuate(20, {"d2"});
    EXPECT_EQ(send(30, read_one()), (std::vector<std::string>{"r2"}));
}

struct foreign_statement_case {
    const char* name;
    bool continues;
    statement_error problem;
};

class ForeignStatement : public StatementEvacuation,
                         public ::testing::WithParamInterface<foreign_statement_case> {};

/// Guards against statements of an entry VM that is cut off from the store and has an older list.
TEST_P(ForeignStatement, IsNotRunByAnOwnerThatKnowsOfTheEvacuation) {
    evacuate(100, {"d1"});
    forwarded_statement statement;
    statement.lease = connection_id{1};
    statement.attempt = attempt_id{1};
    statement.backend = backend_server_id{"p"};
    statement.continues_transaction = GetParam().continues;
    statement.remaining = std::chrono::seconds{1};
    fixture.owner.submit(at(4100), vm_id{"b"}, statement, fixture.out);
    fixture.owner.settle(at(4100), fixture.out);
    EXPECT_TRUE(fixture.take<open_server_connection>().empty());
    const auto results = fixture.owner.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_FALSE(results.front().result.sent);
    EXPECT_EQ(results.front().result.reply.problem, GetParam().problem);
}

INSTANTIATE_TEST_SUITE_P(
    StatementEvacuation, ForeignStatement,
    ::testing::Values(foreign_statement_case{"first", false, statement_error::busy},
                      foreign_statement_case{"of_a_transaction", true, statement_error::aborted}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
