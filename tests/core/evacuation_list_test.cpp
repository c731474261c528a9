#include "jackdawvane/routing/evacuation_list.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;

const failure_domain_id zone{"d1"};

evacuation_list five_seconds() {
    return evacuation_list{{std::chrono::seconds{5}, std::chrono::seconds{1}}};
}

/// Guards against counting the bound from the time at which this VM learned of the evacuation.
TEST(EvacuationList, BoundCountsFromTheLastListWithoutTheDomain) {
    auto list = five_seconds();
    list.update(at(1000), {1, {}});
    list.update(at(2000), {2, {zone}});
    list.update(at(3000), {3, {zone}});
    EXPECT_TRUE(list.excludes(zone));
    EXPECT_FALSE(list.blocks(at(4999), zone));
    EXPECT_TRUE(list.blocks(at(5000), zone));
    EXPECT_FALSE(list.excludes(failure_domain_id{"d2"}));
}

/// Guards against a VM that starts during an evacuation and uses the domain: the evacuation may
/// have been requested long ago.
TEST(EvacuationList, FirstListBlocksAtOnce) {
    auto list = five_seconds();
    EXPECT_FALSE(list.known());
    EXPECT_TRUE(list.blocks(at(10), zone));
    list.update(at(10), {7, {zone}});
    EXPECT_TRUE(list.blocks(at(10), zone));
    EXPECT_FALSE(list.blocks(at(10), failure_domain_id{"d2"}));
}

/// Guards against an old list, from another VM, that ends or repeats an evacuation.
TEST(EvacuationList, OlderListsAreIgnored) {
    auto list = five_seconds();
    list.update(at(0), {1, {}});
    EXPECT_EQ(list.update(at(100), {5, {zone}}).size(), 1U);
    EXPECT_TRUE(list.update(at(200), {4, {}}).empty());
    EXPECT_TRUE(list.contains(zone));
    EXPECT_TRUE(list.update(at(300), {6, {}}).empty());
    const auto ended = list.update(at(350), {7, {}});
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_FALSE(ended.front().evacuated);
    EXPECT_TRUE(list.update(at(400), {5, {zone}}).empty());
    EXPECT_FALSE(list.contains(zone));
}

/// Guards against use of a domain whose servers became cold before the evacuation was cancelled:
/// the servers may have been read before that.
TEST(EvacuationList, EndsWithTheSecondVersionWithoutTheDomain) {
    auto list = five_seconds();
    list.update(at(0), {1, {zone}});
    EXPECT_TRUE(list.update(at(900), {2, {}}).empty());
    EXPECT_TRUE(list.update(at(950), {2, {}}).empty()) << "the same list, from another VM";
    EXPECT_TRUE(list.blocks(at(960), zone));
    EXPECT_EQ(list.update(at(1800), {3, {}}).size(), 1U);
    EXPECT_FALSE(list.excludes(zone));
}

/// Guards against an evacuation that ends because its list has become old.
TEST(EvacuationList, LastListStaysInEffect) {
    auto list = five_seconds();
    list.update(at(0), {1, {}});
    list.update(at(900), {2, {zone}});
    EXPECT_TRUE(list.blocks(at(3'600'000), zone));
}

/// Guards against new behaviour on deployments without evacuations.
TEST(EvacuationList, HasNoEffectWithoutATimeout) {
    evacuation_list list;
    list.update(at(0), {1, {zone}});
    EXPECT_TRUE(list.known());
    EXPECT_TRUE(list.empty());
    EXPECT_FALSE(list.blocks(at(9000), zone));
}

} // namespace
} // namespace jackdawvane
