#pragma once

#include "jackdawvane/failover/fencing_policy.hpp"
#include "jackdawvane/failover/group_monitor.hpp"

#include <utility>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/fake_backend.hpp"

namespace jackdawvane {

/// @brief Three failure domains, each with one VM and one backend server, under virtual time.
class group_simulation {
  public:
    static constexpr int size = 3;
    static constexpr duration write_limit = std::chrono::milliseconds{500};

    struct vm {
        bool alive{true};
        bool frozen{false};
        std::vector<std::function<void()>> deferred;
        random_engine random;
        id_sequence<connection_id> connections;
        id_sequence<request_id> requests;
        std::map<int, std::unique_ptr<group_monitor>> monitors;
        time_point wake{no_deadline};
    };
    struct pending_write {
        term written;
        log_position position;
        std::uint64_t payload;
        time_point until;
    };

    fake_backend backends[size];
    vm vms[size];
    std::set<int> isolated;               ///< Failure domains without links to the others.
    std::set<std::pair<int, int>> silent; ///< VM and backend server whose open connections stall.
    unsigned lost_percent{0};
    unsigned repeated_percent{0};
    const fencing_policy* policy{&fencing_policy_for(fencing_mode::majority)};

    std::set<std::uint64_t> acknowledged;
    time_point last_acknowledged;
    duration longest_gap{0};
    std::map<term, std::set<int>> primaries;

    explicit group_simulation(std::uint64_t seed) : random_{seed} {
        for (int i = 0; i < size; ++i) {
            vms[i].random.seed(seed * 31 + static_cast<std::uint64_t>(i));
            auto& row = group_.backend_servers[id_of(i)];
            row.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(i)};
            row.place = place_of(i);
        }
        for (int i = 0; i < size; ++i) {
            set_owner(i, i);
        }
        step();
    }

    [[nodiscard]] time_point now() const { return now_; }
    random_engine& random() { return random_; }

    void at(time_point when, std::function<void()> work) { queue_.emplace(when, std::move(work)); }
    void run_until(time_point end) {
        while (!queue_.empty() && queue_.begin()->first <= end) {
            const auto next = queue_.extract(queue_.begin());
            now_ = std::max(now_, next.key());
            next.mapped()();
        }
        now_ = end;
    }

    /// @brief Index of the acting primary of the highest term, or -1.
    [[nodiscard]] int primary() const {
        int found{-1};
        for (int i = 0; i < size; ++i) {
            const auto status = backends[i].status();
            if (acts_as_primary(status) &&
                (found < 0 || status.accepted_term > backends[found].status().accepted_term)) {
                found = i;
            }
        }
        return found;
    }

    /// @brief Number of acknowledged writes missing in the primary's log; all when there is no
    /// primary.
    [[nodiscard]] std::size_t lost_writes() const {
        std::set<std::uint64_t> missing = acknowledged;
        if (const int found = primary(); found >= 0) {
            for (const auto& entry : backends[found].log) {
                missing.erase(entry.payload);
            }
        }
        return missing.size();
    }

    void kill_backend(int index) {
        backends[index].alive = false;
        for (const auto& [key, made] : links_) {
            const auto [host, id] = key;
            if (made.backend == index && linked(host, index)) {
                deliver(host, now_ + delay(host, index), [=, this](auto& monitor, actions& out) {
                    monitor.on_disconnected(now_, id, "reset", out);
                });
            }
        }
    }
    void crash_backend(int index) {
        kill_backend(index);
        backends[index].restart();
    }
    void lose_domain(int index) {
        kill_backend(index);
        kill_vm(index);
    }
    void restore_domain(int index) {
        backends[index].restart();
        restart_vm(index);
    }
    void set_state(int index, backend_state state) {
        group_.backend_servers[id_of(index)].state = state;
        configure();
    }
    void kill_vm(int index) {
        vms[index].alive = false;
        vms[index].monitors.clear();
        // Membership detects the failure and assigns another owner.
        at(now_ + from_milliseconds(1500), [this, index] {
            if (!vms[index].alive) {
                set_owner((index + 1) % size, index);
            }
        });
    }
    void restart_vm(int index) {
        vms[index].alive = true;
        set_owner(index, index);
    }
    void resume_vm(int index) {
        if (!std::exchange(vms[index].frozen, false)) {
            return;
        }
        for (auto& [backend, monitor] : vms[index].monitors) {
            actions out;
            monitor->paused(now_, out);
            carry_out(index, out);
        }
        for (auto& work : std::exchange(vms[index].deferred, {})) {
            work();
        }
    }

