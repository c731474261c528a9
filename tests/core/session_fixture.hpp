#pragma once

#include "jackdawvane/configuration/key_registry.hpp"
#include "jackdawvane/sessions/session_proxy.hpp"

#include <utility>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Components of SQL sessions with a configuration of one route and a group of three
/// servers.

namespace jackdawvane::testing {

inline time_point at(std::int64_t milliseconds) {
    return time_point{from_milliseconds(milliseconds)};
}

inline log_point point(std::uint64_t in_term, std::uint64_t position) {
    return {term{in_term}, log_position{position}};
}

inline server_status replica_status(std::uint64_t in_term, log_point received,
                                    std::uint64_t held = 0) {
    server_status status;
    status.term = term{in_term};
    status.received = received;
    status.held_term = term{held};
    return status;
}

inline server_status primary_status(std::uint64_t in_term, log_point received) {
    auto status = replica_status(in_term, received);
    status.role = backend_role::primary;
    return status;
}

inline vm_entry vm(const char* name, const char* domain = "d1") {
    vm_entry entry;
    entry.vm = vm_id{name};
    entry.place = {region_id{"r"}, failure_domain_id{domain}};
    return entry;
}

inline backend_registration registration(const char* name) {
    backend_registration entry;
    entry.backend = backend_server_id{name};
    entry.group = group_id{"g"};
    entry.endpoint = {"127.0.0.1", 1};
    entry.domain = failure_domain_id{"d1"};
    entry.slots = 2;
    return entry;
}

/// @brief Configuration with the database `db`, the key `k` and the organisation `o`.
inline std::shared_ptr<configuration_document>
session_configuration(consistency_mode consistency = consistency_mode::read_your_writes) {
    auto document = std::make_shared<configuration_document>();
    document->revision = revision{1};
    document->pools[pool_name{"g"}].groups[group_id{"g"}].connection_limit = 10;
    auto& route = document->routes[route_name{"db"}];
    route.pool = pool_name{"g"};
    route.consistency = consistency;
    route.deadline_ms = 1000;
    route.max_staleness_ms = 1500;
    document->organisations[organisation_id{"o"}] = {100, 100, 1};
    document->keys[digest_of("k")] = {organisation_id{"o"}, {}};
    return document;
}

/// @brief Admits every request unless `state` is changed.
class admit_all final : public admission_service {
  public:
    admission admit(time_point /*now*/, const admission_request& request,
                    actions& /*out*/) override {
        return {request.handle, state, {error_kind::rate_exceeded, {}, {}}};
    }
    void withdraw(session_id /*session*/) override {}

    admission_state state{admission_state::admitted};
};

/// @brief Session executor, `statement_forwarder`, `connection_owner` and connections of one VM;
/// the test acts as callers and servers.
class session_fixture {
  public:
    /// @brief The confirmed primary is `p`; reads go to a replica first.
    explicit session_fixture(consistency_mode consistency = consistency_mode::read_your_writes)
        : backends{state, {}, ids}, owner{state, backends, {}}, forwarder{state, owner, {}, ids},
          executor{state, forwarder, limits, {}} {
        state.self = vm("a");
        state.live = {state.self};
        state.regions[failure_domain_id{"d1"}] = region_id{"r"};
        state.configuration = session_configuration(consistency);
        state.directory.update(at(0), at(0), 1,
                               {registration("p"), registration("r1"), registration("r2")});
        state.update_group_members();
        confirm_primary(0);
    }

    /// @brief Reports statuses that confirm `p` as the primary of term 1; its log ends at @a end.
    void confirm_primary(std::int64_t milliseconds, log_point end = point(1, 10)) {
        auto& leadership = state.leadership(group_id{"g"});
        const auto now = at(milliseconds);
        leadership.on_status(now, now, backend_server_id{"p"}, primary_status(1, end));
        leadership.on_status(now, now, backend_server_id{"r1"}, replica_status(1, end));
        leadership.on_status(now, now, backend_server_id{"r2"}, replica_status(1, end));
        leadership.on_status(now, now, backend_server_id{"p"}, primary_status(1, end));
    }

