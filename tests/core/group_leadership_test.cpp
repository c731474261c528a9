#include "jackdawvane/sessions/group_leadership.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;
using testing::point;
using testing::primary_status;
using testing::replica_status;

const backend_server_id p{"p"};
const backend_server_id r1{"r1"};
const backend_server_id r2{"r2"};

class GroupLeadership : public ::testing::Test {
  protected:
    GroupLeadership() { leadership.set_members({p, r1, r2}); }

    void confirm_primary(std::int64_t milliseconds) {
        const auto now = at(milliseconds);
        leadership.on_status(now, now, p, primary_status(1, point(1, 5)));
        leadership.on_status(now, now, r1, replica_status(1, point(1, 5)));
    }

    group_leadership leadership;
};

// A primary that may have been replaced must not be used for reads or writes.
TEST_F(GroupLeadership, ProofRunsOut) {
    confirm_primary(0);
    EXPECT_TRUE(leadership.confirmed(at(799)));
    EXPECT_FALSE(leadership.confirmed(at(800)));
}

TEST_F(GroupLeadership, AgeCountsFromTheQuestion) {
    leadership.on_status(at(500), at(0), p, primary_status(1, point(1, 5)));
    leadership.on_status(at(500), at(0), r1, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(800)));
}

TEST_F(GroupLeadership, HeldReplicaEndsTheProof) {
    confirm_primary(0);
    leadership.on_status(at(100), at(100), r1, replica_status(1, point(1, 5), 2));
    EXPECT_FALSE(leadership.confirmed(at(100)));
}

TEST_F(GroupLeadership, HoldOfAllReplicasEndsTheTerm) {
    confirm_primary(0);
    leadership.on_hold(at(50), term{1});
    EXPECT_FALSE(leadership.confirmed(at(60)));
}

// Otherwise an abandoned promotion would leave the group without a primary permanently.
TEST_F(GroupLeadership, FreeReplicaAfterAGivenUpHoldOpensTheTermAgain) {
    confirm_primary(0);
    leadership.on_hold(at(50), term{1});
    leadership.on_status(at(1051), at(1051), r2, replica_status(1, point(1, 5)));
    confirm_primary(1051);
    EXPECT_TRUE(leadership.confirmed(at(1060)));
}

/// Guards against a replica that a hold has left out: it does not show that the hold has ended.
TEST_F(GroupLeadership, OneFreeReplicaDoesNotOpenAClosedTerm) {
    confirm_primary(0);
    leadership.on_hold(at(50), term{1});
    leadership.on_status(at(1100), at(1100), r2, replica_status(1, point(1, 5), 2));
    leadership.on_refused(at(1200), r2);
    leadership.on_status(at(1300), at(1300), p, primary_status(1, point(1, 5)));
    leadership.on_status(at(1300), at(1300), r1, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(1310)));
}

/// Guards against a primary of an earlier term that is not held and so proves its successor.
TEST_F(GroupLeadership, PrimaryOfAnEarlierTermIsNoProof) {
    confirm_primary(0);
    leadership.on_status(at(100), at(100), r1, primary_status(2, point(1, 5)));
    leadership.on_status(at(950), at(950), p, primary_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(960)));
    leadership.on_status(at(970), at(970), r2, replica_status(1, point(1, 5), 2));
    EXPECT_TRUE(leadership.confirmed(at(980)));
}

/// Guards against two primaries that are proved at once: a promotion ends the hold of a replica
/// that has not heard of it, and a VM returns from a cut with the old term.
TEST_F(GroupLeadership, ReplicaThatMissedAPromotionDoesNotProveTheOldPrimaryAgain) {
    confirm_primary(0);
    leadership.on_status(at(10), at(10), r2, replica_status(1, point(1, 5)));
    confirm_primary(7000);
    EXPECT_FALSE(leadership.confirmed(at(7010)));
    leadership.on_status(at(7100), at(7100), r2, primary_status(2, point(2, 6)));
    EXPECT_EQ(leadership.primary(), r2);
}

TEST_F(GroupLeadership, PrimaryIsProvedAfterAGapOnceEveryOtherServerWasAsked) {
    confirm_primary(0);
    confirm_primary(7000);
    leadership.on_status(at(7100), at(7100), r2, replica_status(1, point(1, 5)));
    EXPECT_TRUE(leadership.confirmed(at(7110)));
}

/// Guards against a promoted server that is taken for dead because a cut refuses connections to it
/// (issue 37).
TEST_F(GroupLeadership, RefusalIsNoAnswerOfAServerThatMayLeadAfterAGap) {
    confirm_primary(0);
    confirm_primary(7000);
    leadership.on_refused(at(7100), r2);
    EXPECT_FALSE(leadership.confirmed(at(7110)));
    leadership.on_status(at(7200), at(7200), r2, replica_status(1, point(1, 5)));
    EXPECT_TRUE(leadership.confirmed(at(7210)));
}

