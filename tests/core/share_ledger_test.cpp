#include "jackdawvane/membership/placement.hpp"

#include <algorithm>

#include "share_ledger_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::seconds;

using ShareLedger = share_ledger_fixture;

/// Guards against holders that do not get an equal part, or start with tokens.
TEST_F(ShareLedger, NewHoldersGetEqualPartsAndStartEmpty) {
    for (const auto* each : {a, b, c}) {
        EXPECT_NEAR(rate_of(*each), 30, 0.01);
    }
    auto& late = fleet.start("d", 1, "d");
    fleet.configure(late, 1, 90, 30);
    fleet.announce_fleet();
    fleet.run(seconds{2});
    EXPECT_LE(part_of("d"), 1U); // Nothing else is unassigned: it has to ask the others.
    EXPECT_LT(tokens_of(late), 0.01);
    ask_for_rate(*a, "d", 60);
    fleet.run(seconds{1});
    EXPECT_GT(rate_of(late), 15);
    EXPECT_LE(rate_of(*a) + rate_of(late), 30.01);
}

/// Guards against a donor that lowers its own limit only after the record has changed, and a
/// receiver that gets tokens with the moved capacity.
TEST_F(ShareLedger, GiverClampsBeforeTheRecordChangesAndReceiverStartsEmpty) {
    fleet.choose_store_outcome = [](const store_request&) {
        return limiter_fleet::store_outcome{seconds{1}, seconds{1}, false, false};
    };
    while (tokens_of(*b) >= 1) {
        EXPECT_EQ(fleet.request(*b), admission_state::admitted);
    }
    const auto before = part_of("a");
    ask_for_rate(*a, "b", 60);
    EXPECT_LT(rate_of(*a), 10);
    EXPECT_LT(tokens_of(*a), 4);
    EXPECT_EQ(part_of("a"), before);    // Not yet written.
    fleet.run(from_milliseconds(4200)); // Write, notice and read.
    EXPECT_GT(rate_of(*b), 50);
    EXPECT_NEAR(rate_of(*a) + rate_of(*b) + rate_of(*c), 90, 0.1);
}

/// Guards against a donor that uses a part again because the store's answer was lost.
TEST_F(ShareLedger, LostAnswerCountsAsGivenUntilReadBack) {
    lose_next_answer();
    ask_for_rate(*a, "b", 60);
    fleet.run(from_milliseconds(100));
    const double kept = rate_of(*a);
    EXPECT_LT(kept, 10);
    fleet.run(seconds{3}); // Reads back: the change had taken effect; the receiver gets a notice.
    EXPECT_NEAR(rate_of(*a), kept, 0.01);
    EXPECT_NEAR(rate_of(*b), 60 - kept, 0.01);
}

/// Guards against a lost request that still takes effect after the donor has read the record back
/// at the old version and uses its part again.
TEST_F(ShareLedger, DelayedChangeCannotTakeEffectAfterTheReadBack) {
    store_request delayed;
    fleet.choose_store_outcome = [&](const store_request& request) {
        limiter_fleet::store_outcome outcome;
        if (request.operation == store_operation::compare_and_swap && delayed.key.empty()) {
            delayed = request;
            outcome.lost_request = true;
        }
        return outcome;
    };
    ask_for_rate(*a, "b", 60);
    fleet.run(seconds{3});
    EXPECT_NEAR(rate_of(*a), 30, 0.01); // Read back, and confirmed by writing an equal record.
    EXPECT_EQ(fleet.store.call(fleet.now, delayed).status, store_status::conflict);
}

/// Guards against a transfer that keeps the old rate across an operator's rate change, or undoes
/// the change.
TEST_F(ShareLedger, RateChangeDuringAMoveKeepsTheSum) {
    ask_for_rate(*a, "b", 60);
    fleet.configure_all(2, 45, 15);
    EXPECT_LE(rate_of(*a) + rate_of(*b) + rate_of(*c), 45.01); // At once.
    fleet.run(seconds{10});
    EXPECT_NEAR(rate_of(*a) + rate_of(*b) + rate_of(*c), 45, 0.1);
    const int calls = fleet.store.calls;
    fleet.configure_all(3, 180, 60);
    EXPECT_NEAR(rate_of(*a) + rate_of(*b) + rate_of(*c), 180, 0.1);
    EXPECT_EQ(fleet.store.calls, calls); // A change of rates costs no store call.
}

/// Guards against reclaiming the share of a VM that was never listed, or that still reaches a peer.
TEST_F(ShareLedger, VmThatIsNotListedYetIsNotGone) {
    auto record = fleet.record();
    record.holders[0].vm = vm_id{"unknown"};
    fleet.store.values[share_key(fleet.group())] = {write_json(to_json(record)), 50};
    fleet.run(seconds{300});
    EXPECT_NE(fleet.record().find(vm_id{"unknown"}), nullptr);
}

