#include "jackdawvane/limits/rate_limiter.hpp"

#include <utility>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "programs/jackdawvane-limits/mechanism.hpp"

namespace jackdawvane::limits {

namespace {

/// Time until the platform removes a killed VM from its VM list.
constexpr duration listing_delay = std::chrono::seconds{5};

/// @brief Runs one `rate_limiter` per VM: each holds shares of the rates, requests tokens from
/// other VMs on demand and moves rates between them.
class escrow final : public mechanism {
  public:
    explicit escrow(simulation& sim) : simulation_{sim} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            start_vm(slot);
        }
        update_fleet();
    }

    void request(std::size_t slot, std::size_t organisation,
                 decision_callback on_decision) override {
        auto& target = *vms_.at(slot);
        const request_id handle = request_ids_.next();
        run_on(target, [&](actions& out) {
            const auto answer = target.limiter->admit(
                simulation_.now(), organisation_name(organisation), handle, no_deadline, out);
            if (answer.state == admission_state::pending) {
                waiting_.emplace(handle, std::move(on_decision));
            } else {
                on_decision(answer.state == admission_state::admitted);
            }
        });
    }

    void on_vm_killed(std::size_t slot) override {
        const auto id = vms_.at(slot)->entry.vm;
        vms_.at(slot).reset();
        simulation_.after(listing_delay, [this, id] {
            removed_vms_.insert(id);
            update_fleet();
        });
        update_fleet();
    }

    void on_vm_replaced(std::size_t slot) override {
        start_vm(slot);
        update_fleet();
    }

  private:
    struct vm {
        std::size_t slot{0};
        vm_entry entry;
        random_engine random;
        id_sequence<request_id> ids;
        std::unique_ptr<rate_limiter> limiter;
        std::uint64_t generation{0};
    };

    void start_vm(std::size_t slot) {
        auto started = std::make_unique<vm>();
        started->slot = slot;
        const auto domain = domain_of(slot);
        const bool distant = domain == domain_count - 1;
        started->entry.vm = vm_id{"vm-" + std::to_string(++started_vms_)};
        started->entry.place = {region_id{distant ? "distant" : "central"},
                                failure_domain_id{"domain-" + std::to_string(domain)}};
        started->random.seed(simulation_.random()());
        started->limiter = std::make_unique<rate_limiter>(
            started->entry.vm, vm_incarnation{1}, started->entry.place, rate_limiter_settings{},
            started->ids, started->random);
        vms_.at(slot) = std::move(started);
        std::map<organisation_id, organisation_row> rows;
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            const auto limits = organisation_limits()[i];
            rows[organisation_name(i)] = {limits.rate, limits.burst, 1};
        }
        auto& target = *vms_.at(slot);
        run_on(target, [&](actions& out) {
            target.limiter->configure(simulation_.now(), rows, revision{1}, out);
        });
    }

    void update_fleet() {
        std::vector<vm_entry> live;
        for (const auto& each : vms_) {
            if (each) {
                live.push_back(each->entry);
            }
        }
        for (const auto& each : vms_) {
            if (each) {
                run_on(*each, [&](actions& out) {
                    each->limiter->set_fleet(simulation_.now(), live, removed_vms_, out);
                });
            }
        }
    }

    template <class Work>
    void run_on(vm& target, Work work) {
        actions out;
        work(out);
        for (const auto& decision : target.limiter->take_decisions()) {
            auto found = waiting_.extract(decision.handle);
            if (!found.empty()) {
                found.mapped()(decision.state == admission_state::admitted);
            }
        }
        for (const auto& output : out) {
            carry_out(target, output);
        }
        schedule(target);
    }

    void carry_out(vm& target, const action& output) {
        if (const auto* message = std::get_if<send_to_peer>(&output)) {
            send(target, *message);
        } else if (const auto* request = std::get_if<store_request>(&output)) {
            simulation_.call(
                target.slot, *request,
                [this, id = target.entry.vm, slot = target.slot](const store_answer& answer) {
                    if (auto* current = find(slot, id)) {
                        run_on(*current, [&](actions& out) {
                            std::ignore =
                                current->limiter->on_store(simulation_.now(), answer, out);
                        });
                    }
                });
        }
    }

    void send(vm& target, const send_to_peer& message) {
        for (const auto& each : vms_) {
            if (!each || each->entry.vm != message.vm) {
                continue;
            }
            const auto size = write_json(encode(message.message)).size();
            simulation_.send(target.slot, each->slot, size,
                             [this, from = target.entry.vm, slot = each->slot, message] {
                                 if (auto* current = find(slot, message.vm)) {
                                     run_on(*current, [&](actions& out) {
                                         current->limiter->on_peer(simulation_.now(), from,
                                                                   message.message, out);
                                     });
                                 }
                             });
        }
    }

    vm* find(std::size_t slot, const vm_id& id) {
        auto& each = vms_.at(slot);
        return each && each->entry.vm == id ? each.get() : nullptr;
    }

    void schedule(vm& target) {
        const auto generation = ++target.generation;
        const auto due = target.limiter->next_deadline();
        if (due == no_deadline) {
            return;
        }
        const auto delay = std::max(duration{1}, due - simulation_.now());
        simulation_.after(delay, [this, generation, slot = target.slot, id = target.entry.vm] {
            auto* current = find(slot, id);
            if (current != nullptr && current->generation == generation) {
                run_on(*current,
                       [&](actions& out) { current->limiter->tick(simulation_.now(), out); });
            }
        });
    }

    simulation& simulation_;
    std::array<std::unique_ptr<vm>, vm_count> vms_;
    std::set<vm_id> removed_vms_;
    std::map<request_id, decision_callback> waiting_;
    id_sequence<request_id> request_ids_;
    int started_vms_{0};
};

} // namespace

std::unique_ptr<mechanism> make_escrow(simulation& sim) {
    return std::make_unique<escrow>(sim);
}

} // namespace jackdawvane::limits