  private:
    struct link {
        int backend;
        bool silent{false};
    };

    static backend_server_id id_of(int index) {
        return backend_server_id{"b" + std::to_string(index)};
    }
    static location place_of(int index) {
        return {region_id{index < 2 ? "near" : "far"}, failure_domain_id{std::to_string(index)}};
    }
    duration delay(int from, int to) {
        const auto base =
            from == to ? 200 : (place_of(from).region == place_of(to).region ? 500 : 8000);
        return duration{base + static_cast<int>(random_() % 300)};
    }
    [[nodiscard]] bool linked(int from, int to) const {
        return from == to || (!isolated.contains(from) && !isolated.contains(to));
    }
    bool chance(unsigned percent) { return random_() % 100 < percent; }

    void configure() {
        std::map<backend_server_id, vm_entry> owners;
        for (const auto& [owned, by] : owner_) {
            owners[id_of(owned)] = {vm_id{std::to_string(by)}, {}, {}, place_of(by)};
        }
        for (auto& each : vms) {
            for (auto& [owned, monitor] : each.monitors) {
                monitor->configure(group_, owners);
            }
        }
    }
    void set_owner(int vm_index, int backend) {
        for (auto& other : vms) {
            other.monitors.erase(backend);
        }
        owner_[backend] = vm_index;
        auto& host = vms[vm_index];
        host.monitors[backend] = std::make_unique<group_monitor>(
            monitored_backend{vm_id{std::to_string(vm_index)}, place_of(vm_index), group_id{"g"},
                              id_of(backend)},
            group_monitor_settings{}, host.random,
            node_id_sequences{host.connections, host.requests});
        configure();
        actions out;
        host.monitors[backend]->start(now_, out);
        carry_out(vm_index, out);
    }

    /// Runs @a work on a VM; a frozen VM runs it after it resumes.
    void deliver(int index, time_point when, std::function<void(group_monitor&, actions&)> work) {
        at(when, [this, index, work = std::move(work)] { handle(index, work); });
    }
    void handle(int index, const std::function<void(group_monitor&, actions&)>& work) {
        auto& host = vms[index];
        if (!host.alive) {
            return;
        }
        if (host.frozen) {
            host.deferred.push_back([this, index, work] { handle(index, work); });
            return;
        }
        actions out;
        for (auto& [backend, monitor] : host.monitors) {
            work(*monitor, out);
        }
        carry_out(index, out);
    }

    void carry_out(int index, const actions& out) {
        for (const auto& each : out) {
            if (const auto* open = std::get_if<open_connection>(&each)) {
                connect(index, *open);
            } else if (const auto* sent = std::get_if<send_to_backend>(&each)) {
                request(index, sent->connection, sent->request);
            } else if (const auto* closed = std::get_if<close_connection>(&each)) {
                links_.erase({index, closed->connection});
            } else if (const auto* message = std::get_if<send_to_peer>(&each)) {
                report(index, *message);
            }
        }
        acknowledge(index);
        schedule_tick(index);
    }
    void schedule_tick(int index) {
        auto due = no_deadline;
        for (auto& [backend, monitor] : vms[index].monitors) {
            due = std::min(due, monitor->next_deadline());
        }
        due = std::max(due, now_ + duration{100});
        if (due == no_deadline || (vms[index].wake <= due && vms[index].wake > now_)) {
            return;
        }
        vms[index].wake = due;
        deliver(index, due, [this](auto& monitor, actions& out) { monitor.tick(now_, out); });
    }

