#include "jackdawvane/failover/term_history.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/routing/router.hpp"
#include "jackdawvane/routing/session_token.hpp"

#include <set>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

const location here{region_id{"guate-central"}, failure_domain_id{"mixco"}};
const location near{region_id{"guate-central"}, failure_domain_id{"villa-nueva"}};
const location far{region_id{"occidente"}, failure_domain_id{"xela"}};
constexpr time_point start{std::chrono::seconds{10}};

group_row group_of(backend_state state_of_near = backend_state::active) {
    group_row group;
    group.backend_servers[backend_server_id{"here"}].place = here;
    group.backend_servers[backend_server_id{"near"}].place = near;
    group.backend_servers[backend_server_id{"near"}].state = state_of_near;
    group.backend_servers[backend_server_id{"far"}].place = far;
    return group;
}

std::string joined(const std::vector<backend_server_id>& backends) {
    std::string text;
    for (const auto& backend : backends) {
        text += (text.empty() ? "" : " ") + backend.str();
    }
    return text;
}

struct preference_case {
    const char* guards_against;
    access_mode mode;
    const char* primary;
    const char* unreachable;
    const char* behind;
    backend_state near_state;
    const char* expected;
};

class RouterPreference : public testing::TestWithParam<preference_case> {};

TEST_P(RouterPreference, OrdersBackendServers) {
    const auto& tested = GetParam();
    router tested_router{here};
    tested_router.avoid(backend_server_id{tested.unreachable}, routing_failure::unreachable, start);
    tested_router.avoid(backend_server_id{tested.behind}, routing_failure::behind, start);
    const routing_request request{tested.mode, "order-7", backend_server_id{tested.primary}};
    const auto found = tested_router.candidates(group_of(tested.near_state), request, {}, start);
    EXPECT_EQ(joined(found), tested.expected);
}

constexpr auto reads = access_mode::read;
constexpr auto writes = access_mode::write;
constexpr auto active = backend_state::active;

INSTANTIATE_TEST_SUITE_P(
    Router, RouterPreference,
    testing::Values(
        preference_case{"reads_on_the_primary", reads, "here", "", "", active, "near far here"},
        preference_case{"reads_far_away", reads, "far", "", "", active, "here near far"},
        preference_case{"unknown_primary", reads, "", "", "", active, "here near far"},
        preference_case{"retrying_a_dead_one", reads, "far", "here", "", active, "near far here"},
        preference_case{"retrying_a_slow_one", reads, "far", "", "here", active, "near here far"},
        preference_case{"work_on_leaving", reads, "far", "", "", backend_state::leaving,
                        "here far"},
        preference_case{"writes_on_a_replica", writes, "near", "near", "", active, "near"},
        preference_case{"writes_on_leaving", writes, "near", "", "", backend_state::leaving, ""}),
    [](const auto& tested) { return std::string{tested.param.guards_against}; });

/// Guards against refusing a write although an owner could report the primary.
TEST(Router, WritesTryAllWhileThePrimaryIsUnknown) {
    const router tested{here};
    EXPECT_EQ(tested.candidates(group_of(), {writes, "k", {}}, {}, start).size(), 3U);
}

/// Guards against a replica that is avoided forever after one failure, and against reads that stay
/// on a busy backend server.
TEST(Router, MemoryIsShortAndLoadSpreads) {
    router tested{here};
    auto group = group_of();
    group.backend_servers[backend_server_id{"near"}].place = here;
    group.backend_servers[backend_server_id{"near"}].slots = 2;
    group.backend_servers[backend_server_id{"here"}].slots = 2;
    const routing_request request{reads, "k", backend_server_id{"far"}};
    const auto first = tested.candidates(group, request, {}, start).front();
    const auto busy = [&](std::uint32_t requests) {
        return [=](const backend_server_id& backend) { return backend == first ? requests : 0U; };
    };
    EXPECT_EQ(tested.candidates(group, request, busy(1), start).front(), first);
    EXPECT_NE(tested.candidates(group, request, busy(2), start).front(), first);
    tested.avoid(first, routing_failure::unreachable, start);
    EXPECT_EQ(tested.candidates(group, request, {}, start).back(), first);
    const auto later = start + router::unreachable_ttl;
    EXPECT_EQ(tested.candidates(group, request, {}, later).front(), first);
}

