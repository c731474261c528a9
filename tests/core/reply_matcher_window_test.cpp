#include "jackdawvane/sessions/reply_matcher.hpp"

#include <utility>

#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

statement_reply read_of(const char* signature, std::vector<std::string> rows) {
    auto reply = done(transaction_state::idle, point(1, 10));
    reply.signature = signature;
    reply.rows = std::move(rows);
    return reply;
}

reply_times times(std::int64_t sent) {
    return {at(sent), at(sent + 5)};
}

struct window_case {
    const char* name;
    std::int64_t fence_sent; ///< Another statement between the two answers; 0: there is none.
    std::int64_t second_sent;
    reply_verdict verdict;
};

class ReplyMatcherWindow : public ::testing::TestWithParam<window_case> {
  protected:
    void fence() {
        if (GetParam().fence_sent != 0) {
            EXPECT_EQ(matcher.match(reply_form::statement, read_of("f", {"other"}),
                                    times(GetParam().fence_sent)),
                      reply_verdict::own);
        }
    }
    reply_matcher matcher;
};

/// Guards against a connection that is closed for a list that has grown, and against rows of a
/// second answer that is still possible.
TEST_P(ReplyMatcherWindow, GrownRows) {
    EXPECT_EQ(matcher.match(reply_form::statement, read_of("a", {"x"}), times(100)),
              reply_verdict::own);
    fence();
    EXPECT_EQ(matcher.match(reply_form::statement, read_of("b", {"x", "y"}),
                            times(GetParam().second_sent)),
              GetParam().verdict);
    EXPECT_EQ(matcher.doubt() == reply_doubt::grown_rows, GetParam().verdict != reply_verdict::own);
}

/// Guards against an unknown outcome for a second equal refusal, and against a refusal of an
/// earlier statement that is taken for one of this statement.
TEST_P(ReplyMatcherWindow, EqualRefusal) {
    const auto busy = failure(statement_error::busy, transaction_state::idle);
    EXPECT_EQ(matcher.match(reply_form::write, busy, times(100)), reply_verdict::own);
    fence();
    EXPECT_EQ(matcher.match(reply_form::write, busy, times(GetParam().second_sent)),
              GetParam().verdict);
    EXPECT_EQ(matcher.doubt() == reply_doubt::equal_refusal,
              GetParam().verdict != reply_verdict::own);
}

INSTANTIATE_TEST_SUITE_P(
    Window, ReplyMatcherWindow,
    ::testing::Values(window_case{"at_once", 0, 110, reply_verdict::unproved},
                      window_case{"late_without_another_answer", 0, 5000, reply_verdict::unproved},
                      window_case{"after_an_early_answer", 3000, 5000, reply_verdict::unproved},
                      window_case{"after_a_late_answer", 3200, 3210, reply_verdict::own}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
