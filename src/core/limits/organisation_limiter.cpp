#include "jackdawvane/limits/organisation_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace jackdawvane {

namespace {

/// Requests that may wait for tokens of other VMs; beyond this the fleet has none left.
constexpr std::size_t max_waiting_requests = 256;
/// Donors that are asked at the same time.
constexpr std::size_t parallel_requests = 6;
/// A VM that ran out of tokens within this time keeps tokens for its own demand of `kept_seconds`;
/// else tokens of an organisation above its rate would be sent back and forth, three messages each.
constexpr duration shortage_window = std::chrono::milliseconds{200};
constexpr double kept_seconds = 0.1;
/// Token requests that may be sent at once, for a burst of requests at one VM.
constexpr double request_budget_burst = 60;
/// A holder prefetches its deficit of this time, which keeps the number of messages low.
constexpr double prefetch_seconds = 1;
/// It prefetches at least this fraction of its free capacity: single tokens take a message each.
constexpr double prefetch_room_fraction = 0.4;
/// One part in this many of a latency objective is left for the server's queue, the service time
/// and the network.
constexpr int objective_reserve_divisor = 4;
/// Longest time that a request queues for tokens. The margin for clock drift grows with this time
/// and has to stay below the validity of a grant.
constexpr duration longest_queueing = std::chrono::seconds{1};
constexpr duration shortest_retry = std::chrono::milliseconds{1};
constexpr duration longest_retry = std::chrono::seconds{10};
/// Longest time before the confirmation of an inherited part for which its refill is credited.
constexpr duration max_inherited_refill = std::chrono::seconds{1};

} // namespace

organisation_limiter::organisation_limiter(organisation_id organisation, share_group& group,
                                           limiter_context& context, time_point started)
    : organisation_{std::move(organisation)}, group_{group}, context_{context}, started_{started} {
    request_budget_.set_limits(started, context.limits.messages_per_second, request_budget_burst);
    request_budget_.add(started, request_budget_burst);
}

void organisation_limiter::configure(time_point now, share_limits fleet_limits, actions& out) {
    fleet_limits_ = fleet_limits;
    donors_.set_limits(fleet_limits);
    update(now, out);
}

void organisation_limiter::retire(time_point now) {
    for (const auto& each : std::exchange(waiting_, {})) {
        record_decision(admission_state::refused, each.handle, now);
    }
}

void organisation_limiter::share_changed(time_point now, actions& out) {
    update(now, out);
}

admission organisation_limiter::admit(time_point now, const admission_request& request,
                                      actions& out) {
    const auto handle = request.handle;
    const auto deadline = request.deadline;
    record_arrival(now);
    sync_bucket_limits(now);
    serve(now, out);
    if (waiting_.empty() && queue_.empty() && take(now)) {
        queue_.record_served(now, request.priority);
        return {handle, admission_state::admitted, {error_kind::none, {}, {}}};
    }
    maybe_request_share(now, out);
    const bool joins = ledger().target() && !uses_share() && !ledger().lapsed();
    const auto max_wait = joins ? context_.limits.joining : context_.limits.pending;
    if (queues_by_class()) {
        auto room = context_.limits.pending;
        if (request.objective != no_deadline) {
            const auto objective = std::max(duration{0}, request.objective - now);
            room = std::min(objective - objective / objective_reserve_divisor, longest_queueing);
        }
        return admit_by_class(
            now, request, std::min(deadline, now + (joins ? std::max(room, max_wait) : room)), out);
    }
    const auto wait_deadline = std::min(deadline, now + max_wait);
    if (waiting_.size() >= max_waiting_requests || wait_deadline <= now) {
        last_shortage_ = now;
        return {handle, admission_state::refused, refusal(now)};
    }
    waiting_.push_back({handle, wait_deadline});
    request_tokens(now, out);
    if (donors_.open() == 0 &&
        donors_.next_request_time(now, group_.candidates()) > wait_deadline &&
        local_tokens_at(now) > wait_deadline) {
        waiting_.pop_back();
        return {handle, admission_state::refused, refusal(now)};
    }
    return {handle, admission_state::pending, {error_kind::none, {}, {}}};
}

