#include "jackdawvane/failover/fencing_policy.hpp"
#include "jackdawvane/failover/group_view.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr time_point start{std::chrono::seconds{100}};
const backend_server_id primary{"p"};
const backend_server_id first{"r1"};
const backend_server_id second{"r2"};

time_point after(std::int64_t milliseconds) {
    return start + from_milliseconds(milliseconds);
}

backend_report report(const backend_server_id& backend, std::uint64_t accepted, std::uint64_t last,
                      std::uint64_t position) {
    backend_report made{backend, true, {}, duration{0}};
    made.status.role = backend == primary ? backend_role::primary : backend_role::replica;
    made.status.accepted_term = term{accepted};
    made.status.last_entry_term = term{last};
    made.status.position = log_position{position};
    return made;
}

group_view view_of(std::initializer_list<backend_report> reports) {
    group_view view{group_id{"g"}};
    view.configure({primary, first, second});
    for (const auto& made : reports) {
        view.observe(start, made, start);
    }
    return view;
}

backend_report from_primary(std::uint64_t accepted, std::uint64_t last, std::uint64_t position) {
    return report(primary, accepted, last, position);
}

backend_report from_first(std::uint64_t accepted, std::uint64_t last, std::uint64_t position) {
    return report(first, accepted, last, position);
}

struct commit_case {
    const char* guards_against;
    bool committed;
    std::vector<backend_report> reports;
};

class Commit : public testing::TestWithParam<commit_case> {};

/// Checks whether position 10 of term 3 is acknowledged.
TEST_P(Commit, NeedsAMajorityInThePrimarysTerm) {
    auto view = view_of({});
    for (const auto& made : GetParam().reports) {
        view.observe(start, made, std::nullopt);
    }
    const auto& policy = fencing_policy_for(fencing_mode::majority);
    EXPECT_EQ(policy.acknowledged(view, term{3}, log_position{10}), GetParam().committed);
}

const commit_case commit_cases[] = {
    {"refusing_a_majority", true, {from_primary(3, 3, 10), from_first(3, 3, 10)}},
    {"losing_a_write_on_the_primary_alone", false, {from_primary(3, 3, 12)}},
    {"counting_a_replica_behind", false, {from_primary(3, 3, 10), from_first(3, 3, 9)}},
    {"counting_entries_of_an_older_term",
     false,
     {from_primary(3, 3, 10), from_first(3, 2, 10), report(second, 3, 2, 99)}},
    {"counting_a_later_term", false, {from_primary(3, 3, 10), from_first(4, 3, 10)}},
    {"counting_a_repeated_report_twice", false, {from_first(3, 3, 10), from_first(3, 3, 10)}},
    {"an_old_report_that_arrives_late",
     false,
     {from_primary(3, 3, 10), from_first(4, 4, 11), from_first(3, 3, 10)}},
    {"counting_a_stranger",
     false,
     {from_primary(3, 3, 10), report(backend_server_id{"x"}, 3, 3, 10)}}};

INSTANTIATE_TEST_SUITE_P(GroupView, Commit, testing::ValuesIn(commit_cases),
                         [](const auto& tested) {
                             return std::string{tested.param.guards_against};
                         });

struct refusal_case {
    const char* guards_against;
    std::int64_t asked_after_ms;
    std::int64_t remaining_ms;
    error_kind majority;
    error_kind alone;
};

class Refusal : public testing::TestWithParam<refusal_case> {};

/// A majority confirmed the term at 0 ms; a writer has waited for position 20 since 100 ms.
TEST_P(Refusal, FollowsConfirmationAndLag) {
    auto view = view_of({report(primary, 3, 3, 10), report(first, 3, 3, 10)});
    view.await_position(after(100), log_position{20});
    const auto& tested = GetParam();
    const auto refuse = [&](fencing_mode mode) {
        const auto problem = fencing_policy_for(mode).refuse_write(
            view, after(tested.asked_after_ms), from_milliseconds(tested.remaining_ms));
        return problem ? problem->kind : error_kind::none;
    };
    EXPECT_EQ(refuse(fencing_mode::majority), tested.majority);
    EXPECT_EQ(refuse(fencing_mode::primary_alone), tested.alone);
}

