#include "jackdawvane/foundation/packed_text.hpp"

#include "core/spread_fleet.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t fleet_size = 66;
constexpr std::size_t large_document = 4'000; // routes
/// Half of the shortest time in which a change has to be in force.
constexpr duration half_of_bound = milliseconds{1'500};

/// Guards against a change of one row that costs as much as the whole document.
TEST(ConfigurationSpread, ChangeOfOneRowDoesNotSendTheDocument) {
    spread_fleet fleet{fleet_size, large_document};
    fleet.stored.routes.begin()->second.deadline_ms += 1;
    fleet.write();
    fleet.run(half_of_bound);
    EXPECT_EQ(fleet.behind(), 0U);
    EXPECT_LE(fleet.peer_bytes / fleet_size, 4'096U) << "bytes per receiver";
}

struct large_change {
    const char* name;
    std::size_t routes; ///< Added to a document of 300.
};

class LargeChange : public testing::TestWithParam<large_change> {};

/// Guards against a change that is in force late because it waits for narrow links.
TEST_P(LargeChange, IsInForceEverywhereInHalfOfTheBound) {
    spread_fleet fleet{fleet_size, 300};
    fleet.add_routes(GetParam().routes);
    fleet.write();
    fleet.run(half_of_bound);
    EXPECT_EQ(fleet.behind(), 0U);
}

/// Guards against probes and statements that wait behind the configuration for a link.
TEST_P(LargeChange, LeavesRoomOnTheLinksForOtherMessages) {
    spread_fleet fleet{fleet_size, 300};
    fleet.add_routes(GetParam().routes);
    fleet.write();
    fleet.run(milliseconds{4'000});
    EXPECT_EQ(fleet.behind(), 0U);
    EXPECT_LE(fleet.longest_queue(), milliseconds{100});
}

/// Guards against a configuration that VMs receive several times, or that one VM sends to most
/// others, or that crosses region borders for each receiver.
TEST_P(LargeChange, IsReceivedOnceAndSentAFewTimesByEachVm) {
    spread_fleet fleet{fleet_size, 300};
    fleet.add_routes(GetParam().routes);
    fleet.write();
    fleet.run(milliseconds{4'000});
    EXPECT_EQ(fleet.behind(), 0U);
    const auto once = pack_text(rows_text(fleet.stored, all_rows(fleet.stored))).size();
    EXPECT_LE(fleet.peer_bytes / fleet_size, once + once / 2);
    EXPECT_LE(fleet.most_sent(), 8 * once);
    EXPECT_LE(fleet.region_bytes, fleet_size / 10 * once);
}

INSTANTIATE_TEST_SUITE_P(ConfigurationSpread, LargeChange,
                         testing::Values(large_change{"300_routes", 300},
                                         large_change{"1500_routes", 1'500},
                                         large_change{"4200_routes", 4'200}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against VMs of two versions that do not get the configuration from each other.
TEST(ConfigurationSpread, VmsOfTwoVersionsGetItFromEachOther) {
    spread_fleet fleet{fleet_size, 20};
    for (std::size_t i = 0; i < fleet_size; ++i) {
        fleet.vms[i]->earlier_version = i / spread_fleet::domain_count % 2 == 0;
    }
    fleet.add_routes(100);
    fleet.write();
    fleet.run(milliseconds{3'000});
    EXPECT_EQ(fleet.behind(), 0U);
}

/// Guards against VMs that keep the old document when the VMs that should pass it on are gone and
/// not yet known to be.
TEST(ConfigurationSpread, LossOfSomeVmsDelaysTheOthersLittle) {
    spread_fleet fleet{fleet_size, 300};
    for (std::size_t i = 0; i < fleet_size; i += 4) {
        fleet.vms[i]->alive = false;
    }
    fleet.add_routes(300);
    fleet.write();
    fleet.run(milliseconds{3'000});
    EXPECT_EQ(fleet.behind(), 0U);
}

/// Guards against a row that a VM keeps although the revision that it has in force has no such row.
TEST(ConfigurationSpread, RowRemovedInARevisionThatFollowsASkippedOneIsGoneEverywhere) {
    spread_fleet fleet{24, 20};
    const auto in_domain_0 = [](const auto& vm) {
        return vm->number % spread_fleet::domain_count == 0;
    };
    for (const auto& vm : fleet.vms) {
        vm->reaches_store = vm->receives_messages = !in_domain_0(vm);
    }
    fleet.add_routes(1);
    fleet.write();
    fleet.run(milliseconds{500});
    for (const auto& vm : fleet.vms) {
        vm->reaches_store = in_domain_0(vm);
        vm->receives_messages = true;
    }
    fleet.stored.routes.erase(fleet.stored.routes.begin());
    fleet.write();
    fleet.run(milliseconds{5'000});
    EXPECT_EQ(fleet.behind(), 0U);
    EXPECT_EQ(fleet.with_other_rows(), 0U);
}

/// Guards against a VM that keeps the old document because no other VM has rows that it can use.
TEST(ConfigurationSpread, VmThatCannotUseTheRowsOfOthersReadsTheStore) {
    spread_fleet fleet{24, 20};
    const auto tested = std::find_if(fleet.vms.begin(), fleet.vms.end(),
                                     [](const auto& vm) { return !vm->replica.is_delegate(); });
    ASSERT_NE(tested, fleet.vms.end());
    (*tested)->other_digests = true;
    fleet.add_routes(1);
    fleet.write();
    fleet.run(half_of_bound);
    EXPECT_EQ(fleet.behind(), 0U);
}

class RandomChanges : public testing::TestWithParam<unsigned> {};

/// Guards against VMs that have the same revision in force and not the same rows.
TEST_P(RandomChanges, LeaveTheSameRowsEverywhere) {
    spread_fleet fleet{24, 20};
    random_engine random{GetParam()};
    const auto below = [&](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
    };
    for (unsigned round = 0; round < 12; ++round) {
        for (const auto& vm : fleet.vms) {
            vm->reaches_store = below(3) != 0;
            vm->receives_messages = below(6) != 0;
        }
        auto& routes = fleet.stored.routes;
        if (below(2) == 0) {
            fleet.add_routes(1 + below(3));
        } else {
            routes.erase(std::next(routes.begin(), static_cast<long>(below(routes.size()))));
        }
        fleet.write();
        fleet.run(milliseconds{below(500)});
    }
    for (const auto& vm : fleet.vms) {
        vm->reaches_store = vm->receives_messages = true;
    }
    fleet.write();
    fleet.run(milliseconds{5'000});
    EXPECT_EQ(fleet.behind(), 0U);
    EXPECT_EQ(fleet.with_other_rows(), 0U);
}

INSTANTIATE_TEST_SUITE_P(ConfigurationSpread, RandomChanges, testing::Range(1U, 9U));

/// Guards against a VM that makes the text of a large change although it has received it.
TEST(ConfigurationSpread, ReceivedTextIsPassedOnAsItIs) {
    auto old = sample_document();
    auto changed = old;
    changed.revision = revision{2};
    changed.organisations.begin()->second.rate += 1;
    configuration_history history;
    history.add(old.revision, digest_of(old), changed_rows(old, changed));
    configuration_part_server server;
    server.on_changed();
    server.keep(old.revision, "received text");
    const digested_document present{changed, digest_of(changed)};
    const auto answer = [&](const configuration_document& other) {
        const configuration_request request{other.revision, digest_of(other), {}, 0};
        return server.answer({}, vm_id{"b"}, request, present, history);
    };
    EXPECT_EQ(answer(old).text, "received text");
    auto unlike = old;
    unlike.organisations.begin()->second.rate += 2;
    EXPECT_NE(answer(unlike).text, "received text") << "it changes other rows";
    server.on_changed();
    EXPECT_NE(answer(old).text, "received text") << "it leads to an earlier revision";
}

struct damage {
    const char* name;
    void (*apply)(configuration_part&);
};

class DamagedPart : public testing::TestWithParam<damage> {};

/// Guards against rows in force that are not those that the source has in force.
TEST_P(DamagedPart, IsNotUsed) {
    auto old = sample_document();
    auto changed = old;
    changed.revision = revision{2};
    changed.organisations.begin()->second.rate += 1;
    const auto old_digest = digest_of(old);
    const auto digest = digest_of(changed);
    configuration_history history;
    history.add(old.revision, old_digest, changed_rows(old, changed));
    configuration_part_server server;
    const digested_document present{old, old_digest};
    auto part = server.answer({}, vm_id{"b"}, {old.revision, old_digest, {}, 0}, {changed, digest},
                              history);
    {
        configuration_part_collector collector;
        ASSERT_EQ(collector.add(part), configuration_part_collector::progress::complete);
        ASSERT_TRUE(collector.finish(present));
    }
    GetParam().apply(part);
    configuration_part_collector collector;
    if (collector.add(part) == configuration_part_collector::progress::complete) {
        EXPECT_FALSE(collector.finish(present));
    }
}

INSTANTIATE_TEST_SUITE_P(
    ConfigurationSpread, DamagedPart,
    testing::Values(damage{"other_digest",
                           [](configuration_part& part) {
                               part.digest = content_digest{part.digest.value() + 1};
                           }},
                    damage{"rows_of_another_revision",
                           [](configuration_part& part) { part.after = revision{7}; }},
                    damage{"text_is_no_base64",
                           [](configuration_part& part) { part.text.front() = '!'; }},
                    damage{"text_is_cut", [](configuration_part& part) { part.text.resize(8); }},
                    damage{"text_is_cut_with_its_length",
                           [](configuration_part& part) {
                               part.text.resize(8);
                               part.total = 8;
                           }},
                    damage{"text_is_longer_than_its_length",
                           [](configuration_part& part) { part.text += part.text; }},
                    damage{"text_has_other_rows",
                           [](configuration_part& part) {
                               part.text = pack_text(R"({"keys":{}})");
                               part.total = static_cast<std::uint32_t>(part.text.size());
                           }},
                    damage{"text_unpacks_to_more_than_the_limit",
                           [](configuration_part& part) {
                               part.text = pack_text(std::string(10'000'000, ' '));
                               part.total = static_cast<std::uint32_t>(part.text.size());
                           }}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
