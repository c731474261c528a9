#include "jackdawvane/sessions/statement_executor.hpp"

/// @file
/// @brief Statement executor: the graceful shutdown.

namespace jackdawvane {

namespace {

constexpr const char* stopped_detail = "this VM has stopped";

} // namespace

void statement_executor::leave(time_point now) {
    if (!leaving_since_) {
        leaving_since_ = now;
    }
}

bool statement_executor::left(time_point now) const noexcept {
    return ends_sessions(now) && sessions_.empty() && pending_sessions_.empty();
}

time_point statement_executor::exit_time() const noexcept {
    return leaving_since_ ? *leaving_since_ + settings_.grace - settings_.exit_margin : no_deadline;
}

bool statement_executor::ends_sessions(time_point now) const noexcept {
    return leaving_since_ && now >= *leaving_since_ + settings_.load_balancer_delay;
}

/// An operation that began later might not end before the process does. Open transactions may
/// still commit.
bool statement_executor::refuses_operations(time_point now) const noexcept {
    return leaving_since_ && now >= *leaving_since_ + settings_.grace / 2;
}

/// Whether the end of an idle session interrupts no operation, or only one that has failed or can
/// no longer be completed.
bool statement_executor::may_end(time_point now, const caller_session& session) const noexcept {
    return session.transaction.state == transaction_state::idle ? ends_sessions(now)
                                                                : refuses_operations(now);
}

/// Ends a session after its operation. A caller that sends statements in series is never seen idle,
/// so it would send the next one until the process ends and cuts it.
void statement_executor::end_after_operation(time_point now, session_id id, proxy_output& out) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    const auto& session = found->second;
    if (!session.work && session.input.empty() &&
        session.transaction.state != transaction_state::open && may_end(now, session)) {
        out.sessions.emplace_back(end_session{id});
        close(now, id, out);
    }
}

/// Gives the current statement its final answer: not run if no server has got it, else an outcome
/// that may be unknown.
void statement_executor::end_unanswered(time_point now, caller_session& session,
                                        proxy_output& out) {
    switch (session.work->step) {
    case work_step::admission:
        limits_.withdraw(session.id);
        refuse(now, session, statement_error::busy, stopped_detail, out);
        break;
    case work_step::placement:
        if (session.transaction.opened) {
            give_up(now, session, stopped_detail, out);
        } else {
            refuse(now, session, statement_error::busy, stopped_detail, out);
        }
        break;
    case work_step::running:
        give_up(now, session, stopped_detail, out);
        break;
    case work_step::confirmation:
        give_up_confirmation(now, session, stopped_detail, out);
        break;
    }
}

void statement_executor::end_all_sessions(time_point now, proxy_output& out) {
    close();
    for (const auto& [id, start] : std::exchange(pending_sessions_, {})) {
        open_session(now, id, start.database, start.key, out); // Rejects it.
    }
    while (!sessions_.empty()) {
        const auto id = sessions_.begin()->first;
        auto found = sessions_.begin();
        // Each answer starts the next queued statement, which is refused or ends here as well.
        while (found != sessions_.end() && found->second.work) {
            end_unanswered(now, found->second, out);
            found = sessions_.find(id);
        }
        if (found != sessions_.end()) {
            out.sessions.emplace_back(end_session{id});
            close(now, id, out);
        }
    }
}

} // namespace jackdawvane
