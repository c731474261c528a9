#include "jackdawvane/membership/placement.hpp"
#include "jackdawvane/sessions/statement_forwarder.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

struct result_case {
    const char* name;
    const char* from;
    std::uint64_t attempt;
    std::uint64_t lease_offset; ///< Added to the lease of the attempt.
    const char* backend;
    bool accepted;
};

class AttemptResult : public ::testing::TestWithParam<result_case> {};

/// Guards against a result that is taken for that of another attempt: it counts only from the VM
/// that the attempt was sent to, and for the lease and the server that it was sent with.
TEST_P(AttemptResult, CountsOnlyFromTheOwnerOfItsLease) {
    session_fixture fixture;
    fixture.state.live = {vm("a", "d2"), vm("b"), vm("c", "d2")}; // b is next to the server.
    fixture.state.fleet_version = 1;
    const auto lease = fixture.forwarder.acquire(at(1), backend_server_id{"p"});
    ASSERT_TRUE(lease);
    forwarded_statement statement;
    statement.lease = *lease;
    statement.attempt = attempt_id{5};
    statement.backend = backend_server_id{"p"};
    fixture.forwarder.send(at(1), statement, fixture.out);

    attempt_result result;
    result.attempt = attempt_id{GetParam().attempt};
    result.lease = connection_id{lease->value() + GetParam().lease_offset};
    result.backend = backend_server_id{GetParam().backend};
    result.answered = true;
    EXPECT_EQ(fixture.forwarder.on_result(at(2), vm_id{GetParam().from}, result),
              GetParam().accepted);
    EXPECT_EQ(fixture.forwarder.take_results().size(), GetParam().accepted ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(StatementForwarder, AttemptResult,
                         ::testing::Values(result_case{"owner", "b", 5, 0, "p", true},
                                           result_case{"other_vm", "c", 5, 0, "p", false},
                                           result_case{"this_vm", "a", 5, 0, "p", false},
                                           result_case{"other_attempt", "b", 6, 0, "p", false},
                                           result_case{"other_lease", "b", 5, 1, "p", false},
                                           result_case{"other_server", "b", 5, 0, "r1", false}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Sends statements to server p, whose owner is the VM b, and answers them.
class ForwarderLoad : public ::testing::Test {
  protected:
    void SetUp() override {
        fixture.state.live = {vm("a", "d2"), vm("b"), vm("c", "d2")};
        fixture.state.fleet_version = 1;
    }
    void send(std::int64_t ms, std::uint64_t attempt) {
        forwarded_statement statement;
        statement.lease = *fixture.forwarder.acquire(at(ms), server);
        statement.attempt = attempt_id{attempt};
        statement.backend = server;
        fixture.forwarder.send(at(ms), statement, fixture.out);
        leases[attempt] = statement.lease;
    }
    void answer(std::int64_t ms, std::uint64_t attempt, attempt_result result) {
        result.attempt = attempt_id{attempt};
        result.lease = leases.at(attempt);
        result.backend = server;
        ASSERT_TRUE(fixture.forwarder.on_result(at(ms), vm_id{"b"}, result));
    }

    session_fixture fixture;
    backend_server_id server{"p"};
    std::map<std::uint64_t, connection_id> leases;
};

/// Guards against a report that counts without its age, or without what was sent after it.
TEST_F(ForwarderLoad, KeepsTheReportWithItsAgeAndTheStatementsSentSince) {
    attempt_result result;
    result.answered = true;
    result.sent = true;
    result.load = server_load{3, 4, 4, std::chrono::milliseconds{14}};
    EXPECT_FALSE(fixture.forwarder.report(at(0), server));
    send(1, 1);
    send(2, 2);
    answer(10, 1, result);
    send(20, 3);
    send(21, 4);
    const auto report = fixture.forwarder.report(at(40), server);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->load, *result.load);
    EXPECT_EQ(report->age, std::chrono::milliseconds{30});
    EXPECT_EQ(report->sent_since, 2U);
    result.load.reset();
    answer(50, 2, result); // Was sent before the report, which counts it.
    EXPECT_EQ(fixture.forwarder.report(at(50), server)->sent_since, 2U);
    answer(51, 3, result);
    EXPECT_EQ(fixture.forwarder.report(at(51), server)->sent_since, 1U);
    EXPECT_FALSE(fixture.forwarder.report(at(20'000), server));
}

struct abandoned_case {
    const char* name;
    void (*abandon)(session_fixture& fixture, connection_id lease);
};

class AbandonedAttempt : public ForwarderLoad,
                         public ::testing::WithParamInterface<abandoned_case> {};

/// Guards against an attempt that outlives its statement: it counted as load of its server for
/// good, so reads avoided a server that had once been slow.
TEST_P(AbandonedAttempt, IsNoLoadOfItsServer) {
    send(1, 1);
    ASSERT_EQ(fixture.forwarder.running(server), 1U);
    GetParam().abandon(fixture, leases.at(1));
    EXPECT_EQ(fixture.forwarder.running(server), 0U);
    EXPECT_EQ(fixture.forwarder.evidence_age(at(3), server), duration::max());
    EXPECT_TRUE(fixture.forwarder.take_results().empty());
    attempt_result late;
    late.attempt = attempt_id{1};
    late.lease = leases.at(1);
    late.backend = server;
    late.answered = true;
    EXPECT_FALSE(fixture.forwarder.on_result(at(4), vm_id{"b"}, late));
}

INSTANTIATE_TEST_SUITE_P(
    StatementForwarder, AbandonedAttempt,
    ::testing::Values(abandoned_case{"discarded",
                                     [](session_fixture& fixture, connection_id lease) {
                                         fixture.forwarder.discard(at(3), lease, fixture.out);
                                     }},
                      abandoned_case{"released_before_its_owner_is_lost",
                                     [](session_fixture& fixture, connection_id lease) {
                                         fixture.forwarder.release(at(3), lease, false,
                                                                   fixture.out);
                                         fixture.forwarder.on_vm_lost(vm_id{"b"});
                                     }}),
    [](const auto& tested) { return std::string{tested.param.name}; });

struct outcome_case {
    const char* name;
    bool answered;
    bool sent;
    bool unreachable;
    statement_error problem;
    bool counts;
};

class ForwarderOutcome : public ForwarderLoad,
                         public ::testing::WithParamInterface<outcome_case> {};

/// Guards against servers that are ejected because they are busy or because a VM is cut off.
TEST_P(ForwarderOutcome, OnlyFailuresOfTheServerCount) {
    attempt_result result;
    result.answered = GetParam().answered;
    result.sent = GetParam().sent;
    result.unreachable = GetParam().unreachable;
    result.reply.problem = GetParam().problem;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        send(static_cast<std::int64_t>(i) * 2000, i); // Beyond the time of an unreachable owner.
        answer(static_cast<std::int64_t>(i) * 2000 + 1, i, result);
    }
    const auto verdict =
        fixture.forwarder.health().judge(at(6010), {server, backend_server_id{"r1"}});
    EXPECT_EQ(verdict.ejected.contains(server), GetParam().counts);
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes, ForwarderOutcome,
    ::testing::Values(
        outcome_case{"failed", true, true, false, statement_error::failed, true},
        outcome_case{"timeout", true, true, false, statement_error::timeout, true},
        outcome_case{"lost", false, true, false, statement_error::none, true},
        outcome_case{"done", true, true, false, statement_error::none, false},
        outcome_case{"busy", true, true, false, statement_error::busy, false},
        outcome_case{"lagging", true, true, false, statement_error::lagging, false},
        outcome_case{"refused_by_the_owner", true, false, false, statement_error::busy, false},
        outcome_case{"unreachable", false, false, true, statement_error::none, false}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
