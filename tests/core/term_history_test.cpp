#include "jackdawvane/failover/term_history.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

backend_status log_of(std::uint64_t position, std::vector<term_start> history) {
    backend_status status;
    status.position = log_position{position};
    status.last_entry_term = history.empty() ? term{} : history.back().term;
    status.history = std::move(history);
    return status;
}

const std::vector<term_start> whole{{term{2}, log_position{1}}, {term{5}, log_position{50}}};
const std::vector<term_start> recent{{term{5}, log_position{50}}, {term{7}, log_position{80}}};
constexpr std::uint64_t huge = ~std::uint64_t{0};

struct prefix_case {
    const char* guards_against;
    std::vector<term_start> history;
    std::uint64_t log_end;
    std::uint64_t seen_term;
    std::uint64_t seen_position;
    prefix_check expected;
};

class PrefixCheck : public testing::TestWithParam<prefix_case> {};

TEST_P(PrefixCheck, ComparesTermAndPosition) {
    const auto& tested = GetParam();
    const session_position seen{group_id{"g"}, term{tested.seen_term},
                                log_position{tested.seen_position}};
    EXPECT_EQ(check_prefix(log_of(tested.log_end, tested.history), seen), tested.expected);
}

INSTANTIATE_TEST_SUITE_P(
    TermHistory, PrefixCheck,
    testing::Values(
        prefix_case{"refusing_a_new_session", {}, 0, 0, 0, prefix_check::contained},
        prefix_case{"refusing_the_last_entry", whole, 60, 5, 60, prefix_check::contained},
        prefix_case{"refusing_an_older_term", whole, 60, 2, 49, prefix_check::contained},
        prefix_case{"stale_read", whole, 60, 5, 61, prefix_check::behind},
        prefix_case{"stale_read_before_a_failover", whole, 60, 6, 61, prefix_check::behind},
        prefix_case{"hiding_a_lost_tail", whole, 60, 2, 50, prefix_check::lost},
        prefix_case{"waiting_for_a_lost_tail", whole, 60, 2, 90, prefix_check::lost},
        prefix_case{"reading_a_discarded_branch", whole, 60, 7, 55, prefix_check::stale_branch},
        prefix_case{"trusting_a_short_list", recent, 90, 4, 20, prefix_check::lost},
        prefix_case{"trusting_a_short_list_equal", recent, 90, 5, 20, prefix_check::stale_branch},
        prefix_case{"trusting_an_empty_list", {}, 90, 5, 20, prefix_check::stale_branch},
        prefix_case{"overflow_of_the_position", whole, 60, 5, huge, prefix_check::behind},
        prefix_case{"overflow_of_the_term", whole, 60, huge, 1, prefix_check::stale_branch}),
    [](const auto& tested) { return std::string{tested.param.guards_against}; });

} // namespace
} // namespace jackdawvane
