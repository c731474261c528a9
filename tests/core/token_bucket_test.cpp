#include "jackdawvane/limits/token_bucket.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

time_point at(std::int64_t milliseconds) {
    return time_point{from_milliseconds(milliseconds)};
}

/// Guards against a new holder that starts with tokens that were never granted to it.
TEST(TokenBucket, StartsEmptyAndRefillsUpToItsCapacity) {
    token_bucket bucket;
    bucket.set_limits(at(0), 10, 5);
    EXPECT_FALSE(bucket.take(at(0), 1));
    EXPECT_EQ(bucket.time_of(at(0), 1), at(100) + duration{1});
    EXPECT_TRUE(bucket.take(at(100), 1));
    EXPECT_DOUBLE_EQ(bucket.tokens(at(5000)), 5);
    EXPECT_EQ(bucket.time_of(at(5000), 6), no_deadline);
}

/// Guards against a donor that refills the capacity of tokens in transit: the burst is exceeded.
TEST(TokenBucket, TokensInTransitOccupyCapacity) {
    token_bucket bucket;
    bucket.set_limits(at(0), 10, 5);
    EXPECT_DOUBLE_EQ(bucket.send(at(1000), 3), 3);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(9000)), 2);
    bucket.settle(at(9000), 3);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(9000)), 2);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(9100)), 3);
}

/// Guards against a receiver that holds more than its own capacity.
TEST(TokenBucket, AddedTokensStopAtTheFreeCapacity) {
    token_bucket bucket;
    bucket.set_limits(at(0), 10, 5);
    EXPECT_DOUBLE_EQ(bucket.send(at(500), 2), 2);
    bucket.add(at(500), 100);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(500)), 3);
}

/// Guards against a lowered share that keeps its tokens, and a raised one that starts full.
TEST(TokenBucket, LoweringDropsTokensAndRaisingAddsNone) {
    token_bucket bucket;
    bucket.set_limits(at(0), 10, 5);
    bucket.set_limits(at(1000), 1, 2);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(1000)), 2);
    bucket.set_limits(at(1000), 10, 50);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(1000)), 2);
}

/// Guards against time before a rate change that is counted at the new rate.
TEST(TokenBucket, RefillsAtTheRateOfItsTime) {
    token_bucket bucket;
    bucket.set_limits(at(0), 1, 100);
    bucket.set_limits(at(1000), 10, 100);
    EXPECT_DOUBLE_EQ(bucket.tokens(at(2000)), 11);
}

} // namespace
} // namespace jackdawvane