void organisation_limiter::withdraw(request_id handle) {
    std::erase_if(waiting_, [&](const waiting_request& each) { return each.handle == handle; });
    end_wait(handle);
}

void organisation_limiter::tick(time_point now, actions& out) {
    update(now, out);
}

time_point organisation_limiter::next_deadline(time_point now) const {
    auto due = std::min(donors_.next_deadline(), next_deadline_by_class(now));
    for (const auto& [key, open] : reservations_) {
        due = std::min(due, open.expiry);
    }
    for (const auto& each : partial_grants_) {
        due = std::min(due, each.expiry);
    }
    for (const auto& each : waiting_) {
        due = std::min(due, each.deadline);
    }
    if (!waiting_.empty()) {
        if (uses_share()) {
            due = std::min(due, bucket_.time_of(now, 1));
        }
        const auto next_request = donors_.next_request_time(now, group_.candidates());
        // An available donor was not asked, for a reason that time does not change.
        if (next_request > now) {
            due = std::min(due, next_request);
        }
    }
    return due;
}

/// Applies share changes and expiries, then serves the waiting requests, requests missing
/// tokens and refuses the requests that cannot be served.
void organisation_limiter::update(time_point now, actions& out) {
    sync_bucket_limits(now);
    credit_inherited_part(now);
    settle_expired(now);
    donors_.expire(now);
    serve(now, out);
    update_by_class(now, out);
    spend_partial_grants(now, out);
    request_tokens(now, out);
    refuse_unservable(now);
    if (waiting_.empty()) {
        drop_partial_grants(out);
    }
}

share_limits organisation_limiter::usable() const noexcept {
    const double fraction = ledger().usable_fraction();
    return {fleet_limits_.rate * fraction, fleet_limits_.burst * fraction};
}

void organisation_limiter::sync_bucket_limits(time_point now) {
    const auto part = usable();
    if (part.rate != bucket_.rate() || part.burst != bucket_.capacity()) {
        bucket_.set_limits(now, part.rate, part.burst);
    }
    queue_.set_service_rate(bucket_.rate());
}

/// The earlier incarnation of this VM ended before this one started; its part has refilled since.
void organisation_limiter::credit_inherited_part(time_point now) {
    if (inherited_part_credited_ || !uses_share() || !ledger().holder()) {
        return;
    }
    inherited_part_credited_ = true;
    if (ledger().inherited()) {
        const auto refilled = std::min(now - started_, max_inherited_refill);
        bucket_.add(now, bucket_.rate() * std::chrono::duration<double>(refilled).count());
    }
}

bool organisation_limiter::uses_share() const noexcept {
    return ledger().verified();
}

bool organisation_limiter::take(time_point now) {
    return uses_share() && bucket_.take(now, 1);
}

double organisation_limiter::free_tokens(time_point now) const {
    if (!uses_share()) {
        return 0;
    }
    const bool recently_short = now < last_shortage_ + shortage_window;
    const double kept = recently_short ? demand(now) * kept_seconds : 0;
    return std::max(0.0, bucket_.tokens(now) -
                             static_cast<double>(waiting_.size() + queue_.size()) - kept);
}

void organisation_limiter::serve(time_point now, actions& out) {
    serve_queue(now, out);
    while (!waiting_.empty() && take(now)) {
        record_decision(admission_state::admitted, waiting_.front().handle, now);
        waiting_.erase(waiting_.begin());
    }
}

/// Spends granted tokens on waiting requests; only the rest is stored, up to the capacity.
void organisation_limiter::spend_grant(time_point now, double amount) {
    while (!waiting_.empty()) {
        const double missing = std::max(0.0, 1 - amount);
        if (missing > 0 && (!uses_share() || !bucket_.take(now, missing))) {
            break;
        }
        amount = std::max(0.0, amount - 1);
        record_decision(admission_state::admitted, waiting_.front().handle, now);
        waiting_.erase(waiting_.begin());
    }
    bucket_.add(now, amount);
}