INSTANTIATE_TEST_SUITE_P(
    GroupView, Refusal,
    testing::Values(refusal_case{"wrongful_refusal", 100, 10, error_kind::none, error_kind::none},
                    refusal_case{"writes_that_cannot_be_confirmed_in_time", 400, 200,
                                 error_kind::replicas_lagging, error_kind::none},
                    refusal_case{"confirmation_at_the_limit", 1000, 2000, error_kind::none,
                                 error_kind::none},
                    refusal_case{"writes_on_a_primary_that_is_cut_off", 1001, 2000,
                                 error_kind::term_unconfirmed, error_kind::term_unconfirmed}),
    [](const auto& tested) { return std::string{tested.param.guards_against}; });

/// Guards against a staleness bound that is too low: it has to start before the query of the
/// primary's position, and the position of a replaced primary proves nothing.
TEST(GroupView, StalenessIsNeverTooLow) {
    auto view = view_of({report(primary, 3, 3, 10), report(first, 3, 3, 10)});
    EXPECT_EQ(view.staleness(after(50), first), from_milliseconds(50));
    EXPECT_EQ(view.staleness(after(50), primary), from_milliseconds(50));
    EXPECT_EQ(view.staleness(after(50), second), std::nullopt);
    view.observe(after(100), report(primary, 3, 3, 11), after(90));
    view.observe(after(100), report(first, 3, 3, 10), after(95));
    EXPECT_EQ(view.staleness(after(200), first), from_milliseconds(200));
    view.observe(after(210), report(first, 3, 3, 11), std::nullopt);
    EXPECT_EQ(view.staleness(after(300), first), from_milliseconds(210));
    // Without a majority the primary may have been replaced, however recent the position of its
    // replica is.
    view.observe(after(2000), report(primary, 3, 3, 12), after(2000));
    EXPECT_EQ(view.staleness(after(2000), primary), from_milliseconds(1905));
    view.learn_primary(term{4}, second);
    EXPECT_EQ(view.staleness(after(2000), first), std::nullopt);
    EXPECT_EQ(view.staleness(after(2000), primary), std::nullopt);
}

/// Guards against confirmations from before a pause, and against reports of unknown age.
TEST(GroupView, ForgottenOrUnprovedReportsConfirmNothing) {
    auto view = view_of({report(primary, 3, 3, 10), report(first, 3, 3, 10)});
    EXPECT_TRUE(view.summary(start).confirmed);
    view.forget_confirmations();
    EXPECT_FALSE(view.confirmed(start));
    view.observe(after(1), report(primary, 3, 3, 10), after(1));
    view.observe(after(1), report(first, 3, 3, 10), std::nullopt);
    EXPECT_FALSE(view.confirmed(after(1)));
    view.observe(after(2), report(second, 3, 3, 10), after(1));
    EXPECT_TRUE(view.confirmed(after(2)));
}

/// Guards against an estimate that stays high after the replicas have caught up.
TEST(GroupView, LagIsMeasuredAndForgotten) {
    auto view = view_of({report(primary, 3, 3, 10), report(first, 3, 3, 10)});
    view.await_position(after(0), log_position{11});
    EXPECT_EQ(view.replication_lag(after(70)), from_milliseconds(70));
    view.observe(after(80), report(primary, 3, 3, 11), after(79));
    view.observe(after(80), report(first, 3, 3, 11), after(79));
    EXPECT_EQ(view.replication_lag(after(500)), from_milliseconds(80));
    EXPECT_EQ(view.replication_lag(after(5000)), duration{0});
}

/// Guards against acknowledgements after the lease expired or the primary was replaced.
TEST(FencingPolicy, StoreLeaseStopsWritesWhenItExpires) {
    const auto view = view_of({report(primary, 3, 3, 10)});
    store_lease_fencing policy;
    EXPECT_TRUE(policy.refuse_write(view, start, from_milliseconds(100)));
    policy.lease_renewed();
    EXPECT_FALSE(policy.refuse_write(view, start, from_milliseconds(100)));
    EXPECT_TRUE(policy.acknowledged(view, term{3}, log_position{10}));
    EXPECT_FALSE(policy.acknowledged(view, term{2}, log_position{10}));
    policy.lease_expired();
    EXPECT_FALSE(policy.acknowledged(view, term{3}, log_position{10}));
}

} // namespace
} // namespace jackdawvane
