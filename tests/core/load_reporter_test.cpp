#include "jackdawvane/sessions/load_reporter.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;

struct reporter_case {
    const char* name;
    milliseconds age;
    const char* entry; ///< VM that gets the second result; the first went to `b`.
    server_load second;
    bool sent;
};

constexpr server_load first_load{2, 4, 4, milliseconds{14}};

class LoadReporter : public ::testing::TestWithParam<reporter_case> {};

/// Guards against traffic between regions for loads that tell the receiver nothing, and against a
/// receiver that does not hear of a queue that has grown.
TEST_P(LoadReporter, SendsLoadsThatAreOldOrHaveChanged) {
    const time_point start{milliseconds{1000}};
    load_reporter reporter;
    ASSERT_TRUE(reporter.due(start, vm_id{"b"}, backend_server_id{"r1"}, first_load));
    reporter.prune(start + GetParam().age);
    const auto due = reporter.due(start + GetParam().age, vm_id{GetParam().entry},
                                  backend_server_id{"r1"}, GetParam().second);
    EXPECT_EQ(due.has_value(), GetParam().sent);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LoadReporter,
    ::testing::Values(
        reporter_case{"same", milliseconds{20}, "b", first_load, false},
        reporter_case{"two_more", milliseconds{20}, "b", {4, 4, 4, milliseconds{14}}, false},
        reporter_case{"longer_queue", milliseconds{20}, "b", {5, 4, 4, milliseconds{14}}, true},
        reporter_case{"empty", milliseconds{20}, "b", {0, 0, 4, milliseconds{14}}, true},
        reporter_case{"slower", milliseconds{20}, "b", {2, 4, 4, milliseconds{18}}, true},
        reporter_case{"old", milliseconds{100}, "b", first_load, true},
        reporter_case{"other_vm", milliseconds{20}, "c", first_load, true}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