/// Guards against a reclaim while the lease runs, and two reclaimers that both take the part.
TEST_F(ShareLedger, GoneHolderIsReclaimedOnceAfterItsLease) {
    fleet.settings.shares.takeover_step = duration{0};
    kill_and_forget(*c);
    fleet.run(seconds{5});
    EXPECT_NE(part_of("c"), 0U);
    fleet.run(seconds{60});
    EXPECT_EQ(part_of("c"), 0U);
    EXPECT_NEAR(rate_of(*a) + rate_of(*b), 90, 0.1);
    EXPECT_NEAR(rate_of(*a), 45, 0.1);
}

/// Guards against two reclaimers whose writes both count.
TEST_F(ShareLedger, RacingReclaimersAddThePartOnce) {
    // Both read the lease before either writes.
    fleet.choose_store_outcome = [](const store_request&) {
        return limiter_fleet::store_outcome{seconds{2}, seconds{2}, false, false};
    };
    kill_and_forget(*c);
    fleet.run(seconds{120});
    const auto record = fleet.record();
    EXPECT_EQ(record.find(vm_id{"c"}), nullptr);
    EXPECT_LE(record.holders[0].part + record.holders[1].part, whole_share);
    EXPECT_NEAR(rate_of(*a) + rate_of(*b), 90, 0.1);
}

/// Guards against a rate that nobody may use: while VMs restarted in turn, those that were back
/// waited for a fleet that doesn't change, and all parts became unassigned.
TEST_F(ShareLedger, VmJoinsWhileTheFleetKeepsChanging) {
    for (auto* each : {a, b, c}) {
        fleet.on(*each, [&](actions& out) { each->limiter->leave(fleet.now, out); });
    }
    fleet.run(seconds{2});
    auto& first = fleet.start("e", 1, "d");
    fleet.configure(first, 1, 90, 30);
    limiter_fleet::node* passing = nullptr;
    for (int i = 0; i < 20; ++i) {
        // A VM of another group of targets comes or goes within each settle time.
        if (passing == nullptr) {
            passing = &fleet.start("f", static_cast<std::uint64_t>(i + 1), "d");
        } else {
            fleet.kill(*std::exchange(passing, nullptr));
        }
        fleet.announce_fleet();
        fleet.run(from_milliseconds(250));
    }
    EXPECT_TRUE(fleet.ledger(first).holder());
}

/// Guards against a paused holder that uses a share which others have reclaimed meanwhile.
TEST_F(ShareLedger, PausedHolderStopsUntilItsEntryIsConfirmed) {
    c->suspended = true;
    fleet.announce_fleet({vm_id{"c"}});
    fleet.run(seconds{70});
    ASSERT_NEAR(rate_of(*a) + rate_of(*b), 90, 0.1);
    fleet.store.down = true;
    fleet.resume(*c);
    EXPECT_FALSE(fleet.ledger(*c).verified());
    EXPECT_NE(fleet.request(*c), admission_state::admitted);
    fleet.store.down = false;
    fleet.run(seconds{20});
    EXPECT_TRUE(fleet.ledger(*c).verified());
    EXPECT_EQ(rate_of(*c), 0);
}

/// Guards against a short pause that stops a share needlessly.
TEST_F(ShareLedger, PauseWithinTheLeaseChangesNothing) {
    c->suspended = true;
    fleet.run(seconds{5});
    fleet.resume(*c);
    EXPECT_EQ(fleet.request(*c), admission_state::admitted);
}

/// Guards against a burst part that is transferred or released while tokens that were granted
/// from it are in transit; its new holder could refill it and the total exceed the burst.
TEST_F(ShareLedger, TokensInTransitKeepTheirCapacity) {
    const auto grant_tokens = [this](limiter_fleet::node& donor) {
        fleet.on(donor, [this, &donor](actions& out) {
            donor.limiter->on_peer(
                fleet.now, vm_id{"b"},
                token_request{request_id{7}, fleet.organisation, 9, 9, from_milliseconds(300)},
                out);
        });
        return fleet.limiter(donor).bucket().reserved();
    };
    fleet.choose_message_outcome = [](const peer_message&) {
        return limiter_fleet::message_outcome{};
    };
    EXPECT_NEAR(grant_tokens(*a), 9, 0.01);
    ask_for_rate(*a, "b", 200);
    EXPECT_GE(fleet.limiter(*a).bucket().capacity(), 9);
    EXPECT_NEAR(grant_tokens(*c), 9, 0.01);
    fleet.on(*c, [&](actions& out) { c->limiter->leave(fleet.now, out); });
    fleet.run(from_milliseconds(320));
    EXPECT_NE(part_of("c"), 0U);
    fleet.run(seconds{1});
    EXPECT_EQ(part_of("c"), 0U);
}

