#include "limiter_fleet.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::seconds;

/// Four VMs; three hold shares of 90 requests/s, burst 30, and the fourth is no holder.
class RateLimiter : public testing::Test {
  protected:
    RateLimiter() : fleet{rate_limiter_settings{}} {
        for (const char* vm : {"a", "b", "c", "d"}) {
            fleet.start(vm, 1, "d");
        }
        fleet.configure_all(1, 90, 30);
        fleet.announce_fleet();
        fleet.run(seconds{5});
        for (auto& each : fleet.nodes) {
            (fleet.ledger(*each).holder() ? holders : others).push_back(each.get());
        }
        fleet.on_decision = [this](auto& /*at*/, const admission& each) {
            ++(each.state == admission_state::admitted ? admitted : refused);
            last = each;
        };
        fleet.choose_message_outcome = [this](const peer_message& message) {
            ++sent[method_of(message)];
            return limiter_fleet::message_outcome{{from_milliseconds(1)}};
        };
    }

    limiter_fleet fleet;
    std::vector<limiter_fleet::node*> holders;
    std::vector<limiter_fleet::node*> others;
    std::map<std::string, int> sent;
    int admitted{0};
    int refused{0};
    int grants{0};
    admission last;
};

/// Guards against a burst at one VM that is refused although other holders have tokens.
TEST_F(RateLimiter, BurstAtOneVmUsesTheTokensOfAll) {
    ASSERT_EQ(holders.size(), 3U);
    for (int i = 0; i < 30; ++i) {
        fleet.request(*holders[0]);
    }
    fleet.run(from_milliseconds(60));
    EXPECT_GE(admitted, 29);
}

/// Guards against a VM without a share that keeps granted tokens, or gets none.
TEST_F(RateLimiter, VmWithoutShareSpendsGrantsAtOnce) {
    ASSERT_EQ(others.size(), 1U);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    }
    fleet.run(from_milliseconds(60));
    EXPECT_EQ(admitted, 5);
    EXPECT_EQ(fleet.limiter(*others[0]).bucket().tokens(fleet.now), 0);
}

/// Guards against requests that wait indefinitely for a donor that does not answer.
TEST_F(RateLimiter, PendingRequestIsRefusedWithRetryTimeAfterTheLimit) {
    fleet.choose_message_outcome = [](const peer_message&) {
        return limiter_fleet::message_outcome{};
    };
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    fleet.run(from_milliseconds(49));
    EXPECT_EQ(refused, 0);
    fleet.run(from_milliseconds(2));
    ASSERT_EQ(refused, 1);
    EXPECT_EQ(last.problem.kind, error_kind::rate_exceeded);
    ASSERT_TRUE(last.problem.retry_after);
    EXPECT_EQ(*last.problem.retry_after, duration{11111}); // One token at 90 per second.
}

/// Guards against a grant that is used after its donor has freed the capacity.
TEST_F(RateLimiter, LateGrantIsNotUsed) {
    fleet.choose_message_outcome = [](const peer_message& message) {
        const bool grant = std::holds_alternative<token_grant>(message);
        return limiter_fleet::message_outcome{{from_milliseconds(grant ? 151 : 1)}};
    };
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    fleet.run(from_milliseconds(155));
    EXPECT_EQ(refused, 1);
    fleet.run(seconds{1});
    EXPECT_EQ(admitted, 0);
    for (const auto* each : holders) {
        EXPECT_EQ(fleet.limiter(*each).bucket().reserved(), 0);
    }
}

/// Guards against a late grant that is used because it comes before the overdue tick.
TEST_F(RateLimiter, LateGrantIsNotUsedBeforeTheTickEither) {
    request_id asked;
    fleet.choose_message_outcome = [&](const peer_message& message) {
        if (const auto* request = std::get_if<token_request>(&message)) {
            asked = request->id;
        }
        return limiter_fleet::message_outcome{};
    };
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    fleet.now += from_milliseconds(151);
    for (const auto* donor : holders) {
        fleet.on(*others[0], [&](actions& out) {
            others[0]->limiter->on_peer(fleet.now, donor->entry.vm,
                                        token_grant{asked, fleet.organisation, 1, 0}, out);
        });
    }
    EXPECT_EQ(admitted, 0);
}

