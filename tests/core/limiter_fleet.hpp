#pragma once

#include "jackdawvane/limits/rate_limiter.hpp"

#include <utility>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// Store with versions and leases, in virtual time.
class fake_store {
  public:
    store_answer call(time_point now, const store_request& request) {
        ++calls;
        store_answer answer{request.id, store_status::ok, {}, 0, {}};
        if (request.operation == store_operation::renew_lease) {
            const auto found = leases.find(request.key);
            if (found == leases.end() || found->second.second <= now ||
                found->second.first != request.value) {
                ++lease_versions[request.key];
            }
            leases[request.key] = {request.value, now + request.lease};
            answer.version = lease_versions[request.key];
        } else if (request.operation == store_operation::release_lease) {
            leases.erase(request.key);
        } else if (request.key.starts_with("vms/")) {
            const auto lease = leases.find(request.key);
            const bool held = lease != leases.end() && lease->second.second > now;
            answer.status = held ? store_status::ok : store_status::not_found;
            answer.value = held ? lease->second.first : "";
        } else {
            access(request, answer);
        }
        return answer;
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> values;
    std::map<std::string, std::pair<std::string, time_point>> leases;
    std::map<std::string, std::uint64_t> lease_versions; ///< How often each lease was created.
    bool down{false};
    int calls{0};

  private:
    void access(const store_request& request, store_answer& answer) {
        auto& [value, version] = values[request.key];
        if (request.operation == store_operation::compare_and_swap) {
            if (request.version == version) {
                value = request.value;
                ++version;
            } else {
                answer.status = store_status::conflict;
            }
        } else if (version == 0) {
            answer.status = store_status::not_found;
        }
        answer.value = value;
        answer.version = version;
    }
};

/// Several rate limiters with messages and store calls between them, in virtual time. Tests
/// decide what happens to each message and store call.
class limiter_fleet {
  public:
    struct node {
        vm_entry entry;
        vm_incarnation incarnation;
        random_engine random;
        id_sequence<request_id> ids;
        std::unique_ptr<rate_limiter> limiter;
        revision known; ///< Newest configuration that it has received.
        bool suspended{false};
        bool isolated{false}; ///< Its messages and store calls are lost; its callers reach it.
        std::vector<std::function<void()>> backlog;
        std::uint64_t generation{0}; ///< Of the scheduled tick; older ticks are ignored.
    };
    struct message_outcome {
        std::vector<duration> deliveries; ///< One per copy; none for a lost message.
    };
    struct store_outcome {
        duration to{from_milliseconds(1)};
        duration back{from_milliseconds(1)};
        bool lost_request{false};
        bool lost_answer{false};
    };

    explicit limiter_fleet(rate_limiter_settings chosen, std::uint64_t seed = 1)
        : settings{chosen}, random{seed} {}

    node& start(const std::string& vm, std::uint64_t incarnation, const std::string& domain) {
        auto made = std::make_unique<node>();
        made->entry = {vm_id{vm},
                       {vm, 1},
                       {vm, 2},
                       {region_id{"r"}, failure_domain_id{domain}},
                       vm_state::live};
        made->incarnation = vm_incarnation{incarnation};
        made->random.seed(random());
        made->limiter =
            std::make_unique<rate_limiter>(made->entry.vm, made->incarnation, made->entry.place,
                                           settings, made->ids, made->random);
        nodes.push_back(std::move(made));
        return *nodes.back();
    }

    void kill(node& victim) {
        std::erase_if(nodes, [&](const auto& each) { return each.get() == &victim; });
    }

    node* find(const vm_id& vm, std::uint64_t incarnation = 0) {
        for (auto& each : nodes) {
            if (each->entry.vm == vm &&
                (incarnation == 0 || each->incarnation.value() == incarnation)) {
                return each.get();
            }
        }
        return nullptr;
    }

    void at(duration delay, std::function<void()> work) {
        queue.emplace(now + delay, std::move(work));
    }

    /// Runs @a work on @a target, or once it resumes if it is suspended, and executes its actions.
    void on(node& target, const std::function<void(actions&)>& work) {
        if (target.suspended) {
            const auto vm = target.entry.vm;
            const auto incarnation = target.incarnation.value();
            target.backlog.emplace_back([this, vm, incarnation, work] {
                if (auto* same = find(vm, incarnation)) {
                    on(*same, work);
                }
            });
            return;
        }
        actions out;
        work(out);
        for (auto& decision : target.limiter->take_decisions()) {
            on_decision(target, decision);
        }
        for (const auto& each : out) {
            execute(target, each);
        }
        schedule(target);
    }

    void resume(node& target) {
        target.suspended = false;
        on(target, [&](actions& out) { target.limiter->paused(now, out); });
        for (const auto& work : std::exchange(target.backlog, {})) {
            work();
        }
    }

