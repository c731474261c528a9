#include "core/membership_fleet.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seed = 1'204;
constexpr std::size_t size = 9;
constexpr std::size_t domains = 3;

struct change_case {
    const char* name;
    void (*change)(membership_fleet&);
    bool (*reached)(const membership_fleet&);
    duration limit;
    std::size_t domains{3};
};

class Changes : public testing::TestWithParam<change_case> {};

/// Guards against a VM that keeps an outdated view of another one after a change.
TEST_P(Changes, AreKnownEverywhereInTime) {
    membership_fleet fleet{size, GetParam().domains, seed};
    fleet.run(seconds{10});
    ASSERT_TRUE(fleet.settled()) << "seed " << seed;
    GetParam().change(fleet);
    fleet.time_until(GetParam().limit, [&] { return GetParam().reached(fleet); });
    EXPECT_TRUE(GetParam().reached(fleet)) << "seed " << seed;
    fleet.run(seconds{5});
    EXPECT_TRUE(GetParam().reached(fleet)) << "reached but lost again within 5 s, seed " << seed;
    EXPECT_LT(fleet.largest_datagram - 28, 1200U);
}

void unlist(membership_fleet& fleet, std::size_t i) {
    fleet.change_list([&](auto& list) {
        std::erase_if(list, [&](const auto& entry) { return entry.vm == fleet.of(i).entry.vm; });
    });
}
bool gone_everywhere(const membership_fleet& fleet, std::size_t expected) {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
        return !node->up || node->protocol->gone().size() == expected;
    });
}
void kill(membership_fleet& fleet) {
    fleet.of(4).up = false;
}
bool settled(const membership_fleet& fleet) {
    return fleet.settled();
}
void kill_and_unlist(membership_fleet& fleet) {
    kill(fleet);
    unlist(fleet, 4);
}
void unlist_only(membership_fleet& fleet) {
    unlist(fleet, 4);
}
void replace(membership_fleet& fleet) {
    kill(fleet);
    fleet.add(4, {}, 2, 100);
}
bool replacement_known(const membership_fleet& fleet) {
    const auto& fresh = *fleet.nodes.back();
    return fleet.settled() && std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](auto& node) {
               return !node->up ||
                      (node->protocol->incarnation_of(fresh.entry.vm) == vm_incarnation{2} &&
                       node->protocol->entry_of(fresh.entry.vm)->peer == fresh.entry.peer);
           });
}
void add_unlisted(membership_fleet& fleet) {
    fleet.add(size);
}
void kill_never_listed(membership_fleet& fleet) {
    add_unlisted(fleet);
    fleet.run(seconds{5});
    fleet.nodes.back()->up = false;
}
void add_listed_but_silent(membership_fleet& fleet) {
    fleet.change_list([&](auto& list) { list.push_back(fleet.entry_for(size)); });
}
void list_as_leaving(membership_fleet& fleet) {
    fleet.change_list([](auto& list) { list[4].state = vm_state::leaving; });
}
void announce_leaving(membership_fleet& fleet) {
    fleet.invoke(fleet.of(4), [&](auto& protocol, auto& out) { protocol.leave(fleet.now, out); });
}
bool leaving(const membership_fleet& fleet) {
    const auto& about = *fleet.nodes[4];
    return fleet.all_view(about, vm_state::leaving) &&
           !membership_fleet::view(about, about.entry.vm);
}
void start_without_store(membership_fleet& fleet) {
    fleet.store_reached = [](auto&) { return false; };
    fleet.add(size, {fleet.of(0).entry.peer});
}
INSTANTIATE_TEST_SUITE_P(
    Membership, Changes,
    testing::Values(
        change_case{"dead_vm_removed", kill, settled, milliseconds{4500}},
        change_case{"dead_and_unlisted_is_gone", kill_and_unlist,
                    [](const auto& f) { return gone_everywhere(f, 1); }, seconds{5}},
        change_case{"unlisted_but_heard_is_not_gone", unlist_only,
                    [](const auto& f) { return f.settled() && gone_everywhere(f, 0); }, seconds{5}},
        change_case{"dead_but_listed_is_not_gone", kill,
                    [](const auto& f) { return f.settled() && gone_everywhere(f, 0); }, seconds{5}},
        change_case{"dead_and_never_listed_is_not_gone", kill_never_listed,
                    [](const auto& f) { return f.settled() && gone_everywhere(f, 0); }, seconds{5}},
        change_case{"incarnation_replaced", replace, replacement_known, seconds{2}},
        change_case{"not_listed_yet_but_heard", add_unlisted, settled, seconds{3}},
        change_case{"listed_but_never_heard", add_listed_but_silent, settled, seconds{3}},
        change_case{"listed_as_leaving", list_as_leaving, leaving, seconds{2}},
        change_case{"listed_as_leaving_with_two_delegates_of_9", list_as_leaving, leaving,
                    seconds{1}, 1},
        change_case{"departure_announced", announce_leaving, leaving, milliseconds{100}},
        change_case{"starts_without_the_store", start_without_store, settled, seconds{4}}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against suspecting a VM that only one other VM cannot reach.
TEST(Membership, IndirectProbesAvoidSuspicion) {
    membership_fleet fleet{size, domains, seed};
    fleet.run(seconds{10});
    fleet.cut = [](const auto& from, const auto& to) {
        return from.entry.vm.str() + to.entry.vm.str() == "vm-1vm-2" ||
               from.entry.vm.str() + to.entry.vm.str() == "vm-2vm-1";
    };
    fleet.run(seconds{60});
    EXPECT_EQ(fleet.suspicions, 0U) << "seed " << seed;
    EXPECT_TRUE(fleet.settled());
}

/// Guards against live VMs that are declared dead on a lossy network, and against VMs that stay
/// declared dead after the loss ends.
TEST(Membership, FalseSuspicionsAreRefuted) {
    membership_fleet fleet{size, domains, seed};
    fleet.run(seconds{10});
    fleet.loss = 0.1;
    std::size_t absent{0};
    for (int i = 0; i < 300; ++i) {
        fleet.run(seconds{1});
        absent += fleet.settled() ? 0 : 1;
    }
    EXPECT_LE(absent, 3U) << "seconds of 300 in which a live VM was missing, seed " << seed;
    fleet.loss = 0;
    fleet.run(seconds{3});
    EXPECT_TRUE(fleet.settled()) << "seed " << seed;
}

class Partition : public testing::TestWithParam<std::size_t> {};

/// Guards against a fleet that stays split after a partition heals, and against isolation that is
/// reported on the wrong side of it.
TEST_P(Partition, IsNoticedAndHeals) {
    membership_fleet fleet{size, GetParam(), seed};
    fleet.run(seconds{10});
    const auto inside = [](const membership_fleet::node& node) {
        return std::stoi(node.entry.vm.str().substr(3)) % 3 == 2;
    };
    fleet.cut = [=](const auto& from, const auto& to) { return inside(from) != inside(to); };
    fleet.store_reached = [=](const auto& node) { return !inside(node); };
    fleet.run(seconds{8});
    for (const auto& node : fleet.nodes) {
        EXPECT_EQ(node->protocol->isolated(fleet.now), inside(*node)) << node->entry.vm;
    }
    fleet.run(seconds{12});
    for (const auto& node : fleet.nodes) {
        EXPECT_EQ(node->protocol->live().size(), inside(*node) ? 3U : 6U) << node->entry.vm;
        EXPECT_TRUE(node->protocol->gone().empty());
    }
    fleet.cut = [](auto&, auto&) { return false; };
    fleet.store_reached = [](auto&) { return true; };
    fleet.time_until(seconds{5}, [&] { return fleet.settled(); });
    EXPECT_TRUE(fleet.settled()) << "seed " << seed;
    fleet.run(seconds{1});
    for (const auto& node : fleet.nodes) {
        EXPECT_FALSE(node->protocol->isolated(fleet.now)) << node->entry.vm;
    }
}

INSTANTIATE_TEST_SUITE_P(Membership, Partition, testing::Values(3, 1), [](const auto& tested) {
    return "domains_" + std::to_string(tested.param);
});

/// Guards against a resumed VM that does not notice its pause, or that suspects other VMs because
/// it could not receive their answers while it was paused.
TEST(Membership, PausedVmNoticesAndReturns) {
    membership_fleet fleet{size, domains, seed};
    fleet.run(seconds{10});
    auto& paused = fleet.of(4);
    EXPECT_FALSE(paused.pause_detected);
    const auto sent = paused.messages;
    fleet.time_until(
        seconds{2}, [&] { return paused.messages > sent; }, std::chrono::microseconds{100});
    paused.paused = true; // Its probe is in flight; the answer arrives after its timeout.
    fleet.run(seconds{8});
    EXPECT_TRUE(fleet.all_view(paused, std::nullopt)) << "seed " << seed;
    const auto suspicions = fleet.suspicions;
    fleet.resume(paused);
    EXPECT_TRUE(paused.pause_detected);
    for (int i = 0; i < 30; ++i) {
        fleet.run(milliseconds{100});
        EXPECT_EQ(paused.protocol->live().size(), size) << "after " << i << " steps, seed " << seed;
    }
    EXPECT_EQ(fleet.suspicions, suspicions) << "seed " << seed;
    EXPECT_TRUE(fleet.settled()) << "seed " << seed;
}

/// Guards against an older list that makes a removed VM count as listed again.
TEST(Membership, OlderListIsIgnored) {
    membership_fleet fleet{size, domains, seed};
    fleet.run(seconds{10});
    const auto old_list = fleet.list;
    kill_and_unlist(fleet);
    fleet.run(seconds{10});
    ASSERT_TRUE(gone_everywhere(fleet, 1));
    fleet.list = old_list;
    fleet.list_version = 1;
    fleet.add(size);
    fleet.run(seconds{40});
    EXPECT_TRUE(fleet.settled());
    EXPECT_TRUE(std::all_of(fleet.nodes.begin(), fleet.nodes.begin() + size, [](auto& node) {
        return !node->up || node->protocol->gone().size() == 1;
    }));
}

struct call_case {
    const char* name;
    std::size_t domains;
    double calls_per_second;
};

class StoreCalls : public testing::TestWithParam<call_case> {};

/// Guards against more store requests than the fleet's budget allows, and against VMs that count
/// as isolated in a healthy fleet.
TEST_P(StoreCalls, StayFewAndNobodyIsIsolated) {
    membership_fleet fleet{size, GetParam().domains, seed};
    fleet.run(seconds{10});
    fleet.store_calls = 0;
    for (int i = 0; i < 120; ++i) {
        fleet.run(seconds{1});
        for (const auto& node : fleet.nodes) {
            EXPECT_FALSE(node->protocol->isolated(fleet.now)) << node->entry.vm << " at " << i;
        }
    }
    EXPECT_LE(static_cast<double>(fleet.store_calls) / 120, GetParam().calls_per_second);
}

INSTANTIATE_TEST_SUITE_P(Membership, StoreCalls,
                         testing::Values(call_case{"three_domains", 3, 0.25},
                                         call_case{"one_domain", 1, 1.5}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
