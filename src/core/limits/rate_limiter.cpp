#include "jackdawvane/limits/rate_limiter.hpp"

#include <utility>

#include <algorithm>
#include <type_traits>
#include <variant>

namespace jackdawvane {

namespace {

/// A renewal without an answer is repeated after this part of the renewal interval.
constexpr int renewal_retry_divisor = 3;
/// The store's clock may run this much faster than the own one.
constexpr int clock_margin_divisor = 10;

template <class Message>
concept limiter_message = std::is_same_v<Message, token_request> ||
    std::is_same_v<Message, token_grant> || std::is_same_v<Message, token_acknowledgement> ||
    std::is_same_v<Message, share_request> || std::is_same_v<Message, share_notice>;

} // namespace

rate_limiter::rate_limiter(vm_id self, vm_incarnation incarnation, location place,
                           rate_limiter_settings settings, id_sequence<request_id>& ids,
                           random_engine& random)
    : context_{{std::move(self), incarnation, settings.shares, ids, random, {}, {}, false},
               std::move(place),
               settings,
               {}} {}

void rate_limiter::configure(time_point now,
                             const std::map<organisation_id, organisation_row>& rows,
                             revision newer, actions& out) {
    now_ = now;
    if (newer <= revision_ || leaving_) {
        return;
    }
    revision_ = newer;
    for (const auto& [organisation, row] : rows) {
        const auto [entry, created] =
            organisations_.try_emplace(organisation, organisation, context_);
        entry->second.configure(now, newer, row, out);
    }
    for (auto& [organisation, limiter] : organisations_) {
        if (!rows.contains(organisation) && limiter.configured()) {
            limiter.retire(now, out);
        }
    }
}

void rate_limiter::set_fleet(time_point now, std::span<const vm_entry> live,
                             const std::set<vm_id>& gone, actions& out) {
    now_ = now;
    std::map<vm_id, vm_entry> fleet;
    for (const auto& vm : live) {
        fleet.emplace(vm.vm, vm);
    }
    if (fleet == context_.live && gone == context_.gone) {
        return;
    }
    context_.live = std::move(fleet);
    context_.gone = gone;
    for (auto& [organisation, limiter] : organisations_) {
        limiter.fleet_changed(now, out);
    }
}

admission rate_limiter::admit(time_point now, const organisation_id& organisation,
                              request_id handle, time_point deadline, actions& out) {
    now_ = now;
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end()) {
        return {handle,
                admission_state::refused,
                {error_kind::rate_exceeded,
                 "organisation " + organisation.str() + " has no rate in the configuration",
                 {}}};
    }
    return found->second.admit(now, handle, deadline, out);
}

void rate_limiter::withdraw(request_id handle) {
    for (auto& [organisation, limiter] : organisations_) {
        limiter.withdraw(handle);
    }
    std::erase_if(context_.decisions, [&](const admission& each) { return each.handle == handle; });
}

std::vector<admission> rate_limiter::take_decisions() {
    return std::exchange(context_.decisions, {});
}

bool rate_limiter::on_peer(time_point now, const vm_id& from, const peer_message& message,
                           actions& out) {
    now_ = now;
    return std::visit(
        [&](const auto& content) {
            if constexpr (limiter_message<std::decay_t<decltype(content)>>) {
                const auto found = organisations_.find(content.organisation);
                if (found != organisations_.end()) {
                    found->second.on_peer(now, from, content, out);
                }
                return true;
            } else {
                return false;
            }
        },
        message);
}

bool rate_limiter::on_store(time_point now, const store_answer& answer, actions& out) {
    now_ = now;
    if (abandoned_.erase(answer.id) > 0) {
        return true;
    }
    if (lease_pending_ && answer.id == lease_call_) {
        finish_renewal(now, answer.status, out);
        return true;
    }
    for (auto& [organisation, limiter] : organisations_) {
        if (limiter.on_store(now, answer, out)) {
            return true;
        }
    }
    return false;
}

void rate_limiter::paused(time_point now, actions& out) {
    now_ = now;
    if (now < lease_until_) {
        return; // Nobody can have found the lease expired.
    }
    log(out, "limits", log_level::warning,
        "paused past the lease; no share is used until confirmed");
    if (std::exchange(lease_pending_, false)) {
        abandoned_.insert(lease_call_);
    }
    context_.lease_renewed = false;
    lease_at_ = now;
    for (auto& [organisation, limiter] : organisations_) {
        limiter.paused(now, out);
    }
    renew_lease(now, out);
}

void rate_limiter::leave(time_point now, actions& out) {
    now_ = now;
    leaving_ = true;
    for (auto& [organisation, limiter] : organisations_) {
        limiter.leave(now, out);
    }
}

bool rate_limiter::left() const noexcept {
    return leaving_ && !lease_pending_ && !lease_held_ &&
           std::all_of(organisations_.begin(), organisations_.end(),
                       [](const auto& entry) { return entry.second.ledger().left(); });
}

void rate_limiter::tick(time_point now, actions& out) {
    now_ = now;
    for (auto& [organisation, limiter] : organisations_) {
        limiter.tick(now, out);
    }
    renew_lease(now, out);
}

time_point rate_limiter::next_deadline() const {
    auto due = needs_lease() && !lease_pending_ ? lease_at_ : no_deadline;
    if (leaving_ && lease_held_ && !needs_lease() && !lease_pending_) {
        due = now_;
    }
    for (const auto& [organisation, limiter] : organisations_) {
        due = std::min(due, limiter.next_deadline(now_));
    }
    return due;
}

const organisation_limiter* rate_limiter::find(const organisation_id& organisation) const {
    const auto found = organisations_.find(organisation);
    return found == organisations_.end() ? nullptr : &found->second;
}

Json::Value rate_limiter::describe() const {
    Json::Value json{Json::objectValue};
    for (const auto& [organisation, limiter] : organisations_) {
        json[organisation.str()] = limiter.describe(now_);
    }
    return json;
}

bool rate_limiter::needs_lease() const noexcept {
    return std::any_of(organisations_.begin(), organisations_.end(),
                       [](const auto& entry) { return entry.second.ledger().holder(); });
}

void rate_limiter::finish_renewal(time_point now, store_status status, actions& out) {
    lease_pending_ = false;
    lease_held_ = status == store_status::ok && !lease_ends_;
    if (!lease_held_) {
        const auto retry = context_.limits.lease_renewal / renewal_retry_divisor;
        lease_at_ = std::min(lease_at_, now + retry);
        return;
    }
    lease_until_ =
        lease_sent_ + context_.limits.lease - context_.limits.lease / clock_margin_divisor;
    if (!std::exchange(context_.lease_renewed, true)) {
        for (auto& [organisation, limiter] : organisations_) {
            limiter.tick(now, out);
        }
    }
}

void rate_limiter::renew_lease(time_point now, actions& out) {
    const bool needed = needs_lease();
    const bool ends = !needed && lease_held_ && leaving_;
    if (lease_pending_ || (!ends && (!needed || now < lease_at_))) {
        return;
    }
    store_request request;
    request.id = context_.ids.next();
    request.operation = ends ? store_operation::release_lease : store_operation::renew_lease;
    request.key = lease_key(context_.self);
    request.value = std::to_string(context_.incarnation.value());
    request.lease = context_.limits.lease;
    lease_call_ = request.id;
    lease_ends_ = ends;
    lease_sent_ = now;
    lease_pending_ = true;
    lease_at_ = now + context_.limits.lease_renewal;
    out.emplace_back(std::move(request));
}

} // namespace jackdawvane
