#include "jackdawvane/sessions/backend_sessions.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "connections";
constexpr duration sweep_step = std::chrono::milliseconds{200};
/// Most prepared statements on a connection before it is reset.
constexpr std::size_t prepared_limit = 64;

} // namespace

backend_sessions::backend_sessions(fleet_state& state, backend_session_settings settings,
                                   id_sequence<connection_id>& ids)
    : state_{state}, settings_{settings}, ids_{ids} {}

void backend_sessions::expect(time_point now, session& own, expected_kind kind,
                              attempt_id attempt) {
    own.waiting.push_back({kind, attempt, now});
    if (kind == expected_kind::main) {
        ++loads_[own.backend].running;
    }
}

/// Values and prepared statements need no slot and do not fail, so they go in one piece with
/// what follows.
void backend_sessions::lay_values(time_point now, session& own, const session_needs& needs,
                                  bool afresh, std::vector<backend_command>& commands) {
    static const std::map<std::string, std::string> no_values;
    const auto& wanted = needs.values == nullptr ? no_values : *needs.values;
    const bool surplus = std::any_of(own.values.begin(), own.values.end(), [&](const auto& each) {
        return !wanted.contains(each.first);
    });
    if (afresh || surplus || own.prepared.size() > prepared_limit) {
        backend_command reset;
        reset.kind = command_kind::reset;
        commands.push_back(std::move(reset));
        expect(now, own, expected_kind::preparation, {});
        own.values.clear();
        own.prepared.clear();
    }
    for (const auto& [name, value] : wanted) {
        auto& present = own.values[name];
        if (present == value && !value.empty()) {
            continue;
        }
        present = value;
        backend_command set;
        set.kind = command_kind::set;
        set.name = name;
        set.value = value;
        commands.push_back(std::move(set));
        expect(now, own, expected_kind::preparation, {});
    }
    if (needs.prepared == nullptr) {
        return;
    }
    const auto known = std::any_of(own.prepared.begin(), own.prepared.end(), [&](const auto& each) {
        return each.second == *needs.prepared;
    });
    if (!known) {
        const auto name = "p" + std::to_string(own.prepared.size() + 1);
        own.prepared[name] = *needs.prepared;
        backend_command prepare;
        prepare.kind = command_kind::prepare;
        prepare.name = name;
        prepare.access = needs.prepared->access;
        prepare.shape = needs.prepared->shape;
        commands.push_back(std::move(prepare));
        expect(now, own, expected_kind::preparation, {});
    }
}

void backend_sessions::send(time_point now, connection_id connection, attempt_id attempt,
                            const session_needs& needs, std::optional<backend_command> begin,
                            backend_command main, proxy_output& out) {
    auto& own = sessions_.at(connection);
    own.deadline = needs.deadline;
    std::vector<backend_command> commands;
    // A connection that has gone silent unnoticed would leave a write with an unknown outcome, so
    // an answer to a reset has to come first.
    const bool doubtful =
        own.open && needs.writes && !begin && now - own.heard > settings_.trusted_for;
    lay_values(now, own, needs, doubtful, commands);
    if (needs.prepared != nullptr) {
        const auto found =
            std::find_if(own.prepared.begin(), own.prepared.end(),
                         [&](const auto& each) { return each.second == *needs.prepared; });
        main.name = found->first;
    }
    if (begin) {
        commands.push_back(std::move(*begin));
        expect(now, own, expected_kind::begin, attempt);
        own.held_main = std::move(main);
    } else if (doubtful) {
        own.waiting.back() = {expected_kind::begin, attempt, now};
        own.held_main = std::move(main);
    } else if (!own.open && needs.writes) {
        // Until the connection is open, a loss would not tell whether the write has run.
        own.held_main = std::move(main);
        own.held_attempt = attempt;
        own.main_waits_for_open = true;
    } else {
        commands.push_back(std::move(main));
        expect(now, own, expected_kind::main, attempt);
    }
    out.sessions.emplace_back(send_to_member{connection, std::move(commands)});
}

void backend_sessions::finish_running(const session& own, const expected& ended) {
    if (ended.kind == expected_kind::main) {
        auto& own_load = loads_[own.backend];
        own_load.running -= std::min(own_load.running, 1U);
    }
}

