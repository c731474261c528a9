#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <algorithm>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

/// @brief A lease holder with a primary and two replicas whose answers the test controls.
class FailoverCoordinator : public ::testing::Test {
  protected:
    FailoverCoordinator()
        : observer{state, {}, connections, requests}, lease{vm_id{"a"}, {}, requests},
          coordinator{state, observer, lease} {
        state.self = vm("a");
        state.live = {state.self};
        state.configuration = session_configuration();
        state.directory.update(at(0), at(0), 1,
                               {registration("p"), registration("r1"), registration("r2")});
        state.update_group_members();
        status["p"] = primary_status(1, point(1, 10));
        status["r1"] = replica_status(1, point(1, 10));
        status["r2"] = replica_status(1, point(1, 9));
        lease.tick(at(0), 0, out.common);
        for (const auto& each : out.common) {
            if (const auto* request = std::get_if<store_request>(&each)) {
                fence_answer = {request->id, store_status::ok, {}, 41, {}};
            }
        }
        EXPECT_TRUE(lease.on_store(at(1), fence_answer, out.common));
        observer.set_observes_all(true);
    }

    /// Runs one tick at @a milliseconds; servers that are up answer immediately.
    void step(std::int64_t milliseconds) {
        const auto now = at(milliseconds);
        keep_lease(now);
        observer.tick(now, out);
        coordinator.tick(now, out);
        for (int i = 0; i < 4; ++i) {
            answer_all(now);
            for (const auto& each : observer.take_answers()) {
                coordinator.on_control(now, each, out);
            }
        }
    }
    void run(std::int64_t from, std::int64_t until) {
        for (auto now = from; now < until; now += 25) {
            step(now);
        }
    }
    void keep_lease(time_point now) {
        out.common.clear();
        lease.tick(now, 0, out.common);
        for (const auto& each : actions{out.common}) {
            if (const auto* request = std::get_if<store_request>(&each)) {
                EXPECT_TRUE(
                    lease.on_store(now, {request->id, store_status::ok, {}, 0, {}}, out.common));
            }
        }
    }
    void answer_all(time_point now) {
        for (const auto& action : std::exchange(out.sessions, {})) {
            if (const auto* opened = std::get_if<open_server_connection>(&action)) {
                names[opened->connection] = opened->expected.str();
                if (down.contains(opened->expected.str())) {
                    observer.on_closed(now, {opened->connection, close_reason::refused, {}}, out);
                } else {
                    observer.on_ready(now, {opened->connection, {}}, out);
                }
            } else if (const auto* sent = std::get_if<send_to_server>(&action)) {
                answer(now, *sent);
            } else if (const auto* promoted = std::get_if<promote_server>(&action)) {
                promotions.push_back(*promoted);
            }
        }
    }
    void answer(time_point now, const send_to_server& sent) {
        const auto name = names[sent.connection];
        for (const auto& command : sent.commands) {
            if (silent.contains(name)) {
                continue;
            }
            auto& current_status = status[name];
            commands.emplace_back(name, command.kind);
            if (command.kind == command_kind::hold) {
                current_status.held_term = command.term;
            } else if (command.kind == command_kind::resume) {
                current_status.held_term = term{};
            } else if (command.kind == command_kind::step_down) {
                current_status.role = backend_role::replica;
            }
            observer.on_reply(now, {sent.connection, {}, current_status}, out);
        }
    }
    void crash(const char* name, time_point now) {
        down.insert(name);
        for (const auto& [connection, server] : names) {
            if (server == name) {
                observer.on_closed(now, {connection, close_reason::lost, {}}, out);
            }
        }
    }
    /// Applies a promotion: @a name is primary in term @a in_term and no server is held.
    void complete_promotion(const std::string& name, std::uint64_t in_term) {
        status[name] = primary_status(in_term, status[name].received);
        for (auto& [other, other_status] : status) {
            other_status.term = term{in_term};
            other_status.held_term = term{};
        }
    }
    void register_servers(std::int64_t milliseconds, const std::vector<const char*>& servers) {
        std::vector<backend_registration> list;
        for (const auto* name : servers) {
            list.push_back(registration(name));
        }
        state.directory.update(at(milliseconds), at(milliseconds), ++registry_version, list);
        state.update_group_members();
    }
    using server_domains = std::map<const char*, const char*>;
    /// Places the servers of the group `g` and of a second group `h` in domains.
    void place_servers(const server_domains& of_g, const server_domains& of_h = {}) {
        std::vector<backend_registration> list;
        for (const auto& [group, domains] : {std::pair{"g", of_g}, {"h", of_h}}) {
            for (const auto& [name, domain] : domains) {
                list.push_back(registration(name));
                list.back().group = group_id{group};
                list.back().domain = failure_domain_id{domain};
            }
        }
        state.directory.update(at(0), at(0), ++registry_version, list);
        state.update_group_members();
        state.evacuations = evacuation_list{{std::chrono::seconds{5}, std::chrono::seconds{1}}};
        evacuate(0, {});
    }
    void evacuate(std::int64_t milliseconds, const std::vector<const char*>& domains) {
        for (int i = 0; i < 2; ++i) { // An evacuation ends with the second list without it.
            state.evacuations.update(at(milliseconds),
                                     {++registry_version, {domains.begin(), domains.end()}});
        }
    }
    /// Replaces the silent primary `p` by `r1`, which leads term 2; `r2` stays held.
    /// @return time of the takeover
    std::int64_t replace_silent_primary() {
        run(0, 500);
        silent.insert("p");
        std::int64_t now = 500;
        for (; promotions.empty() && now < 4000; now += 25) {
            step(now);
        }
        coordinator.on_promotion(at(now), {group_id{"g"}, backend_server_id{"r1"}, true, false},
                                 out);
        status["r1"] = primary_status(2, status["r1"].received);
        step(now + 25);
        EXPECT_EQ(state.leadership(group_id{"g"}).primary(), backend_server_id{"r1"});
        return now + 25;
    }
    bool sent(const char* name, command_kind kind) const {
        return std::find(commands.begin(), commands.end(), std::pair{std::string{name}, kind}) !=
               commands.end();
    }

