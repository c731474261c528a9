#include "core/group_simulation.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Fault that starts at one time and ends at another; @a index is the primary's failure domain
/// or, for replicas, the next one.
struct fault {
    const char* name;
    bool on_primary;
    void (*begin)(group_simulation&, int index);
    void (*end)(group_simulation&, int index);
    std::int64_t gap_limit_ms; ///< Longest time without an acknowledged write, as the only fault.
};

void no_change(group_simulation& /*group*/, int /*index*/) {}

using sim = group_simulation;

const fault faults[] = {
    {"kill_primary", true, [](sim& g, int i) { g.kill_backend(i); },
     [](sim& g, int i) { g.backends[i].restart(); }, 1000},
    {"crash_and_restart_primary", true, [](sim& g, int i) { g.crash_backend(i); }, no_change, 1000},
    {"freeze_primary", true, [](sim& g, int i) { g.backends[i].frozen = true; },
     [](sim& g, int i) { g.backends[i].frozen = false; }, 2000},
    {"cut_primary", true, [](sim& g, int i) { g.isolated.insert(i); },
     [](sim& g, int i) { g.isolated.erase(i); }, 2000},
    {"silent_status_connection", true, [](sim& g, int i) { g.silent.emplace(i, i); }, no_change,
     2000},
    {"domain_lost", true, [](sim& g, int i) { g.lose_domain(i); },
     [](sim& g, int i) { g.restore_domain(i); }, 2000},
    {"owner_lost", true, [](sim& g, int i) { g.kill_vm(i); },
     [](sim& g, int i) { g.restart_vm(i); }, 3000},
    {"owner_frozen", true, [](sim& g, int i) { g.vms[i].frozen = true; },
     [](sim& g, int i) { g.resume_vm(i); }, 3500},
    {"replica_far_behind", false,
     [](sim& g, int i) { g.backends[i].lag = std::chrono::seconds{1}; },
     [](sim& g, int i) { g.backends[i].lag = duration{0}; }, 1000},
    {"replica_killed", false, [](sim& g, int i) { g.kill_backend(i); },
     [](sim& g, int i) { g.backends[i].restart(); }, 1000},
    {"reports_lost", false, [](sim& g, int) { g.lost_percent = 30; },
     [](sim& g, int) { g.lost_percent = 0; }, 2000},
    {"reports_repeated_late", false, [](sim& g, int) { g.repeated_percent = 50; },
     [](sim& g, int) { g.repeated_percent = 0; }, 1000},
};

/// Injects and ends the faults @a chosen, then checks that no acknowledged write is missing.
/// @return longest time without an acknowledged write from the first fault on
duration run_faults(std::uint64_t seed, const std::vector<const fault*>& chosen) {
    group_simulation group{seed};
    group.run_until(time_point{std::chrono::seconds{4}});
    EXPECT_GT(group.acknowledged.size(), 100U) << "no primary at the start";
    group.longest_gap = duration{0};
    for (const auto* each : chosen) {
        const auto from = group.now() + duration{static_cast<int>(group.random()() % 700'000)};
        const auto length = from_milliseconds(1000 + static_cast<int>(group.random()() % 1500));
        group.at(from, [&group, each, length] {
            const int primary = std::max(group.primary(), 0);
            const int index = each->on_primary ? primary : (primary + 1) % group_simulation::size;
            each->begin(group, index);
            group.at(group.now() + length, [&group, each, index] { each->end(group, index); });
        });
    }
    group.run_until(time_point{std::chrono::seconds{11}});
    const auto before = group.acknowledged.size();
    group.run_until(time_point{std::chrono::seconds{12}});
    EXPECT_GT(group.acknowledged.size(), before + 50) << "no writes after all faults healed";

    EXPECT_EQ(group.lost_writes(), 0U) << "acknowledged writes were lost";
    for (const auto& [elected, found] : group.primaries) {
        EXPECT_EQ(found.size(), 1U) << "two primaries in term " << elected;
    }
    return group.longest_gap;
}

class OneFault : public testing::TestWithParam<std::tuple<std::uint64_t, std::size_t>> {};

/// Guards against lost writes, two primaries in one term, and a failover that takes too long.
TEST_P(OneFault, KeepsAcknowledgedWrites) {
    const auto& tested = faults[std::get<1>(GetParam())];
    const auto gap = run_faults(std::get<0>(GetParam()), {&tested});
    EXPECT_LE(to_milliseconds(gap), tested.gap_limit_ms);
    RecordProperty("gap_ms", static_cast<int>(to_milliseconds(gap)));
}

std::string fault_name(const testing::TestParamInfo<OneFault::ParamType>& tested) {
    return std::string{faults[std::get<1>(tested.param)].name} + "_" +
           std::to_string(std::get<0>(tested.param));
}

INSTANTIATE_TEST_SUITE_P(GroupMonitor, OneFault,
                         testing::Combine(testing::Range<std::uint64_t>(1, 6),
                                          testing::Range<std::size_t>(0, std::size(faults))),
                         fault_name);

/// Guards against a leaving primary that keeps its role, and against lost writes during the
/// handover.
TEST(GroupMonitor, LeavingPrimaryHandsOver) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        sim group{seed};
        group.run_until(time_point{std::chrono::seconds{4}});
        const int leaving = group.primary();
        group.set_state(leaving, backend_state::leaving);
        group.longest_gap = duration{0};
        group.run_until(time_point{std::chrono::seconds{6}});
        EXPECT_NE(group.primary(), leaving);
        EXPECT_LE(to_milliseconds(group.longest_gap), 500);
        EXPECT_EQ(group.lost_writes(), 0U);
    }
}

class TwoFaults : public testing::TestWithParam<std::size_t> {};

/// Guards against lost writes and two primaries in one term when a second fault of any kind occurs
/// during the first.
TEST_P(TwoFaults, KeepAcknowledgedWrites) {
    for (std::size_t other = 0; other < std::size(faults); ++other) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            SCOPED_TRACE(std::string{"with "} + faults[other].name + " seed " +
                         std::to_string(seed));
            run_faults(seed, {&faults[GetParam()], &faults[other]});
        }
    }
}

INSTANTIATE_TEST_SUITE_P(GroupMonitor, TwoFaults, testing::Range<std::size_t>(0, std::size(faults)),
                         [](const auto& tested) { return std::string{faults[tested.param].name}; });

} // namespace
} // namespace jackdawvane