bool backend_sessions::overdue(time_point now, const session& own) {
    return own.in_use && now >= own.deadline && (!own.waiting.empty() || own.held_main);
}

bool backend_sessions::on_ready(time_point now, const member_ready& ready, proxy_output& out) {
    const auto found = sessions_.find(ready.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& own = found->second;
    if (!std::exchange(own.open, true)) {
        auto& own_load = loads_[own.backend];
        own_load.opening -= std::min(own_load.opening, 1U);
    }
    own.heard = now;
    if (std::exchange(own.main_waits_for_open, false) && own.held_main) {
        expect(now, own, expected_kind::main, own.held_attempt);
        out.sessions.emplace_back(send_to_member{ready.connection, {std::move(*own.held_main)}});
        own.held_main.reset();
    }
    return true;
}

bool backend_sessions::on_reply(time_point now, const member_replied& replied, proxy_output& out) {
    const auto found = sessions_.find(replied.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& own = found->second;
    if (own.waiting.empty()) {
        log(out.common, log_part, log_level::error,
            "answer to nothing backend=" + own.backend.str());
        discard(replied.connection, out);
        return true;
    }
    if (own.held_main && overdue(now, own)) {
        out.sessions.emplace_back(close_member{replied.connection});
        on_closed(now, {replied.connection, close_reason::timeout, statement_error::none}, out);
        return true;
    }
    own.heard = now;
    const auto ended = own.waiting.front();
    own.waiting.pop_front();
    finish_running(own, ended);
    const bool failed = replied.reply.problem != statement_error::none;
    if (ended.kind == expected_kind::main) {
        auto position = replied.reply.position;
        if (position) {
            state_.leadership(own.group).on_position(ended.sent, own.backend, *position);
        }
        results_.push_back(
            {ended.attempt, replied.connection, own.backend, replied.reply, true, true, false});
    } else if (ended.kind == expected_kind::begin && own.held_main) {
        auto main = std::move(*own.held_main);
        own.held_main.reset();
        if (failed) {
            results_.push_back({ended.attempt, replied.connection, own.backend, replied.reply, true,
                                false, false});
        } else {
            expect(now, own, expected_kind::main, ended.attempt);
            out.sessions.emplace_back(send_to_member{replied.connection, {std::move(main)}});
        }
    } else if (failed) {
        // A value or rollback that failed leaves the session in an unknown state.
        log(out.common, log_part, log_level::warning,
            "preparation failed backend=" + own.backend.str() + " text=" + replied.reply.detail);
        const member_closed lost{replied.connection, close_reason::lost, statement_error::none};
        fail_open_attempts(replied.connection, own, lost);
        discard(replied.connection, out);
        return true;
    }
    if (own.waiting.empty() && own.release_when_quiet && !own.held_main) {
        become_idle(now, replied.connection, out);
    }
    return true;
}

void backend_sessions::fail_open_attempts(connection_id id, session& own,
                                          const member_closed& closed) {
    attempt_id reported;
    for (const auto& each : own.waiting) {
        finish_running(own, each);
        const bool names_attempt =
            each.kind == expected_kind::main || each.kind == expected_kind::begin;
        if (!names_attempt || each.attempt == reported) {
            continue;
        }
        reported = each.attempt;
        attempt_result result;
        result.attempt = each.attempt;
        result.lease = id;
        result.backend = own.backend;
        result.reply.problem = closed.problem;
        result.sent = own.open && each.kind == expected_kind::main;
        result.unreachable = !own.open && closed.reason != close_reason::rejected;
        results_.push_back(std::move(result));
    }
    if (own.main_waits_for_open && own.held_main) {
        attempt_result result;
        result.attempt = own.held_attempt;
        result.lease = id;
        result.backend = own.backend;
        result.reply.problem = closed.problem;
        results_.push_back(std::move(result));
    }
    own.waiting.clear();
    own.held_main.reset();
}

bool backend_sessions::on_closed(time_point now, const member_closed& closed, proxy_output& out) {
    const auto found = sessions_.find(closed.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& own = found->second;
    auto& own_load = loads_[own.backend];
    if (closed.problem == statement_error::too_many_connections) {
        own_load.busy_until = now + settings_.busy_pause;
        lower_ceiling(now, own_load);
        count(out.common, "member_connections_refused_total");
    } else if (!own.open) {
        own_load.failed_until = now + settings_.failure_pause;
    }
    if (!own.open || !own.waiting.empty()) {
        log(out.common, log_part, log_level::info,
            "closed backend=" + own.backend.str() + " open=" + (own.open ? "1" : "0") +
                " waiting=" + std::to_string(own.waiting.size()) +
                " reason=" + to_string(closed.reason) + " problem=" + to_string(closed.problem));
    }
    fail_open_attempts(closed.connection, own, closed);
    erase(closed.connection);
    return true;
}

void backend_sessions::release(time_point now, connection_id connection, bool in_transaction,
                               proxy_output& out) {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) {
        return;
    }
    auto& own = found->second;
    if (own.held_main) {
        // The transaction may open at any moment; nothing may follow it.
        discard(connection, out);
        return;
    }
    if (in_transaction) {
        backend_command rollback;
        rollback.kind = command_kind::rollback;
        expect(now, own, expected_kind::rollback, {});
        out.sessions.emplace_back(send_to_member{connection, {std::move(rollback)}});
    }
    if (own.waiting.empty()) {
        become_idle(now, connection, out);
    } else {
        own.release_when_quiet = true;
    }
}

void backend_sessions::become_idle(time_point /*now*/, connection_id id, proxy_output& out) {
    auto& own = sessions_.at(id);
    own.in_use = false;
    own.release_when_quiet = false;
    const auto* entry = state_.directory.find(own.backend);
    if (entry == nullptr || entry->registration.leaving) {
        discard(id, out);
    } else {
        trim_idle(entry->registration, out);
    }
}

void backend_sessions::discard(connection_id connection, proxy_output& out) {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) {
        return;
    }
    for (const auto& each : found->second.waiting) {
        finish_running(found->second, each);
    }
    out.sessions.emplace_back(close_member{connection});
    erase(connection);
}

void backend_sessions::erase(connection_id id) {
    const auto found = sessions_.find(id);
    auto& own_load = loads_[found->second.backend];
    own_load.open -= std::min(own_load.open, 1U);
    if (!found->second.open) {
        own_load.opening -= std::min(own_load.opening, 1U);
    }
    sessions_.erase(found);
}

void backend_sessions::tick(time_point now, proxy_output& out) {
    if (now < next_sweep_) {
        return;
    }
    next_sweep_ = now + sweep_step;
    std::vector<connection_id> closing;
    std::vector<connection_id> failing;
    for (const auto& [id, own] : sessions_) {
        const auto* entry = state_.directory.find(own.backend);
        const bool unwanted = entry == nullptr || entry->registration.leaving;
        const bool unused = !own.in_use && (unwanted || now - own.heard > settings_.idle_limit);
        const bool abandoned = own.release_when_quiet && !own.waiting.empty() &&
                               now - own.waiting.front().sent > settings_.abandoned_limit;
        if (unused || abandoned) {
            closing.push_back(id);
        } else if (overdue(now, own) ||
                   (!own.open && now - own.opened_at > settings_.connect_limit)) {
            failing.push_back(id);
        }
    }
    for (const auto id : closing) {
        discard(id, out);
    }
    for (const auto id : failing) {
        out.sessions.emplace_back(close_member{id});
        on_closed(now, {id, close_reason::timeout, statement_error::none}, out);
    }
}

std::vector<attempt_result> backend_sessions::take_results() {
    return std::exchange(results_, {});
}

void backend_sessions::close_idle(const backend_server_id& backend, proxy_output& out) {
    std::vector<connection_id> idle;
    for (const auto& [id, own] : sessions_) {
        if (own.backend == backend && !own.in_use) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        discard(id, out);
    }
}

void backend_sessions::leave(proxy_output& out) {
    std::vector<connection_id> idle;
    for (const auto& [id, own] : sessions_) {
        if (!own.in_use) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        discard(id, out);
    }
}

} // namespace jackdawvane
