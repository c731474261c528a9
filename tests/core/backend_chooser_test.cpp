#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/sessions/backend_chooser.hpp"

#include <limits>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;

struct chooser_case {
    const char* name;
    read_candidate other; ///< Compared with a near, idle replica with the default answer time.
    bool other_wins;
};

read_candidate near_replica() {
    read_candidate candidate;
    candidate.backend = backend_server_id{"near"};
    candidate.distance = milliseconds{1};
    candidate.slots = 2;
    return candidate;
}

read_candidate changed(void (*change)(read_candidate&)) {
    auto candidate = near_replica();
    candidate.backend = backend_server_id{"other"};
    change(candidate);
    return candidate;
}

class BackendChooser : public ::testing::TestWithParam<chooser_case> {};

TEST_P(BackendChooser, TakesTheServerThatAnswersFirst) {
    const auto chosen = choose_backend({near_replica(), GetParam().other}, {});
    EXPECT_EQ(chosen, backend_server_id{GetParam().other_wins ? "other" : "near"});
}

INSTANTIATE_TEST_SUITE_P(
    Load, BackendChooser,
    ::testing::Values(
        chooser_case{"distant", changed([](auto& c) { c.distance = milliseconds{17}; }), false},
        chooser_case{"primary", changed([](auto& c) { c.primary = true; }), false},
        chooser_case{"slow", changed([](auto& c) { c.mean_answer_time = milliseconds{200}; }),
                     false},
        chooser_case{"loaded", changed([](auto& c) { c.running = 4; }), false},
        chooser_case{"behind", changed([](auto& c) { c.lagging = true; }), false},
        chooser_case{"cold", changed([](auto& c) { c.warming_up = true; }), false},
        chooser_case{"leaving", changed([](auto& c) { c.leaving = true; }), false},
        chooser_case{"last_used", changed([](auto& c) { c.last_used = true; }), true},
        chooser_case{"quick", changed([](auto& c) { c.mean_answer_time = milliseconds{5}; }),
                     true}),
    [](const auto& each) { return each.param.name; });

TEST(BackendChooserLoad, DistantServerTakesOverFromALoadedOne) {
    auto loaded = near_replica();
    loaded.running = 4;
    auto distant = near_replica();
    distant.backend = backend_server_id{"distant"};
    distant.distance = milliseconds{17};
    EXPECT_EQ(choose_backend({loaded, distant}, {}), backend_server_id{"distant"});
}

TEST(BackendChooserLoad, NothingWithoutCandidates) {
    EXPECT_EQ(choose_backend({}, {}), std::nullopt);
}

read_candidate loaded(const char* name, server_load load, milliseconds age = milliseconds{0}) {
    auto candidate = near_replica();
    candidate.backend = backend_server_id{name};
    candidate.slots = 4;
    candidate.report = load_report{load, age, 0};
    return candidate;
}

constexpr server_load idle{0, 0, 4, milliseconds{14}};
constexpr server_load hot{12, 4, 4, milliseconds{14}};

struct report_case {
    const char* name;
    read_candidate first;
    read_candidate second;
    const char* cheaper;
};

class ReportedLoad : public ::testing::TestWithParam<report_case> {};

/// Guards against a placement that sees only this VM's own statements, a small part of the load.
TEST_P(ReportedLoad, DecidesWhichServerIsCheaper) {
    EXPECT_EQ(choose_backend({GetParam().first, GetParam().second}, {}),
              backend_server_id{GetParam().cheaper});
}

read_candidate with(read_candidate candidate, void (*change)(read_candidate&)) {
    change(candidate);
    return candidate;
}

