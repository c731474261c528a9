#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include <algorithm>

/// @file
/// @brief Statement executor: requests that evacuations and allowed regions leave no server for.

namespace jackdawvane {

/// Whether the server is in the allowed regions of the session's route and organisation.
bool statement_executor::may_run_at(const caller_session& session,
                                    const backend_directory::entry& backend) const {
    return routes_.at(session.id).regions.allows(state_.region_of(backend.registration.domain));
}

/// Whether reads of the session may be sent to the server, as far as the operator's requests and
/// its registration say.
bool statement_executor::may_read_at(time_point now, const caller_session& session,
                                     const backend_directory::entry& backend) const {
    return !may_stop_soon(now, backend) && may_run_at(session, backend) &&
           !state_.evacuations.excludes(backend.registration.domain);
}

/// Why no server can run the session's statement, now or after a promotion; nothing if one may.
std::optional<std::string> statement_executor::unservable_reason(const caller_session& session) {
    const auto& evacuations = state_.evacuations;
    const auto& route = routes_.at(session.id);
    if (evacuations.empty() && !route.regions.restricted()) {
        return {};
    }
    if (!evacuations.known()) {
        return "the evacuated failure domains are not known yet";
    }
    const auto members = state_.directory.members(route.group);
    const auto excluded = [&](const backend_server_id& server) {
        return evacuations.excludes(state_.directory.find(server)->registration.domain);
    };
    const auto allowed = [&](const backend_server_id& server) {
        return may_run_at(session, *state_.directory.find(server));
    };
    if (members.empty()) {
        return {};
    }
    if (std::none_of(members.begin(), members.end(), allowed)) {
        return "no server of the group is in the allowed regions";
    }
    const auto usable = [&](const auto& server) { return allowed(server) && !excluded(server); };
    if (std::none_of(members.begin(), members.end(), usable)) {
        return "all allowed servers of the group are in evacuated failure domains";
    }
    const auto& primary = state_.leadership(route.group).primary();
    if (!session.work->needs_primary || !primary || !members.contains(*primary)) {
        return {};
    }
    if (!allowed(*primary)) {
        return "the primary is outside the allowed regions";
    }
    const bool has_successor = std::any_of(members.begin(), members.end(), [&](const auto& server) {
        return usable(server) && !state_.directory.find(server)->registration.leaving;
    });
    if (excluded(*primary) && !has_successor) {
        return "the primary is in an evacuated failure domain";
    }
    return {};
}

/// @return whether the statement was refused, as not run
bool statement_executor::refuse_if_unservable(time_point now, caller_session& session,
                                              proxy_output& out) {
    if (session.transaction.opened || session.work->step == work_step::running) {
        return false;
    }
    const auto reason = unservable_reason(session);
    if (!reason) {
        return false;
    }
    count(out.common, "unservable_statements_total", "reason", *reason);
    refuse(
        now, session, statement_error::busy,
        *reason + "; list_age_ms=" + age_text(now, state_.evacuations.read_at()) +
            "; retry_after_ms=" + std::to_string(to_milliseconds(settings_.unservable_retry_after)),
        out);
    return true;
}

/// Aborts the session's transaction when no request may be sent to its server any longer. A commit
/// that was sent runs to its end.
/// @return whether it was aborted
bool statement_executor::abort_if_evacuated(time_point now, caller_session& session,
                                            proxy_output& out) {
    const auto& transaction = session.transaction;
    if (transaction.state == transaction_state::idle || transaction.lease == connection_id{} ||
        !state_.evacuation_blocks(now, transaction.backend)) {
        return false;
    }
    const bool sent = session.work && session.work->step != work_step::placement;
    if (sent && session.work->statement.kind == statement_kind::commit) {
        return false;
    }
    count(out.common, "evacuation_aborts_total");
    log_statement(session, "transaction_aborted",
                  "reason=evacuation backend=" + transaction.backend.str() +
                      " list_age_ms=" + age_text(now, state_.evacuations.read_at()),
                  log_level::info, out);
    if (session.work) {
        give_up(now, session, "the failure domain of the transaction's server is evacuated", out);
    } else {
        end_transaction(now, session, out);
        session.transaction.state = transaction_state::failed;
    }
    return true;
}

} // namespace jackdawvane
