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
    bool accepted;
};

class AttemptResult : public ::testing::TestWithParam<result_case> {};

/// Guards against a result that is taken for that of another attempt: it counts only from the VM
/// that the attempt was sent to, and for the lease that it was sent with.
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
    result.backend = statement.backend;
    result.answered = true;
    EXPECT_EQ(fixture.forwarder.on_result(at(2), vm_id{GetParam().from}, result),
              GetParam().accepted);
    EXPECT_EQ(fixture.forwarder.take_results().size(), GetParam().accepted ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(StatementForwarder, AttemptResult,
                         ::testing::Values(result_case{"owner", "b", 5, 0, true},
                                           result_case{"other_vm", "c", 5, 0, false},
                                           result_case{"this_vm", "a", 5, 0, false},
                                           result_case{"other_attempt", "b", 6, 0, false},
                                           result_case{"other_lease", "b", 5, 1, false}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
