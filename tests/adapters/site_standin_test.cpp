#include "standin_test.hpp"
#include "standins/jackdawvane-site/lease_store.hpp"
#include "standins/jackdawvane-site/session_group.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

using outcome = lease_store::outcome;

struct condition_case {
    const char* name;
    std::uint64_t expected; ///< 0: no item, 1: current revision, 2: a different revision.
    bool exists;
    outcome result;
};

class LeaseStoreConditions : public testing::TestWithParam<condition_case> {};

/// Guards against a change that is applied although its precondition fails.
TEST_P(LeaseStoreConditions, ChangeIsMadeOnlyOnTheExpectedRevision) {
    lease_store store;
    if (GetParam().exists) {
        store.put("a", "old");
    }
    const auto present = store.find("a") == nullptr ? 0 : store.find("a")->revision;
    store_transaction change;
    change.expected = {{"a", GetParam().expected == 0 ? 0 : present + GetParam().expected - 1}};
    change.writes = {{"a", "new", 0}};
    EXPECT_EQ(store.apply(change), GetParam().result);
    EXPECT_EQ(store.find("a") != nullptr && store.find("a")->value == "new",
              GetParam().result == outcome::done);
}

INSTANTIATE_TEST_SUITE_P(Site, LeaseStoreConditions,
                         testing::Values(condition_case{"created", 0, false, outcome::done},
                                         condition_case{"created_twice", 0, true,
                                                        outcome::conflict},
                                         condition_case{"changed", 1, true, outcome::done},
                                         condition_case{"outdated", 2, true, outcome::conflict}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against an item that outlives its lease, or an expiry that watches do not report.
TEST(LeaseStore, ItemEndsWithItsLease) {
    lease_store store;
    const lease_store::time start{};
    const auto lease = store.grant(milliseconds{1000}, start);
    store.put("a", "x", lease);
    const auto seen = store.revision();
    EXPECT_TRUE(store.renew(lease, start + milliseconds{900}));
    store.expire(start + milliseconds{1500});
    EXPECT_NE(store.find("a"), nullptr);
    store.expire(start + milliseconds{1900});
    EXPECT_EQ(store.find("a"), nullptr);
    EXPECT_FALSE(store.renew(lease, start + milliseconds{1900}));
    const auto changes = store.changes("a", seen);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_FALSE(changes->front().item);
    store.compact_history();
    EXPECT_FALSE(store.changes("a", seen));
}

class SessionGroup : public testing::Test {
  protected:
    static std::vector<group_member> three_members() {
        std::vector<group_member> members(3);
        for (std::size_t i = 0; i < members.size(); ++i) {
            members[i].id = std::string{"m"} + std::to_string(i);
            members[i].lag = milliseconds{10};
        }
        return members;
    }
    static session_group::time at(int after_start) {
        return session_group::time{milliseconds{1'000'000 + after_start}};
    }
    group_member& member(const char* id) { return *group_.find(id); }

    session_group group_{"g", three_members()};
};

/// Guards against a rolled back commit that is not reported: a test's checks would miss it.
TEST_F(SessionGroup, PromotionRollsBackWhatTheNewPrimaryLacks) {
    group_.commit(member("m0"), {{"s1", "a", "1"}}, at(0));
    group_.replicate(at(20));
    group_.hold(member("m1"), 2);
    group_.commit(member("m0"), {{"s2", "a", "2"}}, at(30));
    group_.replicate(at(50));
    EXPECT_EQ(member("m1").data["a"], "1");
    EXPECT_EQ(member("m2").data["a"], "2");
    ASSERT_TRUE(group_.promote("m1"));
    group_.step_down(member("m0"), 2);
    group_.commit(member("m1"), {{"s3", "a", "3"}}, at(60));
    group_.replicate(at(80));
    EXPECT_EQ(member("m0").data["a"], "3");
    EXPECT_EQ(member("m2").position(), "2.2");
    EXPECT_TRUE(group_.rolled_back().contains("s2"));
}

/// Guards against a crashed primary that restarts as primary after another has been promoted.
TEST_F(SessionGroup, ReplacedPrimaryComesBackAsReplica) {
    group_.crash(member("m0"));
    EXPECT_FALSE(group_.promote("m0"));
    ASSERT_TRUE(group_.promote("m2"));
    group_.restart(member("m0"), 1);
    EXPECT_FALSE(member("m0").primary);
    EXPECT_EQ(group_.current_primary()->id, "m2");
}

/// Guards against an old primary that never steps down.
TEST_F(SessionGroup, PrimaryThatReachesItsSuccessorEndsAfterASecond) {
    ASSERT_TRUE(group_.promote("m1"));
    group_.replicate(at(0));
    EXPECT_TRUE(member("m0").primary);
    group_.replicate(at(1000));
    EXPECT_FALSE(member("m0").primary);
}

} // namespace
} // namespace jackdawvane::standin