INSTANTIATE_TEST_SUITE_P(
    Loads, ReportedLoad,
    ::testing::Values(
        report_case{"hot", loaded("a", hot), loaded("b", idle), "b"},
        report_case{"uneven", loaded("a", {2, 2, 2, milliseconds{14}}),
                    loaded("b", {2, 4, 8, milliseconds{14}}), "b"},
        report_case{"slow_to_a_tenth", loaded("a", {0, 1, 4, milliseconds{140}}),
                    loaded("b", {0, 4, 4, milliseconds{14}}), "b"},
        report_case{"slow_for_seconds",
                    loaded("a", {0, 1, 4, milliseconds{140}}, milliseconds{4000}),
                    loaded("b", {0, 4, 4, milliseconds{14}}), "b"},
        report_case{"old_queue", loaded("a", {40, 4, 4, milliseconds{14}}, milliseconds{9000}),
                    loaded("b", {2, 4, 4, milliseconds{14}}), "a"},
        report_case{"own_statements_since",
                    with(loaded("a", idle), [](auto& c) { c.report->sent_since = 4; }),
                    loaded("b", {0, 2, 4, milliseconds{14}}), "b"},
        report_case{"own_statements_outweigh_an_old_report",
                    with(loaded("a", idle, milliseconds{200}), [](auto& c) { c.running = 8; }),
                    loaded("b", {0, 2, 4, milliseconds{14}}), "b"},
        report_case{"distance_counts_after_answers",
                    with(loaded("a", idle),
                         [](auto& c) {
                             c.distance = milliseconds{17};
                             c.mean_answer_time = milliseconds{10};
                         }),
                    loaded("b", {0, 2, 4, milliseconds{14}}), "b"},
        report_case{"hot_beside_distant", loaded("a", hot),
                    with(loaded("b", idle), [](auto& c) { c.distance = milliseconds{17}; }), "b"},
        report_case{
            "full_primary",
            with(loaded("a", {0, 4, 4, milliseconds{4}}), [](auto& c) { c.primary = true; }),
            loaded("b", {6, 4, 4, milliseconds{13}}), "b"},
        report_case{"idle_primary", with(loaded("a", idle), [](auto& c) { c.primary = true; }),
                    loaded("b", {8, 4, 4, milliseconds{14}}), "a"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against reports that overflow the cost or divide by zero.
TEST(ReportedLoadBounds, AcceptsAnyReport) {
    constexpr auto most = std::numeric_limits<std::uint32_t>::max();
    const auto absurd = loaded("a", {most, most, 0, duration::max()});
    const auto negative = loaded("b", {0, 0, 0, duration::min()});
    EXPECT_GT(read_cost(absurd, {}), read_cost(negative, {}));
    EXPECT_GT(read_cost(negative, {}), duration{0});
}

std::map<std::string, int> drawn(const std::vector<read_candidate>& candidates) {
    std::map<std::string, int> chosen;
    random_engine random{7};
    for (int i = 0; i < 1000; ++i) {
        ++chosen[choose_backend(candidates, {}, random())->str()];
    }
    return chosen;
}

/// Guards against all VMs that see the same report taking the same server.
TEST(ReportedLoadHerding, NearlyEqualServersShareTheReads) {
    const auto equal =
        drawn({loaded("a", {0, 3, 4, milliseconds{14}}), loaded("b", {0, 3, 4, milliseconds{14}}),
               loaded("c", {0, 4, 4, milliseconds{14}})});
    for (const auto* name : {"a", "b", "c"}) {
        EXPECT_GT(equal.at(name), 200) << name;
    }
    EXPECT_GT(equal.at("a"), equal.at("c"));
    const auto uneven = drawn({loaded("a", {0, 1, 4, milliseconds{14}}), loaded("b", hot)});
    EXPECT_EQ(uneven.at("a"), 1000);
}

/// Guards against a change of the choices of a fleet without load.
TEST(ReportedLoadHerding, WithoutLoadTheLeastCostDecides) {
    EXPECT_EQ(drawn({loaded("a", idle), loaded("b", idle)}).at("a"), 1000);
    EXPECT_EQ(drawn({near_replica()}).at("near"), 1000);
    EXPECT_EQ(choose_backend({}, {}, 1), std::nullopt);
}

} // namespace
} // namespace jackdawvane
