#include "jackdawvane/sessions/backend_sessions.hpp"

#include "jackdawvane/foundation/age_text.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "connections";
constexpr duration sweep_step = std::chrono::milliseconds{200};
/// A connection with more prepared statements than this is reset.
constexpr std::size_t prepared_limit = 64;

} // namespace

backend_sessions::backend_sessions(fleet_state& state, backend_session_settings settings,
                                   id_sequence<connection_id>& ids)
    : state_{state}, settings_{settings}, ids_{ids} {}

void backend_sessions::expect_reply(time_point now, pooled_session& session, reply_kind kind,
                                    reply_form form, attempt_id attempt) {
    session.expected_replies.push_back({kind, form, attempt, now});
    if (kind == reply_kind::main) {
        ++loads_[session.backend].running;
    }
}

void backend_sessions::expect_main(time_point now, pooled_session& session, attempt_id attempt) {
    expect_reply(now, session, reply_kind::main,
                 session.writes ? reply_form::write : reply_form::statement, attempt);
}

/// Adds the commands that give the connection the session state of @a needs. They occupy no slot,
/// but each of them may fail.
void backend_sessions::apply_session_state(time_point now, pooled_session& session,
                                           const session_needs& needs, bool force_reset,
                                           std::vector<backend_command>& commands) {
    static const std::map<std::string, std::string> no_values;
    const auto& wanted = needs.values == nullptr ? no_values : *needs.values;
    const bool surplus =
        std::any_of(session.values.begin(), session.values.end(),
                    [&](const auto& each) { return !wanted.contains(each.first); });
    if (force_reset || surplus || session.prepared.size() > prepared_limit) {
        backend_command reset;
        reset.kind = command_kind::reset;
        commands.push_back(std::move(reset));
        expect_reply(now, session, reply_kind::preparation, reply_form::session_value, {});
        session.values.clear();
        session.prepared.clear();
    }
    for (const auto& [name, value] : wanted) {
        auto& present = session.values[name];
        if (present == value && !value.empty()) {
            continue;
        }
        present = value;
        backend_command set;
        set.kind = command_kind::set;
        set.name = name;
        set.value = value;
        commands.push_back(std::move(set));
        expect_reply(now, session, reply_kind::preparation, reply_form::session_value, {});
    }
    if (needs.prepared == nullptr) {
        return;
    }
    const auto already_prepared =
        std::any_of(session.prepared.begin(), session.prepared.end(),
                    [&](const auto& each) { return each.second == *needs.prepared; });
    if (!already_prepared) {
        const auto name = "p" + std::to_string(++session.last_prepared_name);
        session.prepared[name] = *needs.prepared;
        backend_command prepare;
        prepare.kind = command_kind::prepare;
        prepare.name = name;
        prepare.access = needs.prepared->access;
        prepare.shape = needs.prepared->shape;
        commands.push_back(std::move(prepare));
        expect_reply(now, session, reply_kind::preparation, reply_form::session_value, {});
    }
}

void backend_sessions::send(time_point now, connection_id connection, attempt_id attempt,
                            const session_needs& needs, std::optional<backend_command> begin,
                            backend_command main, proxy_output& out) {
    auto& session = sessions_.at(connection);
    session.deadline = needs.deadline;
    session.writes = needs.writes;
    std::vector<backend_command> commands;
    // A write on a connection that was lost unnoticed would have an unknown outcome, so the server
    // has to answer a reset first.
    const bool needs_validation = session.open && needs.writes && !begin &&
                                  now - session.last_received > settings_.validate_after_inactivity;
    apply_session_state(now, session, needs, needs_validation, commands);
    if (needs.prepared != nullptr) {
        const auto found =
            std::find_if(session.prepared.begin(), session.prepared.end(),
                         [&](const auto& each) { return each.second == *needs.prepared; });
        main.name = found->first;
    }
    if (!commands.empty()) {
        session.expected_replies.back().kind = reply_kind::setup;
        session.expected_replies.back().attempt = attempt;
        session.pending_begin = std::move(begin);
        session.pending_main = std::move(main);
    } else if (begin) {
        commands.push_back(std::move(*begin));
        expect_reply(now, session, reply_kind::begin, reply_form::begin, attempt);
        session.pending_main = std::move(main);
    } else if (!session.open && needs.writes) {
        // If the connection were lost while opening, it would be unknown whether the write ran.
        session.pending_main = std::move(main);
        session.pending_attempt = attempt;
        session.main_waits_for_open = true;
    } else {
        commands.push_back(std::move(main));
        expect_main(now, session, attempt);
    }
    out.sessions.emplace_back(send_to_server{connection, std::move(commands)});
}