    void connect(int index, const open_connection& open) {
        const int backend = open.endpoint.port;
        links_[{index, open.connection}] = {backend, false};
        if (!linked(index, backend)) {
            return;
        }
        const bool refused = !backends[backend].alive;
        deliver(index, now_ + 3 * delay(index, backend),
                [=, this, id = open.connection](auto& monitor, actions& out) {
                    if (refused) {
                        monitor.on_disconnected(now_, id, "connection refused", out);
                    } else if (links_.contains({index, id})) {
                        monitor.on_connected(now_, id, out);
                    }
                });
    }
    void request(int index, connection_id id, const backend_request& sent) {
        const auto found = links_.find({index, id});
        if (found == links_.end() || found->second.silent ||
            !linked(index, found->second.backend)) {
            return;
        }
        const int backend = found->second.backend;
        at(now_ + delay(index, backend),
           [=, this] { serve(index, id, backend, sent, now_ + sent.wait); });
    }
    void serve(int index, connection_id id, int backend, const backend_request& sent,
               time_point until) {
        auto& server = backends[backend];
        const auto found = links_.find({index, id});
        if (!server.alive || found == links_.end() || found->second.silent) {
            return;
        }
        const bool held = sent.operation == backend_operation::status && now_ < until &&
                          log_position{server.log.size()} <= sent.after;
        if (server.frozen || held) {
            at(now_ + from_milliseconds(1), [=, this] { serve(index, id, backend, sent, until); });
            return;
        }
        backend_answer answer;
        answer.id = sent.id;
        answer.problem.kind = server.run(sent, now_) ? error_kind::none : error_kind::fenced;
        answer.status = server.status();
        if (acts_as_primary(answer.status)) {
            primaries[answer.status.accepted_term].insert(backend);
        }
        if (!linked(index, backend)) {
            return;
        }
        deliver(index, now_ + delay(index, backend), [=, this](auto& monitor, actions& out) {
            if (links_.contains({index, id})) {
                monitor.on_answer(now_, id, answer, out);
            }
        });
    }
    void report(int from, const send_to_peer& message) {
        const int to = std::stoi(message.vm.str());
        const auto body = std::get<group_report>(message.message);
        const int copies = (chance(lost_percent) ? 0 : 1) + (chance(repeated_percent) ? 1 : 0);
        for (int copy = 0; copy < copies && linked(from, to); ++copy) {
            // A repeated report also arrives late and out of order.
            const auto late = from_milliseconds(copy == 0 ? 0 : static_cast<int>(random_() % 900));
            deliver(to, now_ + delay(from, to) + late, [=, this](auto& monitor, actions& out) {
                if (monitor.watched().backend != body.report.backend) {
                    monitor.on_report(now_, body, out);
                }
            });
        }
    }

    /// Replication, writers and silent connections advance once per millisecond.
    void step() {
        for (int i = 0; i < size; ++i) {
            auto& replica = backends[i];
            const int from = replica.following.port;
            const bool possible = !replica.following.address.empty() && replica.alive &&
                                  !replica.frozen && linked(i, from) && backends[from].alive &&
                                  !backends[from].frozen;
            if (possible) {
                replica.replicate_from(backends[from], now_ - delay(i, from));
            }
        }
        for (auto& [key, made] : links_) {
            made.silent = made.silent || silent.contains({key.first, made.backend});
        }
        silent.clear();
        if (++steps_ % 5 == 0) {
            for (int i = 0; i < size; ++i) {
                start_write(i);
            }
        }
        at(now_ + from_milliseconds(1), [this] { step(); });
    }
    void start_write(int index) {
        auto& host = vms[index];
        for (auto& [backend, monitor] : host.monitors) {
            const auto& view = monitor->view();
            if (!host.alive || host.frozen || view.primary() != id_of(backend) ||
                policy->refuse_write(view, now_, write_limit)) {
                continue;
            }
            backend_request write;
            write.operation = backend_operation::execute;
            write.expected_term = view.known_term();
            write.after = log_position{++payload_};
            at(now_ + delay(index, backend), [=, this, target = backend] {
                auto& server = backends[target];
                if (!server.alive || server.frozen || !linked(index, target) ||
                    !server.run(write, now_)) {
                    return;
                }
                const pending_write made{write.expected_term, log_position{server.log.size()},
                                         write.after.value(), now_ + write_limit};
                deliver(index, now_ + delay(index, target), [=, this](auto& owner, actions& out) {
                    if (owner.watched().backend == id_of(target)) {
                        pending_[index].push_back(made);
                        owner.await_position(now_, made.position, out);
                    }
                });
            });
        }
    }
    void acknowledge(int index) {
        std::erase_if(pending_[index], [&](const pending_write& write) {
            for (auto& [backend, monitor] : vms[index].monitors) {
                if (now_ < write.until &&
                    policy->acknowledged(monitor->view(), write.written, write.position)) {
                    acknowledged.insert(write.payload);
                    longest_gap = std::max(longest_gap, duration{now_ - last_acknowledged});
                    last_acknowledged = now_;
                    return true;
                }
            }
            return now_ >= write.until;
        });
    }

    random_engine random_;
    group_row group_;
    time_point now_{std::chrono::seconds{1}};
    std::uint64_t payload_{0};
    std::uint64_t steps_{0};
    std::multimap<time_point, std::function<void()>> queue_; ///< Equal times keep their order.
    std::map<std::pair<int, connection_id>, link> links_;
    std::map<int, int> owner_;
    std::map<int, std::vector<pending_write>> pending_;
};

} // namespace jackdawvane
