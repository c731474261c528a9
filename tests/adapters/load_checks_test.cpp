#include "jackdawvane/foundation/json_codec.hpp"

#include "standins/jackdawvane-load/measurements.hpp"
#include "standins/jackdawvane-load/order_book.hpp"
#include "standins/jackdawvane-load/session_view.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct book_case {
    const char* name;
    order_result result;
    unsigned runs; ///< Occurrences of the order in the primary's log.
    const char* violation;
};

class OrderChecks : public testing::TestWithParam<book_case> {};

/// Guards against a checker that misses an order that is lost, ran twice or ran after "not run".
TEST_P(OrderChecks, ReportExactlyTheirViolation) {
    order_book book;
    book.record("order-1", GetParam().result);
    const std::vector<std::string> log(GetParam().runs, "depot/order-1");
    const auto found = book.check({{"other"}, log});
    for (const std::string check : {"acknowledged_but_missing", "not_run_but_run", "run_twice"}) {
        EXPECT_EQ(found[check]["count"].asUInt(), check == GetParam().violation ? 1U : 0U) << check;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Load, OrderChecks,
    testing::Values(book_case{"kept", order_result::acknowledged, 1, ""},
                    book_case{"lost", order_result::acknowledged, 0, "acknowledged_but_missing"},
                    book_case{"doubled", order_result::unknown, 2, "run_twice"},
                    book_case{"unknown_run", order_result::unknown, 1, ""},
                    book_case{"unknown_not_run", order_result::unknown, 0, ""},
                    book_case{"refused", order_result::not_run, 0, ""},
                    book_case{"refused_but_run", order_result::not_run, 1, "not_run_but_run"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a failover gap that ends too early, with the old primary's answer to an order
/// that was sent before the fault.
TEST(OrderBook, GapEndsWithAnOrderSentAfterTheFault) {
    order_book book;
    const order_book::time fault{seconds{10}};
    book.acknowledge(group_id{"g1"}, fault - milliseconds{5}, fault + milliseconds{1});
    book.acknowledge(group_id{"g1"}, fault + milliseconds{2}, fault + milliseconds{700});
    EXPECT_DOUBLE_EQ(book.gap_after(fault, {})["g1"].asDouble(), 700);
    EXPECT_TRUE(book.gap_after(fault, group_id{"g2"}).empty());
    EXPECT_TRUE(book.gap_after(fault + seconds{5}, {})["g1"].isNull());
}

/// Guards against a reference that counts justified refusals as wrongful, or wrongful as justified.
TEST(ReferenceBucket, CountsRateAndBurst) {
    reference_bucket bucket{2, 3};
    const order_book::time now{seconds{100}};
    for (const bool within : {true, true, true, false}) {
        EXPECT_EQ(bucket.take(now), within);
    }
    EXPECT_TRUE(bucket.take(now + milliseconds{500}));
    EXPECT_FALSE(bucket.take(now + milliseconds{600}));
}

Json::Value answer(const session_view& view, const char* own, int counter) {
    auto results = view.read();
    results[0]["value"] = own == nullptr ? Json::Value{} : Json::Value{own};
    results[1]["value"] = counter;
    return results;
}

struct read_case {
    const char* name;
    const char* own;
    int counter;
    bool accepted;
};

class SessionReads : public testing::TestWithParam<read_case> {};

/// Guards against a check that accepts stale reads, other sessions' values or backward reads.
TEST_P(SessionReads, AreCheckedAgainstTheSession) {
    session_view view{"s", "p"};
    for (int counter = 4; counter < 6; ++counter) {
        auto written = view.next_write();
        written[1]["value"] = counter;
        EXPECT_FALSE(view.check_write(written));
    }
    const auto read = answer(view, GetParam().own, GetParam().counter);
    EXPECT_EQ(!view.check_read(read, true), GetParam().accepted);
}

INSTANTIATE_TEST_SUITE_P(Load, SessionReads,
                         testing::Values(read_case{"present", "s#2", 5, true},
                                         read_case{"later_counter", "s#2", 9, true},
                                         read_case{"stale_write", "s#1", 5, false},
                                         read_case{"missing_write", nullptr, 5, false},
                                         read_case{"backward_counter", "s#2", 4, false},
                                         read_case{"never_written", "s#3", 5, false},
                                         read_case{"foreign", "t#2", 5, false}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a check that accepts the answer to another request.
TEST(SessionView, ForeignAnswersAreNoticed) {
    session_view view{"s", "p"};
    session_view other{"t", "p"};
    EXPECT_TRUE(view.check_read(answer(other, nullptr, 0), true));
    const auto own = view.next_write();
    const auto foreign = other.next_write();
    EXPECT_NE(own, foreign);
    EXPECT_TRUE(view.check_write(foreign));
}

/// Guards against a late abandoned write that is reported as a lost own write.
TEST(SessionView, AbandonedKeyIsNotReadAgain) {
    session_view view{"s", "p"};
    const auto before = view.next_write();
    view.abandon_key();
    EXPECT_NE(view.next_write()[0]["key"], before[0]["key"]);
}

/// Guards against quantiles that are off by more than one bin.
TEST(LatencyHistogram, QuantilesAreWithinABin) {
    latency_histogram histogram;
    for (int ms = 1; ms <= 100; ++ms) {
        histogram.add(milliseconds{ms});
    }
    EXPECT_NEAR(histogram.quantile(0.5), 50'000, 600);
    EXPECT_NEAR(histogram.quantile(0.99), 99'000, 1'000);
    EXPECT_DOUBLE_EQ(histogram.quantile(1), 100'000);
}

} // namespace
} // namespace jackdawvane::standin