/// Sends what waited for the confirmation of the session state or of `begin`.
void backend_sessions::send_pending(time_point now, connection_id id, attempt_id attempt,
                                    proxy_output& out) {
    auto& session = sessions_.at(id);
    if (session.pending_begin) {
        expect_reply(now, session, reply_kind::begin, reply_form::begin, attempt);
    } else {
        expect_main(now, session, attempt);
    }
    auto& pending = session.pending_begin ? session.pending_begin : session.pending_main;
    auto command = std::move(*pending);
    pending.reset();
    out.sessions.emplace_back(send_to_server{id, {std::move(command)}});
}

void backend_sessions::finish_running(const pooled_session& session, const expected_reply& ended) {
    if (ended.kind == reply_kind::main) {
        auto& load = loads_[session.backend];
        load.running -= std::min(load.running, 1U);
    }
}

bool backend_sessions::overdue(time_point now, const pooled_session& session) {
    return session.in_use && now >= session.deadline &&
           (!session.expected_replies.empty() || session.pending_main);
}

bool backend_sessions::on_ready(time_point now, const server_connected& ready, proxy_output& out) {
    const auto found = sessions_.find(ready.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& session = found->second;
    if (!std::exchange(session.open, true)) {
        auto& load = loads_[session.backend];
        load.opening -= std::min(load.opening, 1U);
    }
    session.last_received = now;
    if (std::exchange(session.main_waits_for_open, false) && session.pending_main) {
        expect_main(now, session, session.pending_attempt);
        out.sessions.emplace_back(
            send_to_server{ready.connection, {std::move(*session.pending_main)}});
        session.pending_main.reset();
    }
    return true;
}

bool backend_sessions::on_reply(time_point now, const server_replied& replied, proxy_output& out) {
    const auto found = sessions_.find(replied.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& session = found->second;
    if (session.pending_main && overdue(now, session)) {
        out.sessions.emplace_back(close_server_connection{replied.connection});
        on_closed(now, {replied.connection, close_reason::timeout, statement_error::none}, out);
        return true;
    }
    session.last_received = now;
    if (replied.reply.problem == statement_error::lagging && replied.reply.position) {
        auto& load = loads_[session.backend];
        load.lagging_position = *replied.reply.position;
        load.lagging_until = now + settings_.lagging_backoff;
    }
    const bool pending = !session.expected_replies.empty();
    const auto verdict = session.matcher.match(
        pending ? std::optional{session.expected_replies.front().form} : std::nullopt,
        replied.reply);
    if (verdict == reply_verdict::own) {
        apply_reply(now, replied, out);
    } else {
        on_foreign_reply(now, replied, verdict, out);
    }
    return true;
}

void backend_sessions::on_foreign_reply(time_point now, const server_replied& replied,
                                        reply_verdict verdict, proxy_output& out) {
    auto& session = sessions_.at(replied.connection);
    const bool pending = !session.expected_replies.empty();
    const bool dropped = verdict == reply_verdict::extra && session.in_use;
    log(out.common, log_component, log_level::warning,
        std::string{"foreign_reply verdict="} + to_string(verdict) + " backend=" +
            session.backend.str() + " connection=" + std::to_string(replied.connection.value()) +
            " pending=" + (pending ? to_string(session.expected_replies.front().form) : "none") +
            " age_ms=" + (pending ? age_text(now, session.expected_replies.front().sent) : "-") +
            " problem=" + to_string(replied.reply.problem) +
            " signed=" + (replied.reply.signature.size() > 1 ? "1" : "0") +
            " rows=" + std::to_string(replied.reply.rows.size()) +
            " outcome=" + (dropped ? "dropped" : "closed"));
    count(out.common, "member_foreign_replies_total", "verdict", to_string(verdict));
    if (dropped) {
        session.replace_when_released = true;
        return;
    }
    // The statement may have run, so its attempt ends without an answer.
    out.sessions.emplace_back(close_server_connection{replied.connection});
    on_closed(now, {replied.connection, close_reason::lost, statement_error::none}, out);
}

void backend_sessions::apply_reply(time_point now, const server_replied& replied,
                                   proxy_output& out) {
    auto& session = sessions_.at(replied.connection);
    const auto ended = session.expected_replies.front();
    session.expected_replies.pop_front();
    finish_running(session, ended);
    const bool failed = replied.reply.problem != statement_error::none;
    if (ended.kind == reply_kind::main) {
        auto position = replied.reply.position;
        if (position) {
            state_.leadership(session.group).on_position(ended.sent, session.backend, *position);
        }
        results_.push_back({ended.attempt,
                            replied.connection,
                            session.backend,
                            replied.reply,
                            true,
                            true,
                            false,
                            {}});
    } else if (ended.kind == reply_kind::setup && !failed && session.pending_main) {
        send_pending(now, replied.connection, ended.attempt, out);
    } else if (ended.kind == reply_kind::begin && session.pending_main) {
        if (failed) {
            session.pending_main.reset();
            results_.push_back({ended.attempt,
                                replied.connection,
                                session.backend,
                                replied.reply,
                                true,
                                false,
                                false,
                                {}});
        } else {
            send_pending(now, replied.connection, ended.attempt, out);
        }
    } else if (failed) {
        // After a failed reset, set, prepare or rollback the session state is unknown.
        log(out.common, log_component, log_level::warning,
            "session setup or rollback failed backend=" + session.backend.str() +
                " text=" + replied.reply.detail);
        const server_disconnected lost{replied.connection, close_reason::lost,
                                       statement_error::none};
        if (ended.kind == reply_kind::setup) {
            session.expected_replies.push_front(ended); // Its attempt ends with the connection.
        }
        fail_open_attempts(replied.connection, session, lost);
        discard(replied.connection, out);
        return;
    }
    if (session.expected_replies.empty() && session.release_when_drained && !session.pending_main) {
        become_idle(now, replied.connection, out);
    }
}

void backend_sessions::fail_open_attempts(connection_id id, pooled_session& session,
                                          const server_disconnected& closed) {
    attempt_id reported;
    for (const auto& each : session.expected_replies) {
        finish_running(session, each);
        const bool has_attempt = each.kind == reply_kind::main || each.kind == reply_kind::begin ||
                                 each.kind == reply_kind::setup;
        if (!has_attempt || each.attempt == reported) {
            continue;
        }
        reported = each.attempt;
        attempt_result result;
        result.attempt = each.attempt;
        result.lease = id;
        result.backend = session.backend;
        result.reply.problem = closed.problem;
        result.sent = session.open && each.kind == reply_kind::main;
        result.unreachable = !session.open && closed.reason != close_reason::rejected;
        results_.push_back(std::move(result));
    }
    if (session.main_waits_for_open && session.pending_main) {
        attempt_result result;
        result.attempt = session.pending_attempt;
        result.lease = id;
        result.backend = session.backend;
        result.reply.problem = closed.problem;
        results_.push_back(std::move(result));
    }
    session.expected_replies.clear();
    session.pending_begin.reset();
    session.pending_main.reset();
}

bool backend_sessions::on_closed(time_point now, const server_disconnected& closed,
                                 proxy_output& out) {
    const auto found = sessions_.find(closed.connection);
    if (found == sessions_.end()) {
        return false;
    }
    auto& session = found->second;
    auto& load = loads_[session.backend];
    if (closed.problem == statement_error::too_many_connections) {
        load.busy_until = now + settings_.busy_backoff;
        lower_accepted_limit(now, load);
        count(out.common, "member_connections_refused_total");
    } else if (!session.open) {
        load.failed_until = now + settings_.failure_backoff;
    }
    if (!session.open || !session.expected_replies.empty()) {
        log(out.common, log_component, log_level::info,
            "closed backend=" + session.backend.str() + " open=" + (session.open ? "1" : "0") +
                " waiting=" + std::to_string(session.expected_replies.size()) +
                " reason=" + to_string(closed.reason) + " problem=" + to_string(closed.problem));
    }
    fail_open_attempts(closed.connection, session, closed);
    erase(closed.connection);
    return true;
}

void backend_sessions::release(time_point now, connection_id connection, bool in_transaction,
                               proxy_output& out) {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) {
        return;
    }
    auto& session = found->second;
    if (session.pending_main) {
        // The transaction may still open; its statement must not be sent any more.
        discard(connection, out);
        return;
    }
    if (in_transaction && session.replace_when_released) {
        discard(connection, out); // Closing it rolls back.
        return;
    }
    if (in_transaction) {
        backend_command rollback;
        rollback.kind = command_kind::rollback;
        expect_reply(now, session, reply_kind::rollback, reply_form::return_to_idle, {});
        out.sessions.emplace_back(send_to_server{connection, {std::move(rollback)}});
    }
    if (session.expected_replies.empty()) {
        become_idle(now, connection, out);
    } else {
        session.release_when_drained = true;
    }
}

void backend_sessions::become_idle(time_point /*now*/, connection_id id, proxy_output& out) {
    auto& session = sessions_.at(id);
    session.in_use = false;
    session.release_when_drained = false;
    const auto* entry = state_.directory.find(session.backend);
    if (entry == nullptr || entry->registration.leaving || session.replace_when_released ||
        session.matcher.exhausted()) {
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
    for (const auto& each : found->second.expected_replies) {
        finish_running(found->second, each);
    }
    out.sessions.emplace_back(close_server_connection{connection});
    erase(connection);
}

void backend_sessions::erase(connection_id id) {
    const auto found = sessions_.find(id);
    auto& load = loads_[found->second.backend];
    load.open -= std::min(load.open, 1U);
    if (!found->second.open) {
        load.opening -= std::min(load.opening, 1U);
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
    for (const auto& [id, session] : sessions_) {
        const auto* entry = state_.directory.find(session.backend);
        const bool unwanted = entry == nullptr || entry->registration.leaving;
        const bool unused =
            !session.in_use && (unwanted || now - session.last_received > settings_.idle_timeout);
        const bool abandoned =
            session.release_when_drained && !session.expected_replies.empty() &&
            now - session.expected_replies.front().sent > settings_.abandoned_timeout;
        if (unused || abandoned) {
            closing.push_back(id);
        } else if (overdue(now, session) ||
                   (!session.open && now - session.opened_at > settings_.connect_timeout)) {
            failing.push_back(id);
        }
    }
    for (const auto id : closing) {
        discard(id, out);
    }
    for (const auto id : failing) {
        out.sessions.emplace_back(close_server_connection{id});
        on_closed(now, {id, close_reason::timeout, statement_error::none}, out);
    }
}

std::vector<attempt_result> backend_sessions::take_results() {
    return std::exchange(results_, {});
}

void backend_sessions::close_idle(const backend_server_id& backend, proxy_output& out) {
    std::vector<connection_id> idle;
    for (const auto& [id, session] : sessions_) {
        if (session.backend == backend && !session.in_use) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        discard(id, out);
    }
}

void backend_sessions::leave(proxy_output& out) {
    std::vector<connection_id> idle;
    for (const auto& [id, session] : sessions_) {
        if (!session.in_use) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        discard(id, out);
    }
}

} // namespace jackdawvane