/// Guards against parts that are lost when their holder leaves.
TEST_F(ShareLedger, LeavingGivesThePartBack) {
    fleet.on(*c, [&](actions& out) { c->limiter->leave(fleet.now, out); });
    EXPECT_EQ(rate_of(*c), 0);
    fleet.run(seconds{2});
    EXPECT_TRUE(c->limiter->left());
    EXPECT_FALSE(fleet.store.leases.contains(lease_key(vm_id{"c"})));
    fleet.kill(*c);
    fleet.announce_fleet();
    fleet.run(seconds{120});
    EXPECT_NEAR(rate_of(*a) + rate_of(*b), 90, 0.1);
}

/// Guards against reading the records by frequent polling.
TEST(ShareLedgerCost, IdleFleetCallsTheStoreRarely) {
    limiter_fleet fleet{rate_limiter_settings{}};
    for (int i = 0; i < 9; ++i) {
        fleet.start("vm" + std::to_string(i), 1, "d" + std::to_string(i % 3));
    }
    fleet.configure_all(1, 90, 90);
    fleet.announce_fleet();
    fleet.run(seconds{20});
    const int before = fleet.store.calls;
    fleet.run(seconds{600});
    // One lease renewal per VM every 10 s for any number of organisations; here there is one
    // record.
    constexpr double leases_per_second = 0.9;
    constexpr double organisations = 8;
    const double records = (fleet.store.calls - before) / 600.0 - leases_per_second;
    EXPECT_LT(leases_per_second + records * organisations, 2.5);
}

/// Twelve VMs of which three hold shares.
class LargeFleet : public testing::Test {
  protected:
    static constexpr std::size_t size = 12;

    LargeFleet() : fleet{settings()} {
        for (std::size_t i = 0; i < size; ++i) {
            fleet.start("vm" + std::to_string(i), 1, "d" + std::to_string(i % 6));
        }
    }

    static rate_limiter_settings settings() {
        rate_limiter_settings chosen;
        chosen.holders_per_domain = 1;
        chosen.max_holders = 3;
        chosen.shares.release_delay = seconds{2};
        chosen.joining = seconds{10};
        return chosen;
    }
    /// Announces the first @a count VMs and the receiver itself to every VM.
    void announce_first(std::size_t count) {
        for (auto& each : fleet.nodes) {
            std::vector<vm_entry> live;
            for (std::size_t i = 0; i < size; ++i) {
                if (i < count || fleet.nodes[i] == each) {
                    live.push_back(fleet.nodes[i]->entry);
                }
            }
            fleet.on(*each,
                     [&](actions& out) { each->limiter->set_fleet(fleet.now, live, {}, out); });
        }
    }
    std::uint32_t part_of_targets() {
        std::uint32_t sum{0};
        for (const auto& each : fleet.nodes) {
            const auto& ledger = fleet.ledger(*each);
            sum += ledger.target() ? ledger.usable_part() : 0;
        }
        return sum;
    }

    limiter_fleet fleet;
};

/// Guards against parts that stay with VMs that joined while they knew few others: no VM asks them
/// for tokens, and requests are refused below the limit.
TEST_F(LargeFleet, PartsOfEarlyJoinersReachTheTargets) {
    fleet.configure_all(1, 90, 30);
    for (const std::size_t count : {1U, 3U, 6U, 9U, 12U}) {
        announce_first(count);
        fleet.run(from_milliseconds(900)); // Longer than the wait of a join.
    }
    fleet.run(seconds{8});
    EXPECT_GT(part_of_targets(), whole_share * 98 / 100);
    EXPECT_EQ(fleet.record().holders.size(), 3U);
}

/// Guards against a part that stays with a VM that has restarted and is no longer a target: it does
/// not read the record by itself.
TEST_F(LargeFleet, PartOfAnEarlierLifeReachesTheTargets) {
    std::vector<const vm_entry*> live;
    for (const auto& each : fleet.nodes) {
        live.push_back(&each->entry);
    }
    const auto targets = share_holders(fleet.group(), live, 1, 3);
    const auto non_target =
        std::find_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& each) {
            return std::find(targets.begin(), targets.end(), each->entry.vm) == targets.end();
        });
    const share_record old{{{(*non_target)->entry.vm, vm_incarnation{0}, whole_share / 2}}};
    fleet.store.values[share_key(fleet.group())] = {write_json(to_json(old)), 1};
    fleet.configure_all(1, 90, 30);
    fleet.announce_fleet();
    fleet.run(seconds{20});
    EXPECT_GT(part_of_targets(), whole_share * 98 / 100);
    EXPECT_EQ(fleet.record().find((*non_target)->entry.vm), nullptr);
}

