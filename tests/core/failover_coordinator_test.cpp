#include <algorithm>

#include "failover_fixture.hpp"

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

TEST_F(FailoverCoordinator, LeavesAHealthyPrimaryAlone) {
    run(0, 3000);
    EXPECT_TRUE(promotions.empty());
    EXPECT_FALSE(sent("r1", command_kind::hold));
}

TEST_F(FailoverCoordinator, PromotesTheLongestLogOfACrashedPrimaryWithTheFence) {
    run(0, 500);
    crash("p", at(500));
    run(500, 1800);
    ASSERT_FALSE(promotions.empty());
    EXPECT_EQ(promotions.front().backend, backend_server_id{"r1"});
    EXPECT_EQ(promotions.front().fence, 41U);
    EXPECT_TRUE(sent("r1", command_kind::hold));
    EXPECT_TRUE(sent("r2", command_kind::hold));
}

// Other VMs may hold unexpired proofs of a primary that does not answer this VM but still serves
// them.
TEST_F(FailoverCoordinator, WaitsForProofsOfASilentPrimaryToRunOut) {
    run(0, 500);
    silent.insert("p");
    std::optional<std::int64_t> held;
    std::int64_t now = 500;
    for (; promotions.empty() && now < 4000; now += 25) {
        step(now);
        if (!held && sent("r1", command_kind::hold) && sent("r2", command_kind::hold)) {
            held = now;
        }
    }
    ASSERT_TRUE(held);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_GE(now - 25 - *held, 800); // The validity of a proof.
}

/// Guards against a promotion beside a primary that serves other VMs, because a cut refuses the
/// coordinator's connections to it (issue 37).
TEST_F(FailoverCoordinator, RefusingPrimaryIsReplacedOnlyAfterProofsHaveExpired) {
    run(0, 500);
    crash("p", at(500));
    std::optional<std::int64_t> held;
    std::int64_t now = 500;
    for (; promotions.empty() && now < 4000; now += 25) {
        step(now);
        if (!held && sent("r1", command_kind::hold) && sent("r2", command_kind::hold)) {
            held = now;
        }
    }
    ASSERT_TRUE(held);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_GE(now - 25 - *held, 800); // The validity of a proof.
}

/// Guards against a promotion beside a primary that other VMs know and use, and the coordinator
/// does not (issue 37).
TEST_F(FailoverCoordinator, UnknownPrimaryIsReplacedOnlyAfterProofsHaveExpired) {
    register_servers(0, {"r1", "r2"});
    std::optional<std::int64_t> held;
    std::int64_t now = 0;
    for (; promotions.empty() && now < 6000; now += 25) {
        step(now);
        if (!held && sent("r1", command_kind::hold) && sent("r2", command_kind::hold)) {
            held = now;
        }
    }
    ASSERT_TRUE(held);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_GE(now - 25 - *held, 800); // The validity of a proof.
}

TEST_F(FailoverCoordinator, DoesNothingWhenTheReplicasAreSilentToo) {
    run(0, 500);
    silent = {"p", "r1", "r2"};
    run(500, 4000);
    EXPECT_TRUE(promotions.empty());
}

/// Guards against a lease holder that is short of processor time or cut off, and treats the answers
/// that it therefore gets late as failures of every primary.
TEST_F(FailoverCoordinator, AnswersThatAreAllLateSayNothingOfThePrimary) {
    run(0, 500);
    silent = {"p", "r1", "r2"};
    run(500, 1900);
    EXPECT_FALSE(coordinator.replacement_in_progress());
    EXPECT_FALSE(sent("r1", command_kind::hold));
}

/// Guards against a new lease holder that treats stale evidence as a failure of the primary: a VM
/// without the lease queries only the groups that its statements need.
TEST_F(FailoverCoordinator, NewHolderAsksBeforeItJudges) {
    run(0, 500);
    lease.paused(out.common);
    coordinator.tick(at(520), out);
    coordinator.tick(at(4990), out);
    out.common.clear();
    lease.tick(at(5000), 0, out.common);
    ASSERT_FALSE(out.common.empty());
    const auto id = std::get<store_request>(out.common.front()).id;
    lease.on_store(at(5001), {id, store_status::ok, {}, 42, {}}, out.common);
    step(5025);
    EXPECT_FALSE(coordinator.replacement_in_progress());
    run(5050, 6000);
    EXPECT_FALSE(coordinator.replacement_in_progress());
}

// Without the step-down a commit that only the leaving primary has would be lost.
TEST_F(FailoverCoordinator, LeavingPrimaryStepsDownBeforeAReplicaIsPromoted) {
    run(0, 500);
    auto leaving = registration("p");
    leaving.leaving = true;
    status["r1"].received = point(1, 8);
    state.directory.update(at(500), at(500), 2, {leaving, registration("r1"), registration("r2")});
    status["p"].received = point(1, 12);
    run(500, 700);
    EXPECT_TRUE(sent("p", command_kind::step_down));
    EXPECT_TRUE(promotions.empty());
    status["r2"].received = point(1, 12);
    run(700, 900);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_EQ(promotions.front().backend, backend_server_id{"r2"});
}

