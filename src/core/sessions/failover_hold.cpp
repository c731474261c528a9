#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <utility>

#include <algorithm>

#include "promotion_log.hpp"

/// @file
/// @brief Holds the replicas of a group for the term of a promotion.

namespace jackdawvane {

void failover_coordinator::begin_hold(time_point now, const group_id& group, attempt& current,
                                      proxy_output& out) {
    current.step = phase::hold;
    current.step_until = now + settings_.hold_report_after;
    if (current.old_primary && !current.old_primary_log_end) {
        send(now, *current.old_primary, command_kind::step_down, current.target_term, out);
    }
    update_replicas(now, group, current, out);
    current.next_status = now + settings_.retry_delay;
}

bool failover_coordinator::has_departed(time_point now, const backend_server_id& server) const {
    if (const auto* entry = state_.directory.find(server)) {
        return entry->absent_since != no_deadline &&
               now - entry->absent_since >= settings_.departure_timeout;
    }
    const auto left = earlier_primaries_.departed_at(server);
    return !left || now - *left >= settings_.departure_timeout;
}

/// A primary can't be held. One that crashed and returned under another id is no old primary by its
/// id, and steps down first.
void failover_coordinator::send_hold(time_point now, const backend_server_id& server,
                                     const attempt& current, proxy_output& out) {
    const auto known = last_status_.find(server);
    const bool leads = known != last_status_.end() && known->second.role == backend_role::primary &&
                       known->second.term < current.target_term;
    send(now, server, leads ? command_kind::step_down : command_kind::hold, current.target_term,
         out);
}

bool failover_coordinator::all_held(const attempt& current) const {
    return std::all_of(current.replicas.begin(), current.replicas.end(),
                       [](const auto& each) { return each.second.has_value(); });
}

/// Adds and holds the replicas that have registered since the last call, and removes those that can
/// no longer prove a primary. A replica that has left the registry is waited for, also when it left
/// before the attempt: VMs with an older list still use it as proof.
void failover_coordinator::update_replicas(time_point now, const group_id& group, attempt& current,
                                           proxy_output& out) {
    auto servers = state_.directory.members(group);
    servers.merge(earlier_primaries_.departed(group));
    for (const auto& server : servers) {
        if (current.old_primary == server || has_departed(now, server)) {
            continue;
        }
        if (current.replicas.try_emplace(server).second) {
            const auto known = last_status_.find(server);
            if (known == last_status_.end() || known->second.held_term > current.old_term) {
                current.held_before.insert(server);
            }
            send_hold(now, server, current, out);
        }
    }
    std::erase_if(current.replicas,
                  [&](const auto& each) { return !each.second && has_departed(now, each.first); });
}

/// Repeats the hold of each replica that is not held, also by way of other VMs: a replica that does
/// not answer this VM may answer one of another failure domain.
void failover_coordinator::request_holds(time_point now, const group_id& group, attempt& current,
                                         proxy_output& out) {
    if (now < current.next_status) {
        return;
    }
    current.next_status = now + settings_.retry_delay;
    std::vector<backend_server_id> servers;
    for (const auto& [server, point] : current.replicas) {
        if (!point) {
            send_hold(now, server, current, out);
            servers.push_back(server);
        }
    }
    observer_.request_holds(now, group, servers, current.target_term, out);
}

/// Takes in the holds that other VMs have made on behalf of this one.
void failover_coordinator::apply_reports(attempt& current) {
    for (auto& [server, point] : current.replicas) {
        const auto* report = observer_.reported(server);
        if (!point && report != nullptr && report->requested_at > current.started &&
            report->status.role == backend_role::replica &&
            report->status.held_term >= current.target_term) {
            point = report->status.received;
        }
    }
}

bool failover_coordinator::primary_returned(const group_id& group, const attempt& current) const {
    const auto& leadership = state_.leadership(group);
    const auto* entry = current.old_primary ? state_.directory.find(*current.old_primary) : nullptr;
    return entry != nullptr && !entry->registration.leaving && !current.old_primary_log_end &&
           leadership.primary() == current.old_primary && !leadership.stepped_down() &&
           leadership.primary_answered_at() > current.started &&
           primary_silent_for(leadership) <= settings_.primary_timeout;
}

/// Undoes the holds of an attempt that has called for no promotion. A replica that was held before
/// stays so until `reconcile_servers` finds that no earlier promotion can take effect.
void failover_coordinator::abandon(time_point now, const group_id& group, const attempt& current,
                                   proxy_output& out) {
    const auto called = last_call_at_.find(group);
    const bool no_call = called == last_call_at_.end() ||
                         now - called->second > settings_.call_timeout + settings_.takeover_timeout;
    for (const auto& [server, point] : current.replicas) {
        if (point && no_call && !current.held_before.contains(server)) {
            resume(now, group, server, out);
        }
    }
    end(now, group, "not needed: the primary answers again", out);
}

void failover_coordinator::advance_hold(time_point now, const group_id& group, attempt& current,
                                        proxy_output& out) {
    update_replicas(now, group, current, out);
    apply_reports(current);
    if (!all_held(current)) {
        if (now >= current.step_until) {
            if (primary_returned(group, current)) {
                abandon(now, group, current, out);
                return;
            }
            current.step_until = now + settings_.hold_report_after;
            report_hold(now, group, current, "waits", out);
        }
        request_holds(now, group, current, out);
        return;
    }
    if (!enough_replicas_held(group, current) || !best_candidate(current)) {
        if (now - current.started > settings_.takeover_timeout) {
            end(now, group, "failed: too few replicas answered the hold", out);
        }
        return;
    }
    report_hold(now, group, current, "hold", out);
    close_term(now, group, current, out);
    advance_fence(now, group, current, out);
}

/// Tells all VMs that the old primary's term has ended.
void failover_coordinator::close_term(time_point now, const group_id& group, attempt& current,
                                      proxy_output& out) {
    current.held_at = now;
    current.step = phase::fence;
    state_.leadership(group).on_hold(now, current.old_term);
    for (const auto& vm : state_.live) {
        if (vm.vm != state_.self.vm) {
            out.common.emplace_back(send_to_peer{vm.vm, vm.peer, peer_channel::stream,
                                                 group_hold{group, current.old_term, duration{0}}});
        }
    }
}

/// Logs each replica's state: held, or why it is not.
void failover_coordinator::report_hold(time_point now, const group_id& group,
                                       const attempt& current, const char* title,
                                       proxy_output& out) const {
    std::string text =
        std::string{title} + " term=" + promotion_log::term_text(current.target_term);
    for (const auto& [server, point] : current.replicas) {
        const bool listed = state_.directory.find(server) != nullptr;
        text += " " + server.str() + "=" +
                (point                                            ? "held"
                 : !listed                                        ? "departed"
                 : observer_.refused_at(server) > current.started ? "refuses"
                                                                  : "silent");
    }
    log(out.common, promotion_log::component, log_level::info,
        promotion_log::in_group(
            group, text + " old_primary=" +
                       (current.old_primary_log_end    ? "stepped_down"
                        : current.old_primary_inactive ? "inactive"
                                                       : "unknown") +
                       " ms=" + std::to_string(to_milliseconds(now - current.started))));
}

/// With synchronous replicas, at least one of the held replicas must have every commit. A commit is
/// on `sync_replicas` replicas at least, so fewer than that may be missing.
bool failover_coordinator::enough_replicas_held(const group_id& group,
                                                const attempt& current) const {
    const auto* row = state_.find_group(group);
    const std::size_t sync = row == nullptr ? 0 : row->sync_replicas;
    const auto held = static_cast<std::size_t>(
        std::count_if(current.replicas.begin(), current.replicas.end(),
                      [](const auto& each) { return each.second.has_value(); }));
    return sync == 0 ? held > 0 : held + sync > current.replicas.size();
}

} // namespace jackdawvane
