#include <algorithm>
#include <vector>

#include "share_ledger_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::seconds;
using ShareLease = share_ledger_fixture;

/// Guards against two holders of one part: a VM that was cut off from the store and from the other
/// VMs, but not from its callers, used its part after these had reclaimed it (review/5).
TEST_F(ShareLease, CutOffHolderStopsBeforeItsPartIsReclaimed) {
    double highest = 0;
    fleet.after_event = [&] {
        double sum = 0;
        for (const auto* each : {a, b, c}) {
            sum += fleet.ledger(*each).verified() ? rate_of(*each) : 0;
        }
        highest = std::max(highest, sum);
    };
    c->isolated = true;
    fleet.announce_fleet({vm_id{"c"}});
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.request(*c), admission_state::admitted) << "its lease still runs";
    fleet.run(seconds{70});
    EXPECT_NEAR(rate_of(*a) + rate_of(*b), 90, 0.1);
    EXPECT_LE(highest, 90.1);
    EXPECT_NE(fleet.request(*c), admission_state::admitted);
    c->isolated = false;
    fleet.announce_fleet();
    fleet.run(seconds{20});
    EXPECT_TRUE(fleet.ledger(*c).verified());
    EXPECT_LE(highest, 90.1);
}

/// Guards against a request that waits although it is known that its VM may use no share.
TEST_F(ShareLease, RequestAtALapsedHolderIsRefusedAtOnce) {
    c->isolated = true;
    fleet.run(seconds{40});
    ASSERT_TRUE(fleet.ledger(*c).lapsed());
    fleet.on(*c, [&](actions& out) {
        c->limiter->set_fleet(fleet.now, std::vector{c->entry}, {}, out);
    });
    EXPECT_EQ(fleet.request(*c), admission_state::refused);
}

/// Guards against a part that stays unused after the cut although nobody has reclaimed it.
TEST_F(ShareLease, LapsedHolderUsesItsPartOnceItsEntryIsConfirmed) {
    fleet.store.down = true;
    fleet.run(seconds{40});
    for (const auto* each : {a, b, c}) {
        EXPECT_FALSE(fleet.ledger(*each).verified());
    }
    fleet.store.down = false;
    fleet.run(seconds{5});
    for (const auto* each : {a, b, c}) {
        EXPECT_TRUE(fleet.ledger(*each).verified());
        EXPECT_NEAR(rate_of(*each), 30, 0.01);
    }
}

/// Guards against a lease that the store ended early and a renewal silently created anew: another
/// VM may have reclaimed the part in between.
TEST_F(ShareLease, LeaseThatIsCreatedAnewConfirmsTheEntry) {
    const auto version = fleet.store.values[share_key(fleet.group())].second;
    fleet.store.leases.erase(lease_key(vm_id{"c"}));
    bool stopped = false;
    fleet.after_event = [&] { stopped = stopped || !fleet.ledger(*c).verified(); };
    fleet.run(seconds{15});
    EXPECT_TRUE(stopped);
    EXPECT_TRUE(fleet.ledger(*c).verified());
    EXPECT_GT(fleet.store.values[share_key(fleet.group())].second, version);
}

/// Guards against a part without a lease, which any VM could reclaim at any time.
TEST_F(ShareLease, VmJoinsOnlyWithALease) {
    fleet.choose_store_outcome = [](const store_request& request) {
        limiter_fleet::store_outcome outcome;
        outcome.lost_request = request.operation == store_operation::renew_lease;
        return outcome;
    };
    auto& late = fleet.start("d", 1, "d");
    fleet.configure(late, 1, 90, 30);
    fleet.announce_fleet();
    fleet.run(seconds{5});
    EXPECT_FALSE(fleet.ledger(late).holder());
    fleet.choose_store_outcome = [](const store_request&) {
        return limiter_fleet::store_outcome{};
    };
    fleet.run(seconds{10});
    EXPECT_TRUE(fleet.ledger(late).holder());
}

} // namespace
} // namespace jackdawvane