/// Guards against a primary that stays in an evacuated domain, or is moved to another server of it
/// although one outside has the same log.
TEST_F(FailoverCoordinator, PrimaryOfAnEvacuatedDomainMovesOutside) {
    place_servers({{"p", "d1"}, {"r1", "d1"}, {"r2", "d2"}});
    run(0, 500);
    evacuate(500, {"d1"});
    status["p"].received = point(1, 12);
    status["r1"].received = point(1, 12);
    run(500, 700);
    EXPECT_TRUE(sent("p", command_kind::step_down));
    EXPECT_TRUE(promotions.empty()) << "no server outside has the whole log";
    status["r2"].received = point(1, 12);
    run(700, 900);
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_EQ(promotions.front().backend, backend_server_id{"r2"});
}

/// Guards against moving a primary within an evacuated domain, which interrupts its group in vain.
TEST_F(FailoverCoordinator, PrimaryStaysWhereNoServerOutsideCanLead) {
    place_servers({{"p", "d1"}, {"r1", "d1"}, {"r2", "d2"}});
    run(0, 500);
    evacuate(500, {"d1", "d2"});
    run(500, 3000);
    EXPECT_FALSE(sent("p", command_kind::step_down));
    EXPECT_TRUE(promotions.empty());
    evacuate(3000, {"d1"});
    run(3000, 3100);
    EXPECT_TRUE(sent("p", command_kind::step_down)) << "r2 may lead again";
}

/// Guards against moving only one group's primary when the domain has those of all groups.
TEST_F(FailoverCoordinator, AllPrimariesOfAnEvacuatedDomainMove) {
    place_servers({{"p", "d1"}, {"r1", "d2"}, {"r2", "d3"}}, {{"hp", "d1"}, {"hr", "d2"}});
    status["hp"] = primary_status(1, point(1, 5));
    status["hr"] = replica_status(1, point(1, 5));
    run(0, 500);
    evacuate(500, {"d1"});
    run(500, 900);
    std::set<backend_server_id> promoted;
    for (const auto& each : promotions) {
        promoted.insert(each.backend);
    }
    EXPECT_EQ(promoted, (std::set{backend_server_id{"r1"}, backend_server_id{"hr"}}));
}

TEST_F(FailoverCoordinator, CancelledEvacuationMovesNoPrimary) {
    place_servers({{"p", "d1"}, {"r1", "d2"}, {"r2", "d2"}});
    run(0, 500);
    evacuate(500, {"d1"});
    evacuate(510, {});
    run(525, 3000);
    EXPECT_FALSE(sent("p", command_kind::step_down));
}

TEST_F(FailoverCoordinator, TriesAnotherReplicaWhenTheFirstIsNotRunning) {
    run(0, 500);
    crash("p", at(500));
    run(500, 1800);
    ASSERT_EQ(promotions.size(), 1U);
    coordinator.on_promotion(at(1800), {group_id{"g"}, backend_server_id{"r1"}, false, true}, out);
    run(1800, 2200);
    ASSERT_EQ(promotions.size(), 2U);
    EXPECT_EQ(promotions.back().backend, backend_server_id{"r2"});
}

TEST_F(FailoverCoordinator, OldPrimaryThatComesBackStepsDown) {
    run(0, 500);
    crash("p", at(500));
    run(500, 1800);
    ASSERT_EQ(promotions.size(), 1U);
    coordinator.on_promotion(at(1800), {group_id{"g"}, backend_server_id{"r1"}, true, false}, out);
    complete_promotion("r1", 2);
    status["p"] = primary_status(1, point(1, 10));
    down.clear();
    commands.clear();
    run(1800, 2300);
    EXPECT_TRUE(sent("p", command_kind::step_down));
}

