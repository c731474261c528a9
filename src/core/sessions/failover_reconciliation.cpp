#include "jackdawvane/sessions/failover_coordinator.hpp"

#include "promotion_log.hpp"

/// @file
/// @brief Ends what promotions have left behind: holds of replicas and primaries of older terms.

namespace jackdawvane {

/// Ends the hold of a replica, and logs the last known role and term of each server of the group.
void failover_coordinator::resume(time_point now, const group_id& group,
                                  const backend_server_id& backend, const char* reason,
                                  proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    std::string text = "resume backend=" + backend.str() + " reason=" + reason +
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

/// Makes a primary of an older term that is reachable again step down, and resumes a replica that
/// an unfinished promotion left held.
void failover_coordinator::reconcile_servers(time_point now, proxy_output& out) {
    for (const auto& [backend, entry] : state_.directory.entries()) {
        const auto status = last_status_.find(backend);
        const auto& leadership = state_.leadership(entry.registration.group);
        if (status == last_status_.end() || attempts_.contains(entry.registration.group)) {
            continue;
        }
        const bool deposed =
            status->second.role == backend_role::primary && status->second.term < leadership.term();
        const bool left_held = status->second.role == backend_role::replica &&
                               status->second.held_term > leadership.term() &&
                               !leadership.stepped_down();
        auto& last = reconciled_at_[backend];
        if ((!deposed && !left_held) || now - last < settings_.retry_delay) {
            continue;
        }
        last = now;
        if (left_held) {
            resume(now, entry.registration.group, backend, "left_held", out);
            continue;
        }
        log(out.common, promotion_log::component, log_level::warning,
            promotion_log::in_group(entry.registration.group,
                                    "step down backend=" + backend.str()));
        send(now, backend, command_kind::step_down, leadership.term(), out);
    }
}

} // namespace jackdawvane