    void configure_all(std::uint64_t newer, double rate, double burst) {
        for (auto& each : nodes) {
            configure(*each, newer, rate, burst);
        }
    }
    void configure(node& target, std::uint64_t newer, double rate, double burst) {
        on(target, [this, &target, newer, rate, burst](actions& out) {
            target.known = std::max(target.known, revision{newer});
            target.limiter->configure(now, {{organisation, {rate, burst, 1}}}, revision{newer},
                                      out);
        });
    }

    /// Announces the live VMs to every VM.
    void announce_fleet(const std::set<vm_id>& gone = {}) {
        std::vector<vm_entry> live;
        for (const auto& each : nodes) {
            if (!gone.contains(each->entry.vm)) {
                live.push_back(each->entry);
            }
        }
        for (auto& each : nodes) {
            if (each->isolated) {
                continue; // It hears of no change.
            }
            on(*each, [this, target = each.get(), live, gone](actions& out) {
                target->limiter->set_fleet(now, live, gone, out);
            });
        }
    }

    admission_state request(node& target) {
        auto state = admission_state::refused;
        if (target.suspended) {
            return state;
        }
        on(target, [&](actions& out) {
            const auto verdict =
                target.limiter->admit(now, organisation, request_id{++handles}, no_deadline, out);
            state = verdict.state;
            if (state != admission_state::pending) {
                on_decision(target, verdict);
            }
        });
        return state;
    }

    /// Runs the schedule for @a time; calls `after_event` after every event.
    void run(duration time) {
        const auto end = now + time;
        while (!queue.empty() && queue.begin()->first <= end) {
            const auto next = queue.begin();
            now = std::max(now, next->first);
            const auto work = std::move(next->second);
            queue.erase(next);
            work();
            after_event();
        }
        now = end;
    }

    [[nodiscard]] const organisation_limiter& limiter(const node& each) const {
        return *each.limiter->find(organisation);
    }
    [[nodiscard]] const share_ledger& ledger(const node& each) const {
        return each.limiter->find_group(organisation)->ledger();
    }
    [[nodiscard]] share_group_id group() const {
        return share_group_of(organisation, settings.groups);
    }
    [[nodiscard]] share_record record() const {
        const auto found = store.values.find(share_key(group()));
        return found == store.values.end() || found->second.second == 0
                   ? share_record{}
                   : from_json<share_record>(parse_json(found->second.first).value()).value();
    }

    rate_limiter_settings settings;
    random_engine random;
    organisation_id organisation{"depot"};
    time_point now{};
    std::vector<std::unique_ptr<node>> nodes;
    fake_store store;
    std::multimap<time_point, std::function<void()>> queue;
    std::uint64_t handles{0};
    std::function<message_outcome(const peer_message&)> choose_message_outcome =
        [](const peer_message&) { return message_outcome{{from_milliseconds(1)}}; };
    std::function<store_outcome(const store_request&)> choose_store_outcome =
        [](const store_request&) { return store_outcome{}; };
    std::function<void(node&, const admission&)> on_decision = [](node&, const admission&) {};
    std::function<void()> after_event = [] {};

  private:
    void execute(node& from, const action& ordered) {
        if (const auto* message = std::get_if<send_to_peer>(&ordered)) {
            if (from.isolated) {
                return;
            }
            for (const auto delay : choose_message_outcome(message->message).deliveries) {
                at(delay,
                   [this, sender = from.entry.vm, sent = *message] { deliver(sender, sent); });
            }
        } else if (const auto* request = std::get_if<store_request>(&ordered)) {
            call_store(from, *request);
        }
    }

    void deliver(const vm_id& sender, const send_to_peer& sent) {
        if (auto* target = find(sent.vm); target != nullptr && !target->isolated) {
            on(*target, [this, target, sender, sent](actions& out) {
                target->limiter->on_peer(now, sender, sent.message, out);
            });
        }
    }

    void call_store(node& from, const store_request& request) {
        const auto chosen = choose_store_outcome(request);
        at(chosen.to,
           [this, chosen, request, vm = from.entry.vm, incarnation = from.incarnation.value()] {
               store_answer answer{request.id, store_status::unavailable, {}, 0, {}};
               const auto* caller = find(vm, incarnation);
               const bool cut = caller != nullptr && caller->isolated;
               if (!store.down && !chosen.lost_request && !cut) {
                   const auto real = store.call(now, request);
                   answer = chosen.lost_answer ? answer : real;
               }
               at(chosen.back, [this, answer, vm, incarnation] {
                   if (auto* target = find(vm, incarnation)) {
                       on(*target, [this, target, answer](actions& out) {
                           std::ignore = target->limiter->on_store(now, answer, out);
                       });
                   }
               });
           });
    }

    void schedule(node& target) {
        const auto due = target.limiter->next_deadline();
        const auto generation = ++target.generation;
        if (due == no_deadline) {
            return;
        }
        queue.emplace(
            std::max(due, now + duration{1}),
            [this, vm = target.entry.vm, incarnation = target.incarnation.value(), generation] {
                auto* same = find(vm, incarnation);
                if (same != nullptr && same->generation == generation) {
                    on(*same, [this, same](actions& out) { same->limiter->tick(now, out); });
                }
            });
    }
};

} // namespace jackdawvane
