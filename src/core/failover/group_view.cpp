#include "jackdawvane/failover/group_view.hpp"

#include <utility>

#include <algorithm>
#include <tuple>

namespace jackdawvane {

namespace {

/// Bounds the memory for groups whose replicas never catch up.
constexpr std::size_t max_marks = 256;
constexpr std::size_t max_expectations = 256;
/// A measured lag older than this says nothing about the next write. No new lag is measured while
/// writes are refused, so a longer time would go on refusing after the replicas caught up.
constexpr duration lag_memory = std::chrono::milliseconds{500};

/// Orders the states of one backend server. Within the accepted term the log only grows, but a
/// replica that starts to follow may first discard entries of earlier terms.
auto progress(const backend_status& status) noexcept {
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

void group_view::configure(const std::set<backend_server_id>& members) {
    std::erase_if(members_, [&](const auto& entry) { return !members.contains(entry.first); });
    for (const auto& backend : members) {
        members_.try_emplace(backend);
    }
}

bool group_view::observe(time_point now, const backend_report& report,
                         std::optional<time_point> measured) {
    const auto found = members_.find(report.backend);
    if (found == members_.end()) {
        return false;
    }
    auto& known = found->second;
    const bool outdated = known.status && progress(report.status) < progress(*known.status);
    if (outdated && report.reachable) {
        return false;
    }
    const bool reachability_changed = known.reachable != report.reachable || !known.heard;
    known.reachable = report.reachable;
    known.heard = now;
    if (!report.reachable) {
        return reachability_changed;
    }
    const auto before = known.status;
    known.status = report.status;
    highest_term_ = std::max(highest_term_, report.status.accepted_term);
    if (measured) {
        known.measured = std::max(known.measured.value_or(*measured), *measured);
    }
    if (acts_as_primary(report.status)) {
        learn_primary(report.status.accepted_term, report.backend);
    }
    if (measured && report.backend == primary_ && on_branch(known)) {
        mark_primary(*measured, report.status.position);
    }
    confirm();
    mark_complete();
    meet_expectations(now);
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
    marks_.clear();
    expectations_.clear();
    for (auto& [backend, known] : members_) {
        known.complete.reset();
    }
    confirm();
    return true;
}

void group_view::learn_term(term accepted) {
    highest_term_ = std::max(highest_term_, accepted);
}

void group_view::expect(time_point now, log_position position) {
    if (!expectations_.empty() && expectations_.back().position >= position) {
        return;
    }
    if (expectations_.size() == max_expectations) {
        expectations_.pop_back();
    }
    expectations_.push_back({now, position});
    meet_expectations(now);
}

void group_view::forget_confirmations() {
    confirmed_at_.reset();
    marks_.clear();
    expectations_.clear(); // Their lag would include the pause.
    for (auto& [backend, known] : members_) {
        known.measured.reset();
        known.complete.reset();
    }
}

bool group_view::confirmed(time_point now) const {
    return confirmed_at_ && now - *confirmed_at_ <= confirmation_limit;
}

bool group_view::committed(term written, log_position position) const {
    const auto holders = std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& status = entry.second.status;
        return status && status->accepted_term == written && status->last_entry_term == written &&
               status->position >= position;
    });
    return written != term{} && static_cast<std::size_t>(holders) >= majority();
}

std::optional<duration> group_view::staleness(time_point now,
                                              const backend_server_id& backend) const {
    const auto found = members_.find(backend);
    if (found == members_.end() || !confirmed_at_ || !on_branch(found->second)) {
        return std::nullopt;
    }
    if (backend == primary_) {
        return now - *confirmed_at_;
    }
    if (!found->second.complete) {
        return std::nullopt;
    }
    return now - std::min(*found->second.complete, *confirmed_at_);
}

duration group_view::replication_lag(time_point now) const {
    const duration measured = now - last_lag_at_ <= lag_memory ? last_lag_ : duration{0};
    const duration waiting =
        expectations_.empty() ? duration{0} : duration{now - expectations_.front().since};
    return std::max(measured, waiting);
}

group_summary group_view::summary(time_point now) const {
    return {group_, known_term_, primary_, confirmed(now)};
}

const backend_status* group_view::status(const backend_server_id& backend) const {
    const auto found = members_.find(backend);
    const bool known = found != members_.end() && found->second.status;
    return known ? &*found->second.status : nullptr;
}

bool group_view::reachable(const backend_server_id& backend) const {
    const auto found = members_.find(backend);
    return found != members_.end() && found->second.reachable;
}

std::optional<time_point> group_view::heard(const backend_server_id& backend) const {
    const auto found = members_.find(backend);
    return found == members_.end() ? std::nullopt : found->second.heard;
}

void group_view::mark_primary(time_point measured, log_position position) {
    if (!marks_.empty() &&
        (marks_.back().measured > measured || marks_.back().position > position)) {
        return;
    }
    if (!marks_.empty() && marks_.back().position == position) {
        marks_.back().measured = measured;
        return;
    }
    if (marks_.size() == max_marks) {
        marks_.pop_front();
    }
    marks_.push_back({measured, position});
}

void group_view::mark_complete() {
    for (auto& [backend, known] : members_) {
        if (!on_branch(known)) {
            continue;
        }
        const auto position = known.status->position;
        const auto reached = std::find_if(marks_.rbegin(), marks_.rend(),
                                          [&](const mark& at) { return at.position <= position; });
        if (reached != marks_.rend()) {
            known.complete =
                std::max(known.complete.value_or(reached->measured), reached->measured);
        }
    }
}

void group_view::confirm() {
    std::vector<time_point> times;
    for (const auto& [backend, known] : members_) {
        if (known.measured && known.status->accepted_term == known_term_) {
            times.push_back(*known.measured);
        }
    }
    if (known_term_ == term{} || times.size() < majority()) {
        return;
    }
    const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(majority() - 1);
    std::nth_element(times.begin(), oldest, times.end(), std::greater<>{});
    confirmed_at_ = std::max(confirmed_at_.value_or(*oldest), *oldest);
}

void group_view::meet_expectations(time_point now) {
    while (!expectations_.empty() && committed(known_term_, expectations_.front().position)) {
        last_lag_ = now - expectations_.front().since;
        last_lag_at_ = now;
        expectations_.pop_front();
    }
}

bool group_view::on_branch(const member& known) const {
    return known.status && known_term_ != term{} && known.status->last_entry_term == known_term_;
}

} // namespace jackdawvane
