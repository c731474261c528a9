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

// A holder whose lease may have expired must not act, as another VM may hold the lease.
TEST_F(FailoverCoordinator, StopsWithoutTheLease) {
    run(0, 500);
    lease.paused(out.common);
    crash("p", at(500));
    const auto now = at(600);
    coordinator.tick(now, out);
    EXPECT_FALSE(coordinator.replacement_in_progress());
}

TEST(CoordinatorLease, EndsByItsOwnClockBeforeTheStoreCanGiveItAway) {
    id_sequence<request_id> ids;
    coordinator_lease lease{vm_id{"a"}, {}, ids};
    actions out;
    lease.tick(at(0), 0, out);
    const auto id = std::get<store_request>(out.front()).id;
    ASSERT_TRUE(lease.on_store(at(900), {id, store_status::ok, {}, 7, {}}, out));
    EXPECT_TRUE(lease.held(at(3499)));
    EXPECT_FALSE(lease.held(at(3500))); // 4 s from the request, less 4 s / 8.
}

struct coordinator_rank_case {
    std::size_t rank;
    int first_attempt_ms;     ///< At the latest.
    std::size_t max_attempts; ///< In one minute.
};

class CoordinatorRanks : public ::testing::TestWithParam<coordinator_rank_case> {
  protected:
    /// Times in ms of the acquire attempts in one minute. The store refuses them or, without
    /// @a answered, does not answer.
    static std::vector<int> attempt_times(bool answered) {
        id_sequence<request_id> requests;
        coordinator_lease lease{vm_id{"a"}, {}, requests};
        std::vector<int> found;
        for (int ms = 0; ms < 60'000; ms += 50) {
            actions out;
            lease.tick(at(ms), GetParam().rank, out);
            for (const auto& each : out) {
                if (const auto* request = std::get_if<store_request>(&each)) {
                    found.push_back(ms);
                    actions answers;
                    const store_answer refusal{request->id, store_status::conflict, {}, 0, {}};
                    EXPECT_TRUE(!answered || lease.on_store(at(ms), refusal, answers));
                }
            }
        }
        return found;
    }
};

/// Guards against a lease that no VM acquires while the VMs of the lowest ranks are cut off from
/// the store, and against a whole fleet that requests it often, also when the store does not
/// answer.
TEST_P(CoordinatorRanks, EveryVmTriesAndLaterOnesRarely) {
    for (const bool answered : {true, false}) {
        const auto times = attempt_times(answered);
        ASSERT_FALSE(times.empty());
        EXPECT_LE(times.front(), GetParam().first_attempt_ms);
        EXPECT_LE(times.size(), GetParam().max_attempts);
    }
}

INSTANTIATE_TEST_SUITE_P(CoordinatorLease, CoordinatorRanks,
                         ::testing::Values(coordinator_rank_case{0, 0, 60},
                                           coordinator_rank_case{2, 0, 20},
                                           coordinator_rank_case{3, 4'000, 15},
                                           coordinator_rank_case{20, 21'000, 2}));

/// Guards against a VM that waits according to its previous rank after VMs of lower rank have gone.
TEST(CoordinatorLease, VmThatComesFirstTriesByItsNewRank) {
    id_sequence<request_id> requests;
    coordinator_lease lease{vm_id{"a"}, {}, requests};
    const auto attempts_at = [&](int ms, std::size_t rank) {
        actions out;
        lease.tick(at(ms), rank, out);
        for (const auto& each : out) {
            if (const auto* request = std::get_if<store_request>(&each)) {
                actions answers;
                lease.on_store(at(ms), {request->id, store_status::conflict, {}, 0, {}}, answers);
                return true;
            }
        }
        return false;
    };
    EXPECT_FALSE(attempts_at(0, 6));
    EXPECT_TRUE(attempts_at(7'000, 6));
    EXPECT_FALSE(attempts_at(7'500, 0));
    EXPECT_TRUE(attempts_at(8'000, 0));
}

TEST(CoordinatorLease, RenewalThatFindsTheLeaseExpiredLosesIt) {
    id_sequence<request_id> ids;
    coordinator_lease lease{vm_id{"a"}, {}, ids};
    actions out;
    lease.tick(at(0), 0, out);
    const auto id = std::get<store_request>(out.front()).id;
    ASSERT_TRUE(lease.on_store(at(1), {id, store_status::ok, {}, 7, {}}, out));
    out.clear();
    lease.tick(at(1300), 0, out);
    const auto renewal = std::get<store_request>(out.front());
    EXPECT_EQ(renewal.operation, store_operation::keep_lease);
    lease.on_store(at(1310), {renewal.id, store_status::not_found, {}, 0, {}}, out);
    EXPECT_FALSE(lease.held(at(1311)));
}

store_answer answer_in_era(std::uint64_t era) {
    store_answer answer;
    answer.status = store_status::not_found;
    answer.era = era;
    return answer;
}

/// Lease of VM a, whose acquire request was sent at 0 ms and answered after 1 ms.
class RestoredLease : public ::testing::Test {
  protected:
    RestoredLease() {
        lease.on_store(at(0), answer_in_era(0), out);
        lease.tick(at(0), 0, out);
        request = std::get<store_request>(out.back());
    }
    bool acquire(std::uint64_t era) {
        store_answer answer{request.id, store_status::ok, {}, make_version({era, 7}), {}};
        answer.era = era;
        return lease.on_store(at(1), answer, out);
    }
    /// Time in ms of the next acquire attempt from @a first on.
    int next_attempt(int first) {
        for (int ms = first; ms < 60'000; ms += 50) {
            actions sent;
            lease.tick(at(ms), 0, sent);
            for (const auto& each : sent) {
                if (std::holds_alternative<store_request>(each)) {
                    return ms;
                }
            }
        }
        return 60'000;
    }

    id_sequence<request_id> ids;
    coordinator_lease lease{vm_id{"a"}, {}, ids};
    actions out;
    store_request request;
};

/// Guards against two coordinators after a restore, of which the copy knows only one.
TEST_F(RestoredLease, HolderThatLearnsOfANewEraHoldsNoMore) {
    ASSERT_TRUE(acquire(0));
    ASSERT_TRUE(lease.held(at(500)));
    EXPECT_FALSE(lease.on_store(at(500), answer_in_era(1), out));
    EXPECT_FALSE(lease.held(at(500)));
}

TEST_F(RestoredLease, NobodyAcquiresItWhileTheFormerHolderMayStillHoldIt) {
    lease.on_store(at(500), answer_in_era(1), out);
    EXPECT_GE(next_attempt(500), 4'500);
}

TEST_F(RestoredLease, LeaseAcquiredByTheAnswerThatShowsTheNewEraIsNotHeld) {
    acquire(1);
    EXPECT_FALSE(lease.held(at(2)));
    EXPECT_GE(next_attempt(1), 4'001);
}

/// Guards against a VM that starts just after a restore, while the former holder has not noticed.
TEST(CoordinatorLease, VmThatStartsInALaterEraWaitsToo) {
    id_sequence<request_id> ids;
    coordinator_lease lease{vm_id{"a"}, {}, ids};
    actions out;
    lease.on_store(at(0), answer_in_era(3), out);
    lease.tick(at(3'950), 0, out);
    EXPECT_TRUE(std::none_of(out.begin(), out.end(), [](const auto& each) {
        return std::holds_alternative<store_request>(each);
    }));
}

} // namespace
} // namespace jackdawvane