/// Guards against a read of every record by every VM at its start.
TEST_F(LargeFleet, VmWithoutShareDoesNotReadTheRecordAtItsStart) {
    int reads{0};
    fleet.choose_store_outcome = [&](const store_request& request) {
        reads += request.operation == store_operation::read ? 1 : 0;
        return limiter_fleet::store_outcome{};
    };
    fleet.configure_all(1, 90, 30);
    fleet.announce_fleet();
    fleet.run(seconds{1});
    EXPECT_LE(reads, 6); // Each holder reads when it starts and after a notice.
}

/// Guards against a caller of a VM without a share that waits for a join that never happens.
TEST_F(LargeFleet, VmWithoutShareDoesNotWaitToJoin) {
    fleet.configure_all(1, 90, 30);
    fleet.announce_fleet();
    fleet.run(seconds{4});
    fleet.choose_message_outcome = [](const peer_message&) {
        return limiter_fleet::message_outcome{};
    };
    admission last;
    fleet.on_decision = [&](auto& /*at*/, const admission& each) { last = each; };
    const auto other = std::find_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& each) {
        return !fleet.ledger(*each).target();
    });
    EXPECT_EQ(fleet.request(**other), admission_state::pending);
    fleet.run(from_milliseconds(60));
    EXPECT_EQ(last.state, admission_state::refused);
}

/// Guards against a VM that gets no share because it knew the fleet before its first
/// configuration, as after a restart of all VMs.
TEST_F(LargeFleet, ConfigurationThatComesAfterTheFleetIsDividedToo) {
    fleet.announce_fleet();
    fleet.run(seconds{1});
    fleet.configure_all(1, 90, 30);
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.record().holders.size(), 3U);
    EXPECT_GT(part_of_targets(), whole_share * 98 / 100);
}

/// A fleet with many organisations, for checks of its cost in store calls and state.
class ManyOrganisations : public testing::TestWithParam<std::size_t> {
  protected:
    static constexpr std::size_t vms = 30;
    static constexpr std::uint32_t holders = 3;

    ManyOrganisations() : fleet{settings()} {
        for (std::size_t i = 0; i < vms; ++i) {
            fleet.start("vm" + std::to_string(i), 1, "d" + std::to_string(i % 6));
        }
    }
    static rate_limiter_settings settings() {
        rate_limiter_settings chosen;
        chosen.holders_per_domain = 1;
        chosen.max_holders = holders;
        return chosen;
    }
    static organisation_id name(std::size_t index) {
        return organisation_id{"organisation-" + std::to_string(index)};
    }
    void configure(std::size_t organisations) {
        std::map<organisation_id, organisation_row> rows;
        for (std::size_t i = 0; i < organisations; ++i) {
            rows[name(i)] = {90, 30, 1};
        }
        for (auto& each : fleet.nodes) {
            fleet.on(*each, [&](actions& out) {
                each->limiter->configure(fleet.now, rows, revision{1}, out);
            });
        }
    }

    limiter_fleet fleet;
};

/// Guards against store calls and state that grow with VMs times organisations.
TEST_P(ManyOrganisations, CostTheStoreNoMoreCallsAndOnlyHoldersState) {
    configure(GetParam());
    fleet.announce_fleet();
    fleet.run(seconds{60});
    // Only the holders of a group read, join and confirm; the other VMs make no calls for it.
    const auto groups = fleet.settings.groups;
    const std::uint32_t leases = 7 * vms;
    EXPECT_LE(fleet.store.calls, static_cast<int>(groups * holders * 6 + leases));
    std::size_t limiters{0};
    for (const auto& each : fleet.nodes) {
        for (std::size_t i = 0; i < GetParam(); ++i) {
            limiters += each->limiter->find(name(i)) == nullptr ? 0 : 1;
        }
    }
    EXPECT_LE(limiters, GetParam() * holders);
}

INSTANTIATE_TEST_SUITE_P(ShareLedgerCost, ManyOrganisations,
                         testing::Values<std::size_t>(8, 190, 1600));

/// Guards against a part that the copy gives back to a VM which has transferred it: no VM uses its
/// part in a new era before it has read the record and confirmed its entry.
TEST_F(ShareLedger, PartIsUsedInANewEraOnlyOnceItIsConfirmed) {
    ASSERT_TRUE(fleet.ledger(*a).verified());
    fleet.on(*a, [this](actions& out) {
        store_answer of_others;
        of_others.id = request_id{1'000'000};
        of_others.status = store_status::ok;
        of_others.era = 1;
        EXPECT_FALSE(a->limiter->on_store(fleet.now, of_others, out));
    });
    EXPECT_FALSE(fleet.ledger(*a).verified());
    fleet.run(seconds{2});
    EXPECT_TRUE(fleet.ledger(*a).verified());
    EXPECT_NEAR(rate_of(*a), 30, 0.01);
    EXPECT_NEAR(rate_of(*b), 30, 0.01);
}

} // namespace
} // namespace jackdawvane