    void start(std::int64_t milliseconds, const char* key = "k", const char* database = "db") {
        run(milliseconds, [&](time_point now) {
            executor.on(now, session_started{session, route_name{database}, key}, out);
        });
    }
    void send_statement(std::int64_t milliseconds, statement next) {
        next.id = statement_id{"id" + std::to_string(++statements)};
        run(milliseconds, [&](time_point now) {
            executor.on(now, statement_received{session, next}, out);
        });
    }
    void tick(std::int64_t milliseconds) {
        run(milliseconds, [&](time_point now) {
            backends.tick(now, out);
            executor.tick(now, out);
        });
    }
    /// @brief Accepts all connections to servers that were requested since the last call.
    void accept(std::int64_t milliseconds) {
        const auto opened = take<open_server_connection>();
        for (const auto& each : opened) {
            connected_servers[each.connection] = each.expected;
        }
        run(milliseconds, [&](time_point now) {
            for (const auto& each : opened) {
                backends.on_ready(now, {each.connection, {}}, out);
            }
        });
    }
    void reply(std::int64_t milliseconds, connection_id connection, statement_reply answer) {
        run(milliseconds, [&](time_point now) {
            backends.on_reply(now, {connection, std::move(answer), {}}, out);
        });
    }
    void lose(std::int64_t milliseconds, connection_id connection) {
        run(milliseconds, [&](time_point now) {
            backends.on_closed(now, {connection, close_reason::lost, statement_error::none}, out);
        });
    }

    /// @brief Sends a read and lets it wait until it is sent to a second server as well.
    /// @return the connections of its first and its second attempt
    std::pair<connection_id, connection_id> send_read_twice(std::int64_t milliseconds,
                                                            statement read) {
        send_statement(milliseconds, std::move(read));
        accept(milliseconds + 1);
        const auto first = commands();
        confirm_primary(milliseconds + 300);
        tick(milliseconds + 340);
        accept(milliseconds + 341);
        const auto second = commands();
        if (first.size() != 1 || second.size() != 1) {
            return {};
        }
        return {first.front().first, second.front().first};
    }

    /// @brief Removes and returns the actions of one kind.
    template <class Action>
    std::vector<Action> take() {
        std::vector<Action> found;
        std::vector<session_action> rest;
        for (auto& each : out.sessions) {
            if (auto* action = std::get_if<Action>(&each)) {
                found.push_back(std::move(*action));
            } else {
                rest.push_back(std::move(each));
            }
        }
        out.sessions = std::move(rest);
        return found;
    }
    /// @brief Removes and returns the replies to the caller since the last call.
    std::vector<statement_reply> answers() {
        std::vector<statement_reply> found;
        for (auto& each : take<answer_statement>()) {
            found.push_back(std::move(each.reply));
        }
        return found;
    }
    /// @brief Removes and returns the commands to servers since the last call.
    std::vector<std::pair<connection_id, backend_command>> commands() {
        std::vector<std::pair<connection_id, backend_command>> found;
        for (auto& each : take<send_to_server>()) {
            for (auto& command : each.commands) {
                found.emplace_back(each.connection, std::move(command));
            }
        }
        return found;
    }

    fleet_state state;
    id_sequence<connection_id> ids;
    admit_all limits;
    backend_sessions backends;
    connection_owner owner;
    statement_forwarder forwarder;
    statement_executor executor;
    proxy_output out;
    session_id session{7};
    std::map<connection_id, backend_server_id> connected_servers;
    int statements{0};

  private:
    template <class Step>
    void run(std::int64_t milliseconds, Step step) {
        const auto now = at(milliseconds);
        step(now);
        for (int i = 0; i < 4; ++i) {
            owner.settle(now, out);
            for (const auto& [entry, result] : owner.take_results()) {
                forwarder.on_result(now, entry, result);
            }
            executor.settle(now, out);
        }
    }
};

inline statement make_statement(statement_kind kind, std::string text, bool read_only = false) {
    statement made;
    made.kind = kind;
    made.read_only = read_only;
    made.text = std::move(text);
    return made;
}

/// @brief Answer to one of the proxy's own commands.
inline statement_reply done(transaction_state state, log_point position) {
    statement_reply reply;
    reply.signature = "-";
    reply.state = state;
    reply.position = position;
    return reply;
}

/// @brief Answer to a caller's statement; as at a real server, each has a signature of its own.
inline statement_reply success(transaction_state state, log_point position) {
    static int signatures = 0;
    auto reply = done(state, position);
    reply.signature = "s" + std::to_string(++signatures);
    return reply;
}

/// @brief Successful answer to @a command.
inline statement_reply answer_to(const backend_command& command, transaction_state state,
                                 log_point position) {
    const bool of_caller =
        command.kind == command_kind::caller_text || command.kind == command_kind::execute;
    return of_caller ? success(state, position) : done(state, position);
}

inline statement_reply failure(statement_error problem, transaction_state state) {
    statement_reply reply;
    reply.problem = problem;
    reply.state = state;
    return reply;
}

} // namespace jackdawvane::testing