/// Guards against a message storm by an organisation that sends several times its rate.
TEST_F(RateLimiter, OverloadCausesFewMessages) {
    constexpr int length = 20;
    for (int i = 0; i < length * 450; ++i) {
        fleet.request(*fleet.nodes[static_cast<std::size_t>(i) % fleet.nodes.size()]);
        fleet.run(duration{1000000 / 450});
    }
    EXPECT_LE(admitted, length * 90 + 31);
    EXPECT_GE(admitted, length * 90 * 95 / 100);
    EXPECT_LT(sent["tokens.request"], length * 90);
    EXPECT_LE(sent["share.request"], length * 4);
}

/// Guards against rate that stays with VMs that have no callers.
TEST_F(RateLimiter, RateMovesToTheVmWithTheCallers) {
    for (int i = 0; i < 20 * 70; ++i) {
        fleet.request(*holders[0]);
        fleet.run(duration{1000000 / 70});
    }
    EXPECT_GT(fleet.limiter(*holders[0]).bucket().rate(), 60);
}

/// Guards against an organisation whose burst is smaller than the number of holders: no holder
/// ever has a whole token of it.
TEST_F(RateLimiter, BurstBelowTheNumberOfHoldersIsServedAtAnyVm) {
    fleet.configure_all(2, 10, 1);
    fleet.run(seconds{1});
    for (auto* at : {others[0], holders[0]}) {
        admitted = 0;
        constexpr int requests = 50;
        for (int i = 0; i < requests; ++i) {
            fleet.request(*at);
            fleet.run(from_milliseconds(200)); // Half of the rate.
        }
        EXPECT_GE(admitted, requests * 95 / 100) << at->entry.vm;
    }
}

/// Guards against fractions of a token that are stored at a VM without a share: together with the
/// donors' refilled buckets they would exceed the burst.
TEST_F(RateLimiter, PartsOfATokenAreGivenUpWithTheRequest) {
    fleet.configure_all(2, 10, 1);
    fleet.run(seconds{1});
    fleet.choose_message_outcome = [this](const peer_message& message) {
        const bool grant = std::holds_alternative<token_grant>(message);
        grants += grant ? 1 : 0;
        return grant && grants == 3 ? limiter_fleet::message_outcome{}
                                    : limiter_fleet::message_outcome{{from_milliseconds(1)}};
    };
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    fleet.run(from_milliseconds(60)); // Two of three fractions arrived; the caller was refused.
    EXPECT_EQ(refused, 1);
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    EXPECT_EQ(fleet.request(*others[0]), admission_state::pending);
    fleet.run(from_milliseconds(60));
    EXPECT_LE(admitted, 1);
    for (const auto* each : holders) {
        EXPECT_LE(fleet.limiter(*each).bucket().reserved(), 0.334);
    }
}

/// Guards against serving an organisation that has no row in the configuration.
TEST_F(RateLimiter, OrganisationWithoutRowIsRefused) {
    fleet.on(*holders[0], [&](actions& out) {
        const auto verdict = holders[0]->limiter->admit(fleet.now, organisation_id{"other"},
                                                        request_id{1}, no_deadline, out);
        EXPECT_EQ(verdict.state, admission_state::refused);
        EXPECT_EQ(verdict.problem.kind, error_kind::rate_exceeded);
    });
    fleet.on(*holders[0], [&](actions& out) {
        holders[0]->limiter->configure(fleet.now, {}, revision{2}, out);
    });
    EXPECT_EQ(fleet.request(*holders[0]), admission_state::refused);
}

} // namespace
} // namespace jackdawvane