    fleet_state state;
    id_sequence<connection_id> connections;
    id_sequence<request_id> requests;
    group_observer observer;
    coordinator_lease lease;
    failover_coordinator coordinator;
    proxy_output out;
    store_answer fence_answer;
    std::uint64_t registry_version{1};
    std::map<connection_id, std::string> names;
    std::map<std::string, server_status> status;
    std::set<std::string> down;
    std::set<std::string> silent;
    std::vector<promote_server> promotions;
    std::vector<std::pair<std::string, command_kind>> commands;
};

TEST_F(FailoverCoordinator, LeavesAHealthyPrimaryAlone) {
    run(0, 3000);
    EXPECT_TRUE(promotions.empty());
    EXPECT_FALSE(sent("r1", command_kind::hold));
}

TEST_F(FailoverCoordinator, PromotesTheLongestLogOfACrashedPrimaryWithTheFence) {
    run(0, 500);
    crash("p", at(500));
    run(500, 1000);
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
    run(500, 1000);
    ASSERT_EQ(promotions.size(), 1U);
    coordinator.on_promotion(at(1000), {group_id{"g"}, backend_server_id{"r1"}, false, true}, out);
    run(1000, 1400);
    ASSERT_EQ(promotions.size(), 2U);
    EXPECT_EQ(promotions.back().backend, backend_server_id{"r2"});
}

TEST_F(FailoverCoordinator, OldPrimaryThatComesBackStepsDown) {
    run(0, 500);
    crash("p", at(500));
    run(500, 1000);
    coordinator.on_promotion(at(1000), {group_id{"g"}, backend_server_id{"r1"}, true, false}, out);
    complete_promotion("r1", 2);
    status["p"] = primary_status(1, point(1, 10));
    down.clear();
    commands.clear();
    run(1000, 1500);
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

TEST_F(FailoverCoordinator, ReplicaIsResumedOnceTheOldPrimaryRefusesConnections) {
    const auto now = replace_silent_primary();
    run(now, now + 1000);
    EXPECT_FALSE(sent("r2", command_kind::resume));
    crash("p", at(now + 1000));
    run(now + 1000, now + 2000);
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

// A holder whose lease may have expired must not act, as another VM may hold the lease.
TEST_F(FailoverCoordinator, StopsWithoutTheLease) {
    run(0, 500);
    lease.paused(out.common);
    crash("p", at(500));
    const auto now = at(600);
    coordinator.tick(now, out);
    EXPECT_FALSE(coordinator.replacement_in_progress());
}

} // namespace
} // namespace jackdawvane
