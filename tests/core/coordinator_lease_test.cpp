#include "jackdawvane/sessions/coordinator_lease.hpp"

#include <algorithm>
#include <optional>
#include <string>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

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