/// Guards against a replica that proves a silent old primary again, because it was resumed first.
TEST_F(FailoverCoordinator, ReplicaStaysHeldUntilTheOldPrimaryHasSteppedDown) {
    const auto now = replace_silent_primary();
    run(now, now + 3000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    silent.clear();
    run(now + 3000, now + 4000);
    EXPECT_EQ(status["p"].role, backend_role::replica);
    EXPECT_TRUE(sent("r2", command_kind::resume));
}

/// Guards against a replica that proves the old primary again, because a cut refuses the
/// coordinator's connections to that primary (issue 37).
TEST_F(FailoverCoordinator, ReplicaStaysHeldWhileAnEarlierPrimaryRefuses) {
    const auto now = replace_silent_primary();
    run(now, now + 1000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    crash("p", at(now + 1000));
    run(now + 1000, now + 4000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    down.clear();
    silent.clear();
    run(now + 4000, now + 5000);
    EXPECT_EQ(status["p"].role, backend_role::replica);
    EXPECT_TRUE(sent("r2", command_kind::resume));
}

/// Guards against an old primary whose registration has lapsed in a cut and that serves after it.
TEST_F(FailoverCoordinator, LapsedRegistrationOfAnOldPrimaryIsNoEvidenceForAWhile) {
    const auto now = replace_silent_primary();
    register_servers(now, {"r1", "r2"});
    run(now, now + 8000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    run(now + 8000, now + 16'000);
    EXPECT_TRUE(sent("r2", command_kind::resume));
}

/// Guards against a replica that stays held for good when the coordinator dies past the takeover.
TEST_F(FailoverCoordinator, ReplicaHeldForTheTermThatAnotherCoordinatorEndedIsResumed) {
    status["r1"] = primary_status(2, point(1, 10));
    status["r2"] = replica_status(1, point(1, 10), 2);
    silent.insert("p");
    run(0, 1000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    silent.clear();
    status["p"] = replica_status(2, point(1, 10));
    run(1000, 3000);
    EXPECT_TRUE(sent("r2", command_kind::resume));
}

/// Guards against a promotion call of an earlier coordinator that takes effect after the resume.
TEST_F(FailoverCoordinator, UnfinishedPromotionKeepsItsHoldWhileItsCallMayTakeEffect) {
    status["r1"].held_term = term{2};
    status["r2"].held_term = term{2};
    run(0, 4000);
    EXPECT_FALSE(sent("r1", command_kind::resume));
    EXPECT_FALSE(sent("r2", command_kind::resume));
    silent.insert("r1");
    run(4000, 8000);
    EXPECT_FALSE(sent("r2", command_kind::resume)) << "r1 may have been promoted";
    silent.clear();
    run(8000, 10'000);
    EXPECT_TRUE(sent("r1", command_kind::resume));
    EXPECT_TRUE(sent("r2", command_kind::resume));
}

// A holder whose lease may have expired must not act, as another VM may hold the lease.
TEST_F(FailoverCoordinator, StopsWithoutTheLease) {
    run(0, 500);
    lease.paused(out.common);
    crash("p", at(500));
    const auto now = at(600);
    coordinator.tick(now, out);
    EXPECT_FALSE(coordinator.replacement_in_progress());
}

class LateAnswer : public FailoverCoordinator {
  protected:
    /// Answers of the replicas arrive before the first tick after a pause that outlasts the lease.
    void answer_after_the_lease(std::int64_t milliseconds) {
        out = {};
        ASSERT_FALSE(lease.held(at(milliseconds)));
        for (const auto* name : {"r1", "r2"}) {
            coordinator.on_control(at(milliseconds),
                                   {backend_server_id{name}, command_kind::status, status[name]},
                                   out);
        }
    }
    void expect_nothing_sent() const {
        EXPECT_TRUE(out.sessions.empty());
        for (const auto& each : out.common) {
            EXPECT_FALSE(std::holds_alternative<send_to_peer>(each));
        }
    }
};

/// Guards against a promotion that the next holder of the lease knows nothing of (issue 37).
TEST_F(LateAnswer, AfterTheLeaseCallsForNoPromotion) {
    run(0, 500);
    silent.insert("p");
    run(500, 1500);
    ASSERT_TRUE(promotions.empty());
    ASSERT_EQ(status["r2"].held_term, term{2});
    answer_after_the_lease(6000);
    expect_nothing_sent();
}

/// Guards against holds that the next holder of the lease knows nothing of (issue 37).
TEST_F(LateAnswer, AfterTheLeaseHoldsNoReplica) {
    state.regions[vm("b", "d2").place.domain] = region_id{};
    state.live.push_back(vm("b", "d2"));
    run(0, 500);
    silent = {"p", "r2"};
    run(500, 2000);
    ASSERT_EQ(status["r1"].held_term, term{2});
    ASSERT_TRUE(coordinator.replacement_in_progress());
    answer_after_the_lease(6000);
    expect_nothing_sent();
}

/// Guards against an attempt that goes on although another VM may have held the lease in between.
TEST_F(LateAnswer, UnderANewLeaseDoesNotContinueTheAttempt) {
    run(0, 500);
    silent.insert("p");
    run(500, 1500);
    ASSERT_EQ(status["r2"].held_term, term{2});
    answer_after_the_lease(6000);
    out = {};
    lease.tick(at(6000), 0, out.common);
    lease.tick(at(8000), 0, out.common);
    ASSERT_FALSE(out.common.empty());
    const auto* request = std::get_if<store_request>(&out.common.back());
    ASSERT_NE(request, nullptr);
    lease.on_store(at(8001), {request->id, store_status::ok, {}, 42, {}}, out.common);
    ASSERT_TRUE(lease.held(at(8001)));
    out = {};
    coordinator.on_control(at(8001), {backend_server_id{"r1"}, command_kind::status, status["r1"]},
                           out);
    expect_nothing_sent();
    coordinator.tick(at(8001), out);
    expect_nothing_sent();
}

} // namespace
} // namespace jackdawvane
