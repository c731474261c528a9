#include "jackdawvane/sessions/backend_chooser.hpp"

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

} // namespace
} // namespace jackdawvane
