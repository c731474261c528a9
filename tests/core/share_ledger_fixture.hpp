#pragma once

#include "limiter_fleet.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {

/// Three VMs in one failure domain that hold a third of 90 requests/s, burst 30, each.
class share_ledger_fixture : public testing::Test {
  protected:
    share_ledger_fixture() : fleet{settings()} {
        a = &fleet.start("a", 1, "d");
        b = &fleet.start("b", 1, "d");
        c = &fleet.start("c", 1, "d");
        fleet.configure_all(1, 90, 30);
        fleet.announce_fleet();
        fleet.run(std::chrono::seconds{5});
        for (auto* each : {a, b, c}) {
            notify(*each, 3); // All know the record in which all have joined.
        }
        fleet.run(std::chrono::seconds{1});
    }

    /// A fourth VM that joins is a holder, too.
    static rate_limiter_settings settings() {
        rate_limiter_settings chosen;
        chosen.holders_per_domain = 4;
        return chosen;
    }
    void notify(limiter_fleet::node& target, std::uint64_t version) {
        fleet.on(target, [this, &target, version](actions& out) {
            target.limiter->on_peer(fleet.now, vm_id{"x"}, share_notice{fleet.group(), version, {}},
                                    out);
        });
    }
    double rate_of(const limiter_fleet::node& each) { return fleet.limiter(each).usable().rate; }
    double tokens_of(const limiter_fleet::node& each) {
        return fleet.limiter(each).bucket().tokens(fleet.now);
    }
    std::uint32_t part_of(const char* vm) {
        const auto record = fleet.record();
        const auto* holder = record.find(vm_id{vm});
        return holder == nullptr ? 0 : holder->part;
    }
    /// Sends @a donor a request of @a asker for more rate, with the demand that it sees.
    void ask_for_rate(limiter_fleet::node& donor, const char* asker, double demand) {
        fleet.on(donor, [this, &donor, asker, demand](actions& out) {
            donor.limiter->on_peer(fleet.now, vm_id{asker},
                                   share_request{fleet.organisation, demand, 30}, out);
        });
    }
    /// Lets the next write of a share record take effect and loses its answer.
    void lose_next_answer() {
        fleet.choose_store_outcome = [this](const store_request& request) {
            limiter_fleet::store_outcome outcome;
            if (request.operation == store_operation::compare_and_swap) {
                outcome.lost_answer = true;
                fleet.choose_store_outcome = [](const store_request&) {
                    return limiter_fleet::store_outcome{};
                };
            }
            return outcome;
        };
    }
    void kill_and_forget(limiter_fleet::node& victim) {
        const auto vm = victim.entry.vm;
        fleet.kill(victim);
        fleet.announce_fleet({vm});
    }

    limiter_fleet fleet;
    limiter_fleet::node* a{nullptr};
    limiter_fleet::node* b{nullptr};
    limiter_fleet::node* c{nullptr};
};

} // namespace jackdawvane
