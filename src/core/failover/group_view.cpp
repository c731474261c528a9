#include "jackdawvane/failover/group_view.hpp"

#include <utility>

#include <algorithm>
#include <tuple>

namespace jackdawvane {

namespace {

/// Bounds the memory for groups whose replicas never catch up.
constexpr std::size_t max_primary_positions = 256;
constexpr std::size_t max_awaited_positions = 256;
/// A measured lag older than this is not used for the next write. No new lag is measured while
/// writes are refused, so a longer validity would keep refusing writes after the replicas caught
/// up.
constexpr duration lag_validity = std::chrono::milliseconds{500};

/// Orders the states of one backend server. Within the accepted term the log only grows, but a
/// replica that starts to follow may first discard entries of earlier terms.
auto status_order(const backend_status& status) noexcept {
    const bool current = status.accepted_term == status.last_entry_term;
    return std::tuple{status.accepted_term, status.last_entry_term,
                      current ? status.position : log_position{}};
}

} // namespace

bool acts_as_primary(const backend_status& status) noexcept {
    return status.role == backend_role::primary && status.accepted_term != term{} &&
           status.accepted_term == status.last_entry_term;
}

group_view::group_view(group_id group) : group_{std::move(group)} {}

void group_view::configure(const std::set<backend_server_id>& servers) {
    std::erase_if(servers_, [&](const auto& entry) { return !servers.contains(entry.first); });
    for (const auto& backend : servers) {
        servers_.try_emplace(backend);
    }
}

bool group_view::observe(time_point now, const backend_report& report,
                         std::optional<time_point> as_of) {
    const auto found = servers_.find(report.backend);
    if (found == servers_.end()) {
        return false;
    }
    auto& known = found->second;
    const bool outdated = known.status && status_order(report.status) < status_order(*known.status);
    if (outdated && report.reachable) {
        return false;
    }
    const bool reachability_changed = known.reachable != report.reachable || !known.last_report_at;
    known.reachable = report.reachable;
    known.last_report_at = now;
    if (!report.reachable) {
        return reachability_changed;
    }
    const auto before = known.status;
    known.status = report.status;
    highest_term_ = std::max(highest_term_, report.status.accepted_term);
    if (as_of) {
        known.as_of = std::max(known.as_of.value_or(*as_of), *as_of);
    }
    if (acts_as_primary(report.status)) {
        learn_primary(report.status.accepted_term, report.backend);
    }
    if (as_of && report.backend == primary_ && has_entry_of_known_term(known)) {
        record_primary_position(*as_of, report.status.position);
    }
    update_confirmation();
    update_caught_up_times();
    complete_awaited_positions(now);
    return reachability_changed || !before ||
           before->accepted_term != report.status.accepted_term ||
           before->role != report.status.role;
}

bool group_view::learn_primary(term elected, const backend_server_id& primary) {
    if (elected <= known_term_ || primary.empty()) {
        return false;
    }
    known_term_ = elected;
    primary_ = primary;
    highest_term_ = std::max(highest_term_, elected);
    confirmed_at_.reset();
    primary_positions_.clear();
    awaited_positions_.clear();
    for (auto& [backend, known] : servers_) {
        known.caught_up_at.reset();
    }
    update_confirmation();
    return true;
}

void group_view::learn_term(term accepted) {
    highest_term_ = std::max(highest_term_, accepted);
}

void group_view::await_position(time_point now, log_position position) {
    if (!awaited_positions_.empty() && awaited_positions_.back().position >= position) {
        return;
    }
    if (awaited_positions_.size() == max_awaited_positions) {
        awaited_positions_.pop_back();
    }
    awaited_positions_.push_back({now, position});
    complete_awaited_positions(now);
}

void group_view::forget_confirmations() {
    confirmed_at_.reset();
    primary_positions_.clear();
    awaited_positions_.clear(); // Their lag would include the pause.
    for (auto& [backend, known] : servers_) {
        known.as_of.reset();
        known.caught_up_at.reset();
    }
}

bool group_view::confirmed(time_point now) const {
    return confirmed_at_ && now - *confirmed_at_ <= confirmation_limit;
}

bool group_view::committed(term written, log_position position) const {
    const auto holders = std::count_if(servers_.begin(), servers_.end(), [&](const auto& entry) {
        const auto& status = entry.second.status;
        return status && status->accepted_term == written && status->last_entry_term == written &&
               status->position >= position;
    });
    return written != term{} && static_cast<std::size_t>(holders) >= majority();
}

std::optional<duration> group_view::staleness(time_point now,
                                              const backend_server_id& backend) const {
    const auto found = servers_.find(backend);
    if (found == servers_.end() || !confirmed_at_ || !has_entry_of_known_term(found->second)) {
        return std::nullopt;
    }
    if (backend == primary_) {
        return now - *confirmed_at_;
    }
    if (!found->second.caught_up_at) {
        return std::nullopt;
    }
    return now - std::min(*found->second.caught_up_at, *confirmed_at_);
}

duration group_view::replication_lag(time_point now) const {
    const duration measured = now - last_lag_at_ <= lag_validity ? last_lag_ : duration{0};
    const duration waiting =
        awaited_positions_.empty() ? duration{0} : duration{now - awaited_positions_.front().since};
    return std::max(measured, waiting);
}

group_summary group_view::summary(time_point now) const {
    return {group_, known_term_, primary_, confirmed(now)};
}

const backend_status* group_view::status(const backend_server_id& backend) const {
    const auto found = servers_.find(backend);
    const bool known = found != servers_.end() && found->second.status;
    return known ? &*found->second.status : nullptr;
}

bool group_view::reachable(const backend_server_id& backend) const {
    const auto found = servers_.find(backend);
    return found != servers_.end() && found->second.reachable;
}

std::optional<time_point> group_view::last_report_at(const backend_server_id& backend) const {
    const auto found = servers_.find(backend);
    return found == servers_.end() ? std::nullopt : found->second.last_report_at;
}

void group_view::record_primary_position(time_point as_of, log_position position) {
    if (!primary_positions_.empty() && (primary_positions_.back().as_of > as_of ||
                                        primary_positions_.back().position > position)) {
        return;
    }
    if (!primary_positions_.empty() && primary_positions_.back().position == position) {
        primary_positions_.back().as_of = as_of;
        return;
    }
    if (primary_positions_.size() == max_primary_positions) {
        primary_positions_.pop_front();
    }
    primary_positions_.push_back({as_of, position});
}

void group_view::update_caught_up_times() {
    for (auto& [backend, known] : servers_) {
        if (!has_entry_of_known_term(known)) {
            continue;
        }
        const auto position = known.status->position;
        const auto reached =
            std::find_if(primary_positions_.rbegin(), primary_positions_.rend(),
                         [&](const primary_position& at) { return at.position <= position; });
        if (reached != primary_positions_.rend()) {
            known.caught_up_at =
                std::max(known.caught_up_at.value_or(reached->as_of), reached->as_of);
        }
    }
}

void group_view::update_confirmation() {
    std::vector<time_point> times;
    for (const auto& [backend, known] : servers_) {
        if (known.as_of && known.status->accepted_term == known_term_) {
            times.push_back(*known.as_of);
        }
    }
    if (known_term_ == term{} || times.size() < majority()) {
        return;
    }
    const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(majority() - 1);
    std::nth_element(times.begin(), oldest, times.end(), std::greater<>{});
    confirmed_at_ = std::max(confirmed_at_.value_or(*oldest), *oldest);
}

void group_view::complete_awaited_positions(time_point now) {
    while (!awaited_positions_.empty() &&
           committed(known_term_, awaited_positions_.front().position)) {
        last_lag_ = now - awaited_positions_.front().since;
        last_lag_at_ = now;
        awaited_positions_.pop_front();
    }
}

bool group_view::has_entry_of_known_term(const server_state& known) const {
    return known.status && known_term_ != term{} && known.status->last_entry_term == known_term_;
}

} // namespace jackdawvane
