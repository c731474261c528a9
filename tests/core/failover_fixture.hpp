#pragma once

#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <utility>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::testing {

/// @brief A lease holder with a primary and two replicas whose answers the test controls.
class FailoverCoordinator : public ::testing::Test {
  protected:
    FailoverCoordinator()
        : observer{state, {}, connections, requests}, lease{vm_id{"a"}, {}, requests},
          coordinator{state, observer, lease} {
        state.self = vm("a");
        state.live = {state.self};
        state.configuration = session_configuration();
        state.directory.update(at(0), at(0), 1,
                               {registration("p"), registration("r1"), registration("r2")});
        state.update_group_members();
        status["p"] = primary_status(1, point(1, 10));
        status["r1"] = replica_status(1, point(1, 10));
        status["r2"] = replica_status(1, point(1, 9));
        lease.tick(at(0), 0, out.common);
        for (const auto& each : out.common) {
            if (const auto* request = std::get_if<store_request>(&each)) {
                fence_answer = {request->id, store_status::ok, {}, 41, {}};
            }
        }
        EXPECT_TRUE(lease.on_store(at(1), fence_answer, out.common));
        observer.set_observes_all(true);
    }

    /// Runs one tick at @a milliseconds; servers that are up answer immediately.
    void step(std::int64_t milliseconds) {
        const auto now = at(milliseconds);
        keep_lease(now);
        observer.tick(now, out);
        coordinator.tick(now, out);
        for (int i = 0; i < 4; ++i) {
            answer_all(now);
            for (const auto& each : observer.take_answers()) {
                coordinator.on_control(now, each, out);
            }
        }
    }
    void run(std::int64_t from, std::int64_t until) {
        for (auto now = from; now < until; now += 25) {
            step(now);
        }
    }
    void keep_lease(time_point now) {
        out.common.clear();
        lease.tick(now, 0, out.common);
        for (const auto& each : actions{out.common}) {
            if (const auto* request = std::get_if<store_request>(&each)) {
                EXPECT_TRUE(
                    lease.on_store(now, {request->id, store_status::ok, {}, 0, {}}, out.common));
            }
        }
    }
    void answer_all(time_point now) {
        for (const auto& action : std::exchange(out.sessions, {})) {
            if (const auto* opened = std::get_if<open_server_connection>(&action)) {
                names[opened->connection] = opened->expected.str();
                if (down.contains(opened->expected.str())) {
                    observer.on_closed(now, {opened->connection, close_reason::refused, {}}, out);
                } else {
                    observer.on_ready(now, {opened->connection, {}}, out);
                }
            } else if (const auto* sent = std::get_if<send_to_server>(&action)) {
                answer(now, *sent);
            } else if (const auto* promoted = std::get_if<promote_server>(&action)) {
                promotions.push_back(*promoted);
            }
        }
    }
    void answer(time_point now, const send_to_server& sent) {
        const auto name = names[sent.connection];
        for (const auto& command : sent.commands) {
            if (silent.contains(name)) {
                continue;
            }
            auto& current_status = status[name];
            commands.emplace_back(name, command.kind);
            if (command.kind == command_kind::hold) {
                if (current_status.role == backend_role::replica) { // A primary is not held.
                    current_status.held_term = command.term;
                }
            } else if (command.kind == command_kind::resume) {
                current_status.held_term = term{};
            } else if (command.kind == command_kind::step_down) {
                current_status.role = backend_role::replica;
            }
            observer.on_reply(now, {sent.connection, {}, current_status}, out);
        }
    }
    void crash(const char* name, time_point now) {
        down.insert(name);
        for (const auto& [connection, server] : names) {
            if (server == name) {
                observer.on_closed(now, {connection, close_reason::lost, {}}, out);
            }
        }
    }
    /// Applies a promotion: @a name is primary in term @a in_term and no server is held.
    void complete_promotion(const std::string& name, std::uint64_t in_term) {
        status[name] = primary_status(in_term, status[name].received);
        for (auto& [other, other_status] : status) {
            other_status.term = term{in_term};
            other_status.held_term = term{};
        }
    }
    void register_servers(std::int64_t milliseconds, const std::vector<const char*>& servers) {
        std::vector<backend_registration> list;
        for (const auto* name : servers) {
            list.push_back(registration(name));
        }
        state.directory.update(at(milliseconds), at(milliseconds), ++registry_version, list);
        state.update_group_members();
    }
    using server_domains = std::map<const char*, const char*>;
    /// Places the servers of the group `g` and of a second group `h` in domains.
    void place_servers(const server_domains& of_g, const server_domains& of_h = {}) {
        std::vector<backend_registration> list;
        for (const auto& [group, domains] : {std::pair{"g", of_g}, {"h", of_h}}) {
            for (const auto& [name, domain] : domains) {
                list.push_back(registration(name));
                list.back().group = group_id{group};
                list.back().domain = failure_domain_id{domain};
            }
        }
        state.directory.update(at(0), at(0), ++registry_version, list);
        state.update_group_members();
        state.evacuations = evacuation_list{{std::chrono::seconds{5}, std::chrono::seconds{1}}};
        evacuate(0, {});
    }
    void evacuate(std::int64_t milliseconds, const std::vector<const char*>& domains) {
        for (int i = 0; i < 2; ++i) { // An evacuation ends with the second list without it.
            state.evacuations.update(at(milliseconds),
                                     {++registry_version, {domains.begin(), domains.end()}});
        }
    }
    /// Replaces the silent primary `p` by `r1`, which leads term 2; `r2` stays held.
    /// @return time of the takeover
    std::int64_t replace_silent_primary() {
        run(0, 500);
        silent.insert("p");
        std::int64_t now = 500;
        for (; promotions.empty() && now < 4000; now += 25) {
            step(now);
        }
        coordinator.on_promotion(at(now), {group_id{"g"}, backend_server_id{"r1"}, true, false},
                                 out);
        status["r1"] = primary_status(2, status["r1"].received);
        step(now + 25);
        EXPECT_EQ(state.leadership(group_id{"g"}).primary(), backend_server_id{"r1"});
        return now + 25;
    }
    bool sent(const char* name, command_kind kind) const {
        return std::find(commands.begin(), commands.end(), std::pair{std::string{name}, kind}) !=
               commands.end();
    }

    fleet_state state;
    id_sequence<connection_id> connections;
    id_sequence<request_id> requests;
    group_observer observer;
    coordinator_lease lease;
    failover_coordinator coordinator;
    proxy_output out;
    store_answer fence_answer;
    std::uint64_t registry_version{1};
    std::map<connection_id, std::string> names;
    std::map<std::string, server_status> status;
    std::set<std::string> down;
    std::set<std::string> silent;
    std::vector<promote_server> promotions;
    std::vector<std::pair<std::string, command_kind>> commands;
};

} // namespace jackdawvane::testing