void organisation_limiter::request_tokens(time_point now, actions& out) {
    const bool own = uses_share();
    double missing = static_cast<double>(waiting_.size()) - donors_.outstanding() - partial_sum() -
                     (own ? bucket_.tokens(now) : 0);
    while (missing > 0 && donors_.open() < parallel_requests) {
        const auto* donor = donors_.choose(now, group_.candidates());
        if (donor == nullptr || !request_budget_.take(now, 1)) {
            return;
        }
        const double prefetch = prefetch_of(now);
        const double likely = donors_.estimate(now, *donor);
        if (fleet_limits_.burst * donor->fraction < 1) {
            // All that the donor has: only whole tokens can be used.
            missing = std::max(missing, 1.0);
        }
        send_request(now, *donor, missing, prefetch, out);
        missing -= std::max(std::min(1.0, fleet_limits_.burst * donor->fraction), likely);
    }
}

/// Tokens that this VM requests in advance, to store them in its share.
double organisation_limiter::prefetch_of(time_point now) const {
    if (!uses_share()) {
        return 0;
    }
    const double deficit = std::max(0.0, demand(now) - bucket_.rate());
    const double room = std::max(0.0, bucket_.capacity() - bucket_.reserved());
    const double refill = std::max(deficit * prefetch_seconds, room * prefetch_room_fraction);
    return std::clamp(refill, 0.0, room / 2);
}

void organisation_limiter::send_request(time_point now, const token_donors::candidate& donor,
                                        double missing, double prefetch, actions& out) {
    const auto entry = context_.live.find(donor.vm);
    if (entry == context_.live.end()) {
        return;
    }
    // Random ids: a delayed grant to an earlier incarnation must not match a request of this one.
    const request_id id{context_.random() >> 1U};
    const auto validity = context_.limits.grant_validity;
    const double likely =
        std::max(std::min(1.0, fleet_limits_.burst * donor.fraction), donors_.estimate(now, donor));
    donors_.request_sent(id, donor.vm, std::min(missing, likely), now + validity);
    short_of_tokens_ = true;
    last_shortage_ = now;
    out.emplace_back(send_to_peer{donor.vm, entry->second.peer, peer_channel::stream,
                                  token_request{id, organisation_, missing + prefetch, missing,
                                                validity, default_priority, std::nullopt}});
}

void organisation_limiter::refuse_unservable(time_point now) {
    const bool unservable =
        donors_.open() == 0 &&
        donors_.next_request_time(now, group_.candidates()) > latest_deadline() &&
        local_tokens_at(now) > latest_deadline();
    for (std::size_t i = 0; i < waiting_.size();) {
        if (!unservable && waiting_[i].deadline > now) {
            ++i;
            continue;
        }
        record_decision(admission_state::refused, waiting_[i].handle, now);
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

/// When this VM's share has tokens for all waiting requests. A share that is not confirmed yet may
/// be confirmed at any moment, but a cut that made the lease lapse lasts longer than requests wait.
time_point organisation_limiter::local_tokens_at(time_point now) const {
    if (!context_.limits.waits_for_local_refill || ledger().lapsed()) {
        return no_deadline;
    }
    return uses_share() ? bucket_.time_of(now, static_cast<double>(waiting_.size())) : now;
}

time_point organisation_limiter::latest_deadline() const noexcept {
    auto last = time_point::min();
    for (const auto& each : waiting_) {
        last = std::max(last, each.deadline);
    }
    return last;
}

void organisation_limiter::record_decision(admission_state state, request_id handle,
                                           time_point now) {
    admission decision{handle, state, {error_kind::none, {}, {}}};
    if (state == admission_state::refused) {
        decision.problem = refusal(now);
    }
    context_.decisions.push_back(std::move(decision));
}

error organisation_limiter::refusal(time_point now) const {
    if (fleet_limits_.rate <= 0) {
        return {error_kind::rate_exceeded,
                "organisation " + organisation_.str() + " has no rate in the configuration",
                longest_retry};
    }
    auto wait = duration{static_cast<duration::rep>(1e6 / fleet_limits_.rate)};
    const auto due = uses_share() ? bucket_.time_of(now, 1) : no_deadline;
    if (due != no_deadline) {
        wait = due - now;
    }
    return {error_kind::rate_exceeded, "organisation " + organisation_.str() + " is over its rate",
            std::clamp(wait, shortest_retry, longest_retry)};
}

} // namespace jackdawvane