/// Guards against assigning all partitions to one group, and against moving most of them when a
/// group is added.
TEST(Router, GroupsShareThePartitions) {
    pool_row pool;
    pool.groups = {{group_id{"a"}, {}}, {group_id{"b"}, {}}, {group_id{"c"}, {}}};
    auto larger = pool;
    larger.groups[group_id{"d"}] = {};
    std::map<group_id, int> share;
    int moved{0};
    for (int i = 0; i < 3000; ++i) {
        const auto partition = std::to_string(i);
        ++share[choose_group(pool, partition)];
        moved += choose_group(pool, partition) == choose_group(larger, partition) ? 0 : 1;
    }
    for (const auto& [group, count] : share) {
        EXPECT_NEAR(count, 1000, 150) << group;
    }
    EXPECT_NEAR(moved, 750, 150);
    EXPECT_TRUE(choose_group({}, "x").empty());
}

/// Group whose replicas lag; a log position is the number of the write that added the entry.
struct lagging_group {
    std::map<backend_server_id, backend_status> logs;
    backend_server_id primary{"far"};

    void write() {
        auto& log = logs[primary];
        log.position = log.position.next();
    }
    void replicate(const backend_server_id& to, random_engine& random) {
        const auto& source = logs[primary];
        auto& log = logs[to];
        log.history = source.history;
        log.last_entry_term = source.last_entry_term;
        const auto missing = source.position.value() - log.position.value();
        log.position = log_position{log.position.value() + random() % (missing + 1)};
    }
};

class RouterDifferential : public testing::TestWithParam<std::uint64_t> {};

/// Guards against stale reads: like reads from the primary, reads through the router must return at
/// least the positions that the session has read or written. Also guards against reads from the
/// primary that a replica could have served.
TEST_P(RouterDifferential, SatisfiesTheSamePositionsAsThePrimary) {
    random_engine random{GetParam()};
    lagging_group group;
    const auto rows = group_of();
    for (const auto& [backend, row] : rows.backend_servers) {
        group.logs[backend].history = {{term{1}, log_position{1}}};
        group.logs[backend].last_entry_term = term{1};
    }
    router tested{here};
    std::vector<session_position> session;
    const group_id name{"g"};
    for (std::int64_t step = 0; step < 2000; ++step) {
        const auto now = start + from_milliseconds(step * 10);
        group.replicate(backend_server_id{random() % 2 == 0 ? "here" : "near"}, random);
        if (random() % 10 == 0) {
            group.write();
            merge(session, {name, term{1}, group.logs[group.primary].position});
            continue;
        }
        const auto* seen = find_position(session, name);
        const session_position needed = seen == nullptr ? session_position{name, {}, {}} : *seen;
        const auto naive = check_prefix(group.logs[group.primary], needed);
        ASSERT_EQ(naive, prefix_check::contained);
        backend_server_id served;
        for (const auto& tried :
             tested.candidates(rows, {reads, std::to_string(step), group.primary}, {}, now)) {
            if (check_prefix(group.logs[tried], needed) == prefix_check::contained) {
                served = tried;
                break;
            }
            tested.avoid(tried, routing_failure::behind, now);
        }
        ASSERT_FALSE(served.empty());
        ASSERT_GE(group.logs[served].position, needed.position);
        const auto could_serve = [&](const char* replica) {
            const auto& log = group.logs[backend_server_id{replica}];
            return check_prefix(log, needed) == prefix_check::contained;
        };
        ASSERT_EQ(served != group.primary, could_serve("here") || could_serve("near"));
        merge(session, {name, term{1}, group.logs[served].position});
    }
}

INSTANTIATE_TEST_SUITE_P(Router, RouterDifferential, testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace jackdawvane