/// Guards against a proof, a position of the primary and an answer of it that count as newer than
/// they are: a second answer was taken for the answer to the next question (issue 37).
TEST_F(GroupLeadership, WithdrawnEvidenceProvesNothing) {
    confirm_primary(0);
    confirm_primary(500);
    leadership.withdraw(r1, at(250));
    EXPECT_FALSE(leadership.confirmed(at(510)));
    leadership.on_status(at(520), at(520), r2, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(530))) << "r1 may have been promoted";
    confirm_primary(540);
    EXPECT_TRUE(leadership.confirmed(at(550)));
    leadership.on_status(at(600), at(600), p, primary_status(1, point(1, 9)));
    ASSERT_EQ(leadership.point_covering(at(551)), point(1, 9));
    leadership.withdraw(p, at(550));
    EXPECT_EQ(leadership.point_covering(at(551)), std::nullopt);
    EXPECT_EQ(leadership.primary_answered_at(), at(550));
}

/// Guards against another replica that alone proves the primary after evidence was withdrawn.
TEST_F(GroupLeadership, OlderEvidenceOfAnotherReplicaDoesNotReplaceWithdrawnEvidence) {
    confirm_primary(0);
    leadership.on_status(at(240), at(240), r2, replica_status(1, point(1, 5)));
    confirm_primary(500);
    leadership.withdraw(r1, at(250));
    EXPECT_FALSE(leadership.confirmed(at(510)));
}

/// Guards against a log position that was sampled under a proof that has been withdrawn.
TEST_F(GroupLeadership, PositionsUnderAWithdrawnProofAreDropped) {
    confirm_primary(0);
    confirm_primary(500);
    leadership.on_status(at(600), at(600), p, primary_status(1, point(1, 9)));
    ASSERT_EQ(leadership.point_covering(at(550)), point(1, 9));
    leadership.withdraw(r1, at(250));
    EXPECT_EQ(leadership.point_covering(at(550)), std::nullopt);
}

/// Guards against a replaced primary that is proved again because its successor left the registry.
TEST_F(GroupLeadership, ListWithoutTheOthersProvesNothingAfterAGap) {
    confirm_primary(0);
    leadership.on_status(at(2500), at(2500), p, primary_status(1, point(1, 5)));
    ASSERT_FALSE(leadership.confirmed(at(2510)));
    leadership.set_members({p});
    leadership.on_status(at(2600), at(2600), p, primary_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(2610)));
}

/// Guards against a replica that registers after a hold and proves the old primary (issue 31).
TEST_F(GroupLeadership, ReplicaThatRegisteredLatelyProvesNothingAlone) {
    confirm_primary(0);
    const backend_server_id r3{"r3"};
    leadership.set_members({p, r1, r2, r3});
    leadership.on_status(at(700), at(700), r3, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(810)));
    const auto ask = [&](std::int64_t when, const backend_server_id& server) {
        leadership.on_status(at(when), at(when), server, replica_status(1, point(1, 5)));
    };
    ask(820, r1);
    ask(820, r2);
    EXPECT_TRUE(leadership.confirmed(at(830)));
    ask(1600, r3);
    EXPECT_FALSE(leadership.confirmed(at(1630))) << "r1 and r2 may have been held since";
    for (std::int64_t when = 1700; when <= 6000; when += 500) {
        ask(when, r1);
        ask(when, r2);
        ask(when, r3);
    }
    ask(6400, r3);
    EXPECT_TRUE(leadership.confirmed(at(7100))) << "it no longer joins";
}

/// Guards against a replica that was down during a hold, is back, and proves the old primary.
TEST_F(GroupLeadership, ReplicaThatHasRefusedProvesNothingAlone) {
    confirm_primary(0);
    leadership.on_refused(at(100), r2);
    leadership.on_status(at(700), at(700), r2, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(810)));
}

/// Guards against a replica that has left the registry, so that the hold does not wait for it, and
/// proves the old primary to a VM with an older list.
TEST_F(GroupLeadership, ReplicaOfAnOldListProvesNothingAlone) {
    confirm_primary(0);
    leadership.on_status(at(700), at(700), r2, replica_status(1, point(1, 5)), listing::old);
    EXPECT_FALSE(leadership.confirmed(at(810)));
    leadership.on_status(at(820), at(820), r1, replica_status(1, point(1, 5)), listing::old);
    EXPECT_TRUE(leadership.confirmed(at(830))) << "with an old list all replicas together do";
}

