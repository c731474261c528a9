#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <utility>

#include <algorithm>

#include "promotion_log.hpp"

/// @file
/// @brief Ends what promotions have left behind: holds of replicas and primaries of older terms.

namespace jackdawvane {

/// Ends the hold of a replica, and logs the last known role and term of each server of the group.
void failover_coordinator::resume(time_point now, const group_id& group,
                                  const backend_server_id& backend, proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    std::string text = "resume backend=" + backend.str() +
                       " term=" + promotion_log::term_text(leadership.term()) +
                       " primary=" + (leadership.primary() ? leadership.primary()->str() : "-");
    for (const auto& server : state_.directory.members(group)) {
        const auto found = last_status_.find(server);
        text += " " + server.str() + "=";
        if (found == last_status_.end()) {
            text += "unseen";
            continue;
        }
        const auto& status = found->second;
        text += std::string{status.role == backend_role::primary ? "primary" : "replica"} +
                ",term:" + promotion_log::term_text(status.term) +
                ",held:" + promotion_log::term_text(status.held_term);
    }
    log(out.common, promotion_log::component, log_level::warning,
        promotion_log::in_group(group, text));
    send(now, backend, command_kind::resume, {}, out);
}

/// Makes a primary of an older term that is reachable again step down, and resumes replicas that a
/// promotion has left held, whether it has ended or not.
void failover_coordinator::reconcile_servers(time_point now, proxy_output& out) {
    for (const auto& [backend, entry] : state_.directory.entries()) {
        const auto& group = entry.registration.group;
        const auto& leadership = state_.leadership(group);
        const auto status = last_status_.find(backend);
        if (status == last_status_.end() || attempts_.contains(group)) {
            continue;
        }
        const bool deposed =
            status->second.role == backend_role::primary && status->second.term < leadership.term();
        const bool held =
            status->second.role == backend_role::replica && status->second.held_term > term{};
        auto& last = reconciled_at_[backend];
        if ((!deposed && !held) || now - last < settings_.retry_delay) {
            continue;
        }
        if (held) {
            if (may_resume(now, group, backend, status->second, out)) {
                last = now;
                resume(now, group, backend, out);
            }
            continue;
        }
        last = now;
        log(out.common, promotion_log::component, log_level::warning,
            promotion_log::in_group(group, "step down backend=" + backend.str()));
        send(now, backend, command_kind::step_down, leadership.term(), out);
    }
}

/// A held replica knows of no primary of its held term. Without the hold it would prove an earlier
/// primary to VMs that do not know the new one, until it receives the new term. A promotion that
/// this VM has not seen end may still take effect for as long as a call and a takeover last.
bool failover_coordinator::may_resume(time_point now, const group_id& group,
                                      const backend_server_id& backend, const server_status& status,
                                      proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    const auto& primary = leadership.primary();
    if (!primary || *primary == backend || leadership.stepped_down() ||
        leadership.primary_answered_at() < holder_since_ ||
        primary_silent_for(leadership) > settings_.primary_timeout) {
        return false;
    }
    auto since = holder_since_;
    if (status.held_term > leadership.term()) {
        const auto settled = std::max(holder_since_, last_call_at_[group]) +
                             settings_.call_timeout + settings_.takeover_timeout;
        if (now < settled) {
            return false;
        }
        since = settled;
    }
    const auto possible =
        earlier_primaries_.possible(now, group, state_.directory, *primary, backend, since);
    if (!possible) {
        awaited_.erase(backend);
        return true;
    }
    if (std::exchange(awaited_[backend], *possible) != *possible) {
        log(out.common, promotion_log::component, log_level::warning,
            promotion_log::in_group(group,
                                    "stays held backend=" + backend.str() +
                                        " held_term=" + promotion_log::term_text(status.held_term) +
                                        " term=" + promotion_log::term_text(leadership.term()) +
                                        " awaits=" + possible->str() + " " +
                                        earlier_primaries_.evidence_text(now, *possible)));
    }
    return false;
}

} // namespace jackdawvane
