#include "jackdawvane/routing/zone_spillover.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto update_interval = milliseconds{50};

time_point at(duration when) {
    return time_point{when};
}

std::optional<zone_cost> cost(int ms, duration age = milliseconds{50}) {
    return zone_cost{milliseconds{ms}, age};
}

spillover_input costs(int domain_ms, int zones_ms, int remote_ms) {
    return {cost(domain_ms), cost(zones_ms), cost(std::min(domain_ms, zones_ms)), cost(remote_ms)};
}

/// Updates the shares with the same costs for @a length.
void run(zone_spillover& spillover, time_point& now, duration length,
         const spillover_input& input) {
    const auto end = now + length;
    while (now < end) {
        now += update_interval;
        spillover.update(now, input);
    }
}

struct share_case {
    const char* name;
    spillover_input input;
    bool domain_grows;
    bool region_grows;
};

class ZoneSpillover : public ::testing::TestWithParam<share_case> {};

/// Guards against traffic that leaves without a gain, and against a full zone beside an idle one.
TEST_P(ZoneSpillover, SharesGrowOnlyWhereWaitingExceedsDistance) {
    zone_spillover spillover;
    auto now = at(seconds{1});
    run(spillover, now, seconds{2}, GetParam().input);
    EXPECT_EQ(spillover.domain_share() > 0.1, GetParam().domain_grows);
    EXPECT_EQ(spillover.region_share() > 0.1, GetParam().region_grows);
}

INSTANTIATE_TEST_SUITE_P(
    Costs, ZoneSpillover,
    ::testing::Values(share_case{"idle", costs(21, 22, 37), false, false},
                      share_case{"about_as_fast", costs(24, 22, 37), false, false},
                      share_case{"zone_full", costs(60, 22, 37), true, false},
                      share_case{"region_full", costs(60, 60, 37), false, true},
                      share_case{"region_a_little_slower", costs(50, 50, 37), false, false},
                      share_case{"all_full", costs(200, 200, 210), false, false},
                      share_case{"zone_and_region_full", costs(200, 100, 37), true, true},
                      share_case{"old_evidence",
                                 {cost(200, seconds{3}), cost(22), cost(200, seconds{3}), cost(37)},
                                 false,
                                 false},
                      share_case{"single_region", {cost(200), {}, cost(200), {}}, false, false}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a share that swings: it changes by no more than its rates allow, also after a
/// time without reads.
TEST(ZoneSpilloverRate, ChangeIsBoundedInTime) {
    const spillover_settings settings;
    zone_spillover spillover{settings};
    auto now = at(seconds{1});
    run(spillover, now, seconds{1}, costs(200, 200, 37));
    EXPECT_NEAR(spillover.region_share(), settings.region.rise, 0.02);
    now += seconds{60};
    spillover.update(now, costs(200, 200, 37));
    EXPECT_LE(spillover.region_share(), settings.region.rise * 1.25 + 0.02);
    const auto before = spillover.region_share();
    run(spillover, now, seconds{1}, costs(21, 22, 37));
    EXPECT_NEAR(spillover.region_share(), before - settings.region.fall, 0.02);
}

/// Guards against reads that stay in another zone or region when the near servers have room, and
/// against near servers that are never measured again.
TEST(ZoneSpilloverReturn, LoadReturnsByItself) {
    for (const auto& after :
         {costs(21, 22, 37),
          spillover_input{cost(200, seconds{3}), cost(22), cost(200, seconds{3}), cost(37)},
          spillover_input{}}) {
        zone_spillover spillover;
        auto now = at(seconds{1});
        run(spillover, now, seconds{30}, costs(500, 300, 37));
        EXPECT_DOUBLE_EQ(spillover.region_share(), spillover_settings{}.max_share);
        EXPECT_DOUBLE_EQ(spillover.domain_share(), spillover_settings{}.max_share);
        run(spillover, now, seconds{12}, after);
        EXPECT_EQ(spillover.region_share(), 0);
        EXPECT_EQ(spillover.domain_share(), 0);
    }
}

/// Guards against oscillation: the near servers' waiting time falls as the share grows, and is
/// reported 200 ms late.
TEST(ZoneSpilloverLoop, SettlesWhenTheLoadFollowsTheShare) {
    zone_spillover spillover;
    auto now = at(seconds{1});
    std::vector<double> shares(4, 0.0); // Seen after four updates.
    double least = 1;
    double most = 0;
    for (int step = 0; step < 1200; ++step) {
        const auto delayed = shares[shares.size() - 4];
        const auto near = static_cast<int>(120 * (1 - delayed));
        now += update_interval;
        spillover.update(now, costs(near, near, static_cast<int>(37 + 40 * delayed)));
        shares.push_back(spillover.region_share());
        if (step >= 600) {
            least = std::min(least, shares.back());
            most = std::max(most, shares.back());
        }
    }
    EXPECT_GT(least, 0.3);
    EXPECT_LT(most, 0.6);
    EXPECT_LT(most - least, 0.1);
}

struct reach_case {
    const char* name;
    spillover_input input;
    double draw;
    read_reach reach;
};

class ReadReach : public ::testing::TestWithParam<reach_case> {};

/// Guards against reads without a server: where none is near, they run farther away at once.
TEST_P(ReadReach, IsTheNearestDistanceWithAServer) {
    const zone_spillover spillover;
    EXPECT_EQ(spillover.reach(GetParam().input, GetParam().draw), GetParam().reach);
}

INSTANTIATE_TEST_SUITE_P(
    Distances, ReadReach,
    ::testing::Values(
        reach_case{"near", costs(21, 22, 37), 0.0, read_reach::domain},
        reach_case{
            "zone_without_server", {{}, cost(22), cost(22), cost(37)}, 0.0, read_reach::region},
        reach_case{"region_without_server", {{}, {}, {}, cost(37)}, 0.99, read_reach::remote},
        reach_case{"no_server_is_fit", {}, 0.5, read_reach::remote}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
