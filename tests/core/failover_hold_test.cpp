#include <algorithm>

#include "failover_fixture.hpp"

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

/// Guards against a silent replica that is left out of the hold and goes on proving the primary.
TEST_F(FailoverCoordinator, PromotionWaitsUntilEveryRegisteredReplicaIsHeld) {
    run(0, 500);
    silent = {"p", "r2"};
    run(500, 7000);
    EXPECT_TRUE(promotions.empty());
    EXPECT_FALSE(sent("r1", command_kind::resume));
    register_servers(7000, {"p", "r1"});
    run(7000, 12'000);
    EXPECT_FALSE(promotions.empty());
}

/// Guards against a replica that is left out of the hold because a cut refuses the coordinator's
/// connections to it, and that goes on proving the primary to other VMs (issue 37).
TEST_F(FailoverCoordinator, RefusingReplicaIsHeldOrWaitedFor) {
    run(0, 500);
    silent = {"p"};
    crash("r2", at(500));
    run(500, 7000);
    EXPECT_TRUE(promotions.empty());
    down.clear();
    run(7000, 9000);
    EXPECT_TRUE(sent("r2", command_kind::hold));
    EXPECT_EQ(promotions.size(), 1U);
}

/// Guards against a replica that VMs with an older list use as proof: its refusal before it left
/// the registry does not show that it has ended (issue 37).
TEST_F(FailoverCoordinator, RefusingReplicaThatLeftTheRegistryIsWaitedFor) {
    run(0, 500);
    silent = {"p"};
    crash("r2", at(500));
    run(500, 1000);
    register_servers(1000, {"p", "r1"});
    run(1000, 4300);
    EXPECT_TRUE(promotions.empty());
    run(4300, 6000);
    EXPECT_EQ(promotions.size(), 1U);
}

/// Guards against a group without a primary for good: a primary that has crashed and returns under
/// another id is no replica that could be held.
TEST_F(FailoverCoordinator, PrimaryThatReturnsUnderAnotherIdDuringTheHoldStepsDown) {
    run(0, 500);
    crash("p", at(500));
    silent = {"r2"};
    run(500, 2000);
    EXPECT_TRUE(promotions.empty());
    status["p2"] = primary_status(1, point(1, 12));
    silent.clear();
    register_servers(2000, {"p2", "r1", "r2"});
    run(2000, 2500);
    EXPECT_TRUE(sent("p2", command_kind::step_down));
    EXPECT_EQ(status["p2"].held_term, term{2});
    run(2500, 3500);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_EQ(promotions.front().backend, backend_server_id{"p2"}) << "it has the longest log";
}

/// Guards against an attempt that waits for good to hold the server that its own call has promoted.
TEST_F(FailoverCoordinator, AttemptEndsWhenItsCallHasTakenEffectWithoutAnAnswer) {
    run(0, 500);
    silent = {"p"};
    std::int64_t now = 500;
    for (; promotions.empty() && now < 4000; now += 25) {
        step(now);
    }
    ASSERT_EQ(promotions.size(), 1U);
    status["r1"] = primary_status(2, point(1, 10));
    status["r2"].held_term = term{2};
    status["r3"] = replica_status(2, point(1, 9));
    register_servers(now, {"p", "r1", "r2", "r3"});
    run(now, now + 3000);
    EXPECT_FALSE(coordinator.replacement_in_progress());
    EXPECT_EQ(promotions.size(), 1U);
}

/// Guards against a replica that registers during a promotion and proves the old primary.
TEST_F(FailoverCoordinator, ReplicaThatRegistersDuringAPromotionIsHeld) {
    run(0, 500);
    silent = {"p"};
    std::int64_t now = 500;
    for (; !sent("r1", command_kind::hold) && now < 3000; now += 25) {
        step(now);
    }
    status["r3"] = replica_status(1, point(1, 9));
    register_servers(now, {"p", "r1", "r2", "r3"});
    for (; promotions.empty() && now < 6000; now += 25) {
        step(now);
    }
    EXPECT_EQ(promotions.size(), 1U);
    EXPECT_TRUE(sent("r3", command_kind::hold));
}

/// Guards against a promotion that goes on as soon as a silent replica's registration has ended:
/// VMs with an older list still use it as proof.
TEST_F(FailoverCoordinator, ReplicaThatLeftTheRegistryIsWaitedFor) {
    run(0, 500);
    silent = {"p", "r2"};
    register_servers(500, {"p", "r1"});
    run(500, 3800);
    EXPECT_TRUE(promotions.empty());
    run(3800, 5000);
    EXPECT_EQ(promotions.size(), 1U);
}

/// Guards against a group without a primary because a link between the coordinator and a replica is
/// down, and against a hold that the coordinator does not learn of.
TEST_F(FailoverCoordinator, ReplicaIsHeldByAnotherVmOnBehalfOfTheCoordinator) {
    state.regions[vm("b", "d2").place.domain] = region_id{};
    state.live.push_back(vm("b", "d2"));
    run(0, 500);
    silent = {"p", "r2"};
    bool requested = false;
    for (std::int64_t now = 500; promotions.empty() && now < 5000; now += 25) {
        step(now);
        for (const auto& each : actions{out.common}) {
            const auto* sent = std::get_if<send_to_peer>(&each);
            const auto* query =
                sent == nullptr ? nullptr : std::get_if<observation_query>(&sent->message);
            if (query == nullptr || query->hold_servers.empty()) {
                continue;
            }
            EXPECT_EQ(query->hold_servers, std::vector{backend_server_id{"r2"}});
            requested = true;
            observation_reply reply;
            reply.number = query->number;
            const auto held = replica_status(1, point(1, 9), query->hold_term.value());
            reply.members = {{backend_server_id{"r2"}, group_id{"g"}, held, duration{0}}};
            observer.on_answer(at(now + 5), sent->vm, reply, out);
        }
    }
    EXPECT_TRUE(requested);
    EXPECT_EQ(promotions.size(), 1U);
}

/// Guards against a replica that stays held, and a group without a proof, after a primary that was
/// silent for a moment answers again.
TEST_F(FailoverCoordinator, AttemptThatIsNotNeededResumesItsReplicas) {
    run(0, 500);
    silent = {"p", "r2"};
    run(500, 2000);
    EXPECT_EQ(status["r1"].held_term, term{2});
    silent = {"r2"};
    run(2000, 4000);
    EXPECT_TRUE(promotions.empty());
    EXPECT_FALSE(coordinator.replacement_in_progress());
    EXPECT_EQ(status["r1"].held_term, term{});
}

} // namespace
} // namespace jackdawvane