// Another VM may still have a proof of the old primary and read data there that the new primary has
// since changed.
TEST_F(GroupLeadership, NewPrimaryWaitsForOldProofsToRunOut) {
    confirm_primary(0);
    leadership.on_status(at(100), at(100), r1, primary_status(2, point(1, 5)));
    leadership.on_status(at(899), at(899), r2, replica_status(2, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(899)));
    EXPECT_TRUE(leadership.confirmed(at(900)));
}

TEST_F(GroupLeadership, WaitCountsFromTheHold) {
    confirm_primary(0);
    leadership.on_hold(at(50), term{1});
    leadership.on_status(at(700), at(700), r1, primary_status(2, point(1, 5)));
    leadership.on_status(at(840), at(840), r2, replica_status(2, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(849)));
    EXPECT_TRUE(leadership.confirmed(at(850)));
}

TEST_F(GroupLeadership, CommitInTheTermShowsThatOldProofsHaveRunOut) {
    confirm_primary(0);
    leadership.on_status(at(100), at(100), r1, primary_status(2, point(2, 6)));
    leadership.on_status(at(100), at(100), r2, replica_status(2, point(2, 6)));
    EXPECT_TRUE(leadership.confirmed(at(100)));
}

/// Guards against two primaries beside a cut that refuses the connections to every replica
/// (issue 37).
TEST_F(GroupLeadership, ServersThatAllRefuseProveNothing) {
    leadership.on_status(at(0), at(0), p, primary_status(1, point(1, 5)));
    leadership.on_refused(at(0), r1);
    EXPECT_FALSE(leadership.confirmed(at(10)));
    leadership.on_refused(at(5), r2);
    EXPECT_FALSE(leadership.confirmed(at(10)));
    confirm_primary(20);
    leadership.on_refused(at(700), r1);
    leadership.on_refused(at(700), r2);
    EXPECT_FALSE(leadership.confirmed(at(820)));
}

TEST_F(GroupLeadership, SteppedDownPrimaryIsNotUsed) {
    confirm_primary(0);
    leadership.on_status(at(10), at(10), p, replica_status(1, point(1, 5)));
    EXPECT_FALSE(leadership.confirmed(at(20)));
}

// A bounded read must include every commit that was acknowledged before its bound.
TEST_F(GroupLeadership, PointSinceIsTheFirstOneAskedForAfterTheTime) {
    confirm_primary(0);
    leadership.on_position(at(100), p, point(1, 7));
    leadership.on_position(at(200), p, point(1, 9));
    EXPECT_EQ(leadership.point_covering(at(50)), point(1, 7));
    EXPECT_EQ(leadership.point_covering(at(101)), point(1, 9));
    EXPECT_EQ(leadership.point_covering(at(201)), std::nullopt);
}

TEST_F(GroupLeadership, PointsOfAReplacedPrimaryAreForgotten) {
    confirm_primary(0);
    leadership.on_status(at(100), at(100), r1, primary_status(2, point(1, 4)));
    EXPECT_EQ(leadership.point_covering(at(0)), std::nullopt);
}

struct proof_case {
    const char* name;
    std::set<backend_server_id> members;
    std::set<backend_server_id> refusing;
    std::set<backend_server_id> answering;
    proof_kind expected;
};

class ProofKind : public ::testing::TestWithParam<proof_case> {};

/// Guards against a log that doesn't tell whether a primary was confirmed by an answer or by
/// refused connections (issue 37).
TEST_P(ProofKind, TellsWhatConfirmed) {
    const auto& given = GetParam();
    group_leadership leadership;
    leadership.set_members(given.members);
    leadership.on_status(at(0), at(0), p, primary_status(1, point(1, 5)));
    for (const auto& server : given.refusing) {
        leadership.on_refused(at(10), server);
    }
    for (const auto& server : given.answering) {
        leadership.on_status(at(20), at(20), server, replica_status(1, point(1, 5)));
    }
    EXPECT_STREQ(to_string(leadership.confirmed_by()), to_string(given.expected));
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ProofKind,
    ::testing::Values(proof_case{"Nothing", {p, r1, r2}, {}, {}, proof_kind::none},
                      proof_case{"OneReplica", {p, r1, r2}, {}, {r1}, proof_kind::one_replica},
                      proof_case{
                          "AllAsked", {p, r1, r2}, {r1, r2}, {r1, r2}, proof_kind::all_asked},
                      proof_case{"OnlyServer", {p}, {}, {}, proof_kind::no_other_registered},
                      proof_case{"AllRefused", {p, r1, r2}, {r1, r2}, {}, proof_kind::none}),
    [](const auto& each) { return std::string{each.param.name}; });

} // namespace
} // namespace jackdawvane
