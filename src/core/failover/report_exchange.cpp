#include "jackdawvane/failover/report_exchange.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

report_exchange::report_exchange(group_id group, backend_server_id own, location self,
                                 report_intervals intervals)
    : group_{std::move(group)}, own_{std::move(own)}, self_{std::move(self)}, intervals_{
                                                                                  intervals} {}

void report_exchange::configure(const std::map<backend_server_id, vm_entry>& owners) {
    std::erase_if(links_, [&](const auto& entry) { return !owners.contains(entry.first); });
    for (const auto& [backend, owner] : owners) {
        auto& to = links_[backend];
        if (backend == own_) {
            links_.erase(backend);
        } else if (!(to.owner == owner)) {
            to = link{};
            to.owner = owner;
        }
    }
}

std::optional<time_point> report_exchange::receive(time_point now, const group_report& report) {
    awaited_by_others_ = std::max(awaited_by_others_, report.wanted);
    const auto found = links_.find(report.report.backend);
    if (found == links_.end() || report.receiver != own_) {
        return std::nullopt;
    }
    found->second.echo = report.sent_at;
    found->second.echo_arrived = now;
    const bool possible = report.echo_age >= duration{0} && report.report.age >= duration{0};
    const time_point echoed{report.echo_sent_at};
    if (!possible || report.echo_sent_at == duration{0} || echoed > now) {
        return std::nullopt;
    }
    return std::min(now, echoed + report.echo_age - report.report.age);
}

void report_exchange::await_position(log_position position) {
    awaited_here_ = std::max(awaited_here_, position);
}

void report_exchange::mark_urgent() {
    for (auto& [backend, to] : links_) {
        to.urgent = true;
    }
}

void report_exchange::reset_awaited_positions() {
    awaited_here_ = log_position{};
    awaited_by_others_ = log_position{};
    for (auto& [backend, to] : links_) {
        to.sent_awaited_position = log_position{};
        to.sent_position = log_position{};
    }
}

void report_exchange::forget_echoes() {
    for (auto& [backend, to] : links_) {
        to.echo = duration{0};
    }
}

void report_exchange::send_due(time_point now, const group_view& view,
                               time_point status_requested_at, actions& out) {
    const auto position = own_position(view);
    for (auto& [backend, to] : links_) {
        if (due(to, position) > now) {
            continue;
        }
        auto report = report_for(backend, to, now, view, status_requested_at);
        out.emplace_back(
            send_to_peer{to.owner.vm, to.owner.peer, peer_channel::stream, std::move(report)});
        to.urgent = false;
        to.sent = now;
        to.sent_position = position;
        to.sent_awaited_position = awaited_here_;
    }
}

time_point report_exchange::next_deadline(const group_view& view) const {
    const auto position = own_position(view);
    auto next = no_deadline;
    for (const auto& [backend, to] : links_) {
        next = std::min(next, due(to, position));
    }
    return next;
}

bool report_exchange::needs_early_report(const link& to, log_position own_position) const {
    const auto wanted = std::max(awaited_here_, awaited_by_others_);
    const bool progress_awaited = own_position > to.sent_position && wanted > to.sent_position;
    return to.urgent || progress_awaited || awaited_here_ > to.sent_awaited_position;
}

time_point report_exchange::due(const link& to, log_position own_position) const {
    if (!to.sent) {
        return time_point::min();
    }
    if (!needs_early_report(to, own_position)) {
        return *to.sent + intervals_.regular;
    }
    const bool same_region = to.owner.place.region == self_.region;
    return *to.sent + (same_region ? duration{0} : intervals_.other_region);
}

log_position report_exchange::own_position(const group_view& view) const {
    const auto* status = view.status(own_);
    return status == nullptr ? log_position{} : status->position;
}

group_report report_exchange::report_for(const backend_server_id& receiver, const link& to,
                                         time_point now, const group_view& view,
                                         time_point status_requested_at) const {
    group_report made;
    made.group = group_;
    made.report.backend = own_;
    made.report.reachable = view.reachable(own_);
    if (const auto* status = view.status(own_)) {
        made.report.status = *status;
        // Only the owner checks sessions against the history. It is left out to keep reports small,
        // because they are most of the idle traffic.
        made.report.status.history.clear();
        made.report.age = now - status_requested_at;
    }
    made.known_term = view.known_term();
    made.primary = view.primary();
    made.wanted = awaited_here_;
    made.receiver = receiver;
    made.sent_at = now.time_since_epoch();
    if (to.echo != duration{0}) {
        made.echo_sent_at = to.echo;
        made.echo_age = now - to.echo_arrived;
    }
    return made;
}

} // namespace jackdawvane
