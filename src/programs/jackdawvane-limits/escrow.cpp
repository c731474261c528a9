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

/// The platform stops listing a killed VM after this time.
constexpr duration listing_lag = std::chrono::seconds{5};

/// @brief The limiter of this project: shares, tokens on demand, moved rates.
class escrow final : public mechanism {
  public:
    explicit escrow(world& around) : world_{around} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            boot(slot);
        }
        announce();
    }

    void request(std::size_t slot, std::size_t organisation, verdict decided) override {
        auto& at = *vms_.at(slot);
        const request_id handle = handles_.next();
        on(at, [&](actions& out) {
            const auto answer = at.limiter->admit(world_.now(), organisation_name(organisation),
                                                  handle, no_deadline, out);
            if (answer.state == admission_state::pending) {
                waiting_.emplace(handle, std::move(decided));
            } else {
                decided(answer.state == admission_state::admitted);
            }
        });
    }

    void killed(std::size_t slot) override {
        const auto id = vms_.at(slot)->entry.vm;
        vms_.at(slot).reset();
        world_.after(listing_lag, [this, id] {
            gone_.insert(id);
            announce();
        });
        announce();
    }

    void replaced(std::size_t slot) override {
        boot(slot);
        announce();
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

    void boot(std::size_t slot) {
        auto made = std::make_unique<vm>();
        made->slot = slot;
        const auto domain = domain_of(slot);
        const bool distant = domain == domain_count - 1;
        made->entry.vm = vm_id{"vm-" + std::to_string(++booted_)};
        made->entry.place = {region_id{distant ? "distant" : "central"},
                             failure_domain_id{"domain-" + std::to_string(domain)}};
        made->random.seed(world_.random()());
        made->limiter =
            std::make_unique<rate_limiter>(made->entry.vm, vm_incarnation{1}, made->entry.place,
                                           rate_limiter_settings{}, made->ids, made->random);
        vms_.at(slot) = std::move(made);
        std::map<organisation_id, organisation_row> rows;
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            const auto limits = organisation_limits()[i];
            rows[organisation_name(i)] = {limits.rate, limits.burst, 1};
        }
        auto& at = *vms_.at(slot);
        on(at, [&](actions& out) { at.limiter->configure(world_.now(), rows, revision{1}, out); });
    }

    void announce() {
        std::vector<vm_entry> live;
        for (const auto& each : vms_) {
            if (each) {
                live.push_back(each->entry);
            }
        }
        for (const auto& each : vms_) {
            if (each) {
                on(*each,
                   [&](actions& out) { each->limiter->set_fleet(world_.now(), live, gone_, out); });
            }
        }
    }

    template <class Work>
    void on(vm& at, Work work) {
        actions out;
        work(out);
        for (const auto& decision : at.limiter->take_decisions()) {
            auto found = waiting_.extract(decision.handle);
            if (!found.empty()) {
                found.mapped()(decision.state == admission_state::admitted);
            }
        }
        for (const auto& ordered : out) {
            carry_out(at, ordered);
        }
        schedule(at);
    }

    void carry_out(vm& at, const action& ordered) {
        if (const auto* message = std::get_if<send_to_peer>(&ordered)) {
            send(at, *message);
        } else if (const auto* request = std::get_if<store_request>(&ordered)) {
            world_.call(at.slot, *request,
                        [this, id = at.entry.vm, slot = at.slot](const store_answer& answer) {
                            if (auto* same = find(slot, id)) {
                                on(*same, [&](actions& out) {
                                    std::ignore =
                                        same->limiter->on_store(world_.now(), answer, out);
                                });
                            }
                        });
        }
    }

    void send(vm& at, const send_to_peer& message) {
        for (const auto& each : vms_) {
            if (!each || each->entry.vm != message.vm) {
                continue;
            }
            const auto size = write_json(encode(message.message)).size();
            world_.send(
                at.slot, each->slot, size, [this, from = at.entry.vm, slot = each->slot, message] {
                    if (auto* same = find(slot, message.vm)) {
                        on(*same, [&](actions& out) {
                            same->limiter->on_peer(world_.now(), from, message.message, out);
                        });
                    }
                });
        }
    }

    vm* find(std::size_t slot, const vm_id& id) {
        auto& each = vms_.at(slot);
        return each && each->entry.vm == id ? each.get() : nullptr;
    }

    void schedule(vm& at) {
        const auto generation = ++at.generation;
        const auto due = at.limiter->next_deadline();
        if (due == no_deadline) {
            return;
        }
        const auto delay = std::max(duration{1}, due - world_.now());
        world_.after(delay, [this, generation, slot = at.slot, id = at.entry.vm] {
            auto* same = find(slot, id);
            if (same != nullptr && same->generation == generation) {
                on(*same, [&](actions& out) { same->limiter->tick(world_.now(), out); });
            }
        });
    }

    world& world_;
    std::array<std::unique_ptr<vm>, vm_count> vms_;
    std::set<vm_id> gone_;
    std::map<request_id, verdict> waiting_;
    id_sequence<request_id> handles_;
    int booted_{0};
};

} // namespace

std::unique_ptr<mechanism> make_escrow(world& around) {
    return std::make_unique<escrow>(around);
}

} // namespace jackdawvane::limits
