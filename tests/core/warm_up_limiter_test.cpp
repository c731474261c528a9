#include "jackdawvane/sessions/warm_up_limiter.hpp"

#include <algorithm>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const backend_server_id server{"r1"};

struct warm_up_case {
    const char* name;
    double rate;
    double tolerance;
};

class WarmUpLimiter : public ::testing::TestWithParam<warm_up_case> {};

/// Guards against two VMs that both believe they own the server and together exceed the bound,
/// after a pause in which tokens could add up.
TEST_P(WarmUpLimiter, TwoOwnersStayUnderTheBoundInAnySecond) {
    const auto [name, rate, tolerance] = GetParam();
    std::vector<warm_up_limiter> owners(2, warm_up_limiter{{1.5, tolerance}});
    std::vector<int> sent;
    for (int ms = 0; ms < 10'000; ++ms) {
        const bool pause = ms >= 3'000 && ms < 6'000;
        for (auto& owner : owners) {
            const std::uint32_t requests = ms % 3 == 0 ? 2 : 1;
            if (!pause && owner.take(at(ms), server, rate, requests)) {
                sent.insert(sent.end(), requests, ms);
            }
        }
    }
    ASSERT_FALSE(sent.empty());
    for (const int start : sent) {
        const auto in_second = std::count_if(
            sent.begin(), sent.end(), [&](int ms) { return ms >= start && ms < start + 1000; });
        EXPECT_LE(static_cast<double>(in_second), rate * 1.5 + tolerance);
    }
}

INSTANTIATE_TEST_SUITE_P(WarmUpLimiter, WarmUpLimiter,
                         ::testing::Values(warm_up_case{"usual", 40, 5}, warm_up_case{"slow", 2, 5},
                                           warm_up_case{"no_tolerance", 40, 0},
                                           warm_up_case{"large_tolerance", 10, 50}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// An owner and its fixture, with one server that warms up for 2 s.
class WarmingServer : public ::testing::Test {
  protected:
    WarmingServer() {
        auto document = session_configuration();
        document->pools[pool_name{"g"}].groups[group_id{"g"}].warm_up_rate = 4;
        fixture.state.configuration = document;
        auto cold = registration("r1");
        cold.warm_up_remaining = std::chrono::seconds{2};
        fixture.state.directory.update(at(0), at(0), 2,
                                       {registration("p"), cold, registration("r2")});
    }
    /// Submits a statement and returns whether it was refused.
    bool refused(std::int64_t milliseconds) {
        forwarded_statement statement;
        statement.lease = connection_id{++number};
        statement.attempt = attempt_id{number};
        statement.backend = server;
        statement.organisation = organisation_id{"o"};
        statement.remaining = std::chrono::seconds{1};
        owner.submit(at(milliseconds), vm_id{"b"}, statement, fixture.out);
        const auto results = owner.take_results();
        EXPECT_TRUE(results.empty() ||
                    (results.front().result.reply.problem == statement_error::busy &&
                     !results.front().result.sent));
        owner.release(at(milliseconds), vm_id{"b"}, {statement.lease, server, false, true},
                      fixture.out);
        return !results.empty();
    }

    session_fixture fixture;
    std::uint64_t number{1000};
    owner_settings settings{[] {
        owner_settings chosen;
        chosen.warm_up = {1.5, 5};
        return chosen;
    }()};
    connection_owner owner{fixture.state, fixture.backends, settings};
};

/// Guards against a limit that outlives the warm-up when the registration does not change.
TEST_F(WarmingServer, IsLimitedUntilItIsWarm) {
    int started = 0;
    for (int ms = 0; ms < 1000; ms += 50) {
        started += refused(ms) ? 0 : 1;
    }
    EXPECT_LE(started, 6);
    EXPECT_GT(started, 0);
    fixture.state.directory.confirm(at(1900), at(1900), 2, 9);
    EXPECT_FALSE(refused(2000));
    EXPECT_FALSE(refused(2001));
    EXPECT_FALSE(refused(2002));
}

TEST_F(WarmingServer, IsNotLimitedWithoutARate) {
    fixture.state.configuration = session_configuration();
    for (int ms = 0; ms < 3; ++ms) {
        EXPECT_FALSE(refused(ms));
    }
}

} // namespace
} // namespace jackdawvane
