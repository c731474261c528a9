#include "jackdawvane/limits/organisation_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

/// @file
/// @brief Messages between the limiters of one organisation: tokens and rate.

namespace jackdawvane {

namespace {

/// The donor's clock may run faster than the requester's by one part in this many; the donor's
/// reservation has to outlast the time in which the requester accepts the grant.
constexpr int clock_margin_divisor = 10;
/// No grant is valid for longer than the settle time of the shares less one part in this many.
constexpr int settle_divisor = 5;
/// Smaller amounts are not worth a grant.
constexpr double smallest_grant = 0.01;
/// Fraction of the tokens left after the waiting requests that a donor grants as prefetch.
constexpr double prefetch_fraction = 0.5;
/// Time constant of the demand's exponential average.
constexpr double demand_seconds = 5;
constexpr double microseconds_per_second = 1e6;
/// Tolerance for rounding errors in a sum of token fractions.
constexpr double rounding = 1e-9;
/// A donor of rate keeps this multiple of its own demand.
constexpr double demand_margin = 1.2;
/// Fraction of an equal share that every donor of rate keeps.
constexpr double kept_fraction = 0.1;
/// A shortfall below this fraction of the fleet-wide rate is not worth a store call.
constexpr double smallest_shortfall = 0.02;
/// Fraction of its spare rate that a donor transfers at once: fewer transfers need fewer store
/// calls.
constexpr double transfer_fraction = 0.8;
/// Burst in tokens that every donor of rate keeps; less than one token could never be used.
constexpr double kept_burst = 2;
constexpr duration rate_request_pause = std::chrono::seconds{8};

double seconds(duration value) noexcept {
    return static_cast<double>(value.count()) / microseconds_per_second;
}

} // namespace

void organisation_limiter::on_peer(time_point now, const vm_id& from, const token_request& message,
                                   actions& out) {
    const auto entry = context_.live.find(from);
    const auto key = std::pair{from, message.id};
    if (entry == context_.live.end() || reservations_.contains(key) ||
        queued_remote_.contains(key)) {
        return; // A duplicate of an answered or queued request; the grant may still arrive.
    }
    sync_bucket_limits(now);
    serve(now, out);
    if (queue_request(now, from, message, out)) {
        return;
    }
    const double free = free_tokens(now);
    const double waiting = std::clamp(message.waiting, 0.0, free);
    const double prefetch =
        std::clamp(message.amount - message.waiting, 0.0, (free - waiting) * prefetch_fraction);
    double amount = waiting + prefetch;
    if (ledger().record().find(from) == nullptr && bucket_.capacity() >= 1) {
        amount = std::floor(amount); // A VM without a share cannot store a fraction of a token.
    }
    const auto settle = context_.settings.settle;
    const auto validity = std::max(message.valid_for, duration{0});
    if (amount < smallest_grant || validity > settle - settle / settle_divisor) {
        amount = 0;
    } else {
        amount = bucket_.send(now, amount);
        reservations_[key] = {amount,
                              now + validity + validity / clock_margin_divisor + duration{1}};
    }
    out.emplace_back(
        send_to_peer{from, entry->second.peer, peer_channel::stream,
                     token_grant{message.id, organisation_, amount, free_tokens(now), {}, {}, {}}});
}

void organisation_limiter::on_peer(time_point now, const vm_id& from, const token_grant& message,
                                   actions& out) {
    if (accept_by_class(now, from, message, out)) {
        return;
    }
    const auto expiry = donors_.expiry_of(message.id);
    if (!donors_.accept_grant(now, message.id, from, message.amount, message.left)) {
        return;
    }
    sync_bucket_limits(now);
    if (message.amount > 0) {
        request_budget_.add(now, 1);
        if (message.amount < 1 && bucket_.capacity() < 1) {
            partial_grants_.push_back({from, message.id, message.amount, expiry});
        } else {
            spend_grant(now, message.amount);
            acknowledge(from, message.id, out);
        }
    }
    update(now, out);
}

void organisation_limiter::acknowledge(const vm_id& donor, request_id id, actions& out,
                                       double unused) const {
    const auto entry = context_.live.find(donor);
    if (entry != context_.live.end()) {
        out.emplace_back(send_to_peer{donor, entry->second.peer, peer_channel::stream,
                                      token_acknowledgement{id, organisation_, unused}});
    }
}

double organisation_limiter::partial_sum() const noexcept {
    double sum{0};
    for (const auto& each : partial_grants_) {
        sum += each.amount;
    }
    return sum;
}

/// Admits a request once the granted fractions add up to a token: if the burst is smaller than the
/// number of holders, none of them ever has a whole token.
void organisation_limiter::spend_partial_grants(time_point now, actions& out) {
    std::erase_if(partial_grants_, [now](const auto& each) { return each.expiry <= now; });
    if (partial_grants_.empty() || waiting_.empty()) {
        return;
    }
    const double missing = 1 - partial_sum() - rounding;
    if (missing <= 0 || (uses_share() && bucket_.take(now, missing))) {
        record_decision(admission_state::admitted, waiting_.front().handle, now);
        waiting_.erase(waiting_.begin());
        drop_partial_grants(out);
    }
}

void organisation_limiter::drop_partial_grants(actions& out) {
    for (const auto& each : std::exchange(partial_grants_, {})) {
        acknowledge(each.donor, each.id, out);
    }
}

void organisation_limiter::on_peer(time_point now, const vm_id& from,
                                   const token_acknowledgement& message, actions& out) {
    const auto found = reservations_.find({from, message.id});
    if (found == reservations_.end()) {
        return;
    }
    sync_bucket_limits(now);
    bucket_.settle(now, found->second.amount);
    // Returned tokens were in transit until now, so tokens and transit stay within the capacity.
    bucket_.add(now, std::clamp(message.unused, 0.0, found->second.amount));
    reservations_.erase(found);
    update(now, out);
}

void organisation_limiter::settle_expired(time_point now) {
    std::erase_if(reservations_, [&](const auto& open) {
        if (open.second.expiry > now) {
            return false;
        }
        bucket_.settle(now, open.second.amount);
        return true;
    });
}

/// Capacity that tokens in transit occupy is not spare, else these tokens and the receiver's would
/// exceed the burst.
double organisation_limiter::spare_fraction(time_point now) const {
    if (fleet_limits_.rate <= 0) {
        return 1;
    }
    const double holders = std::max(1.0, static_cast<double>(ledger().record().holders.size()));
    const double kept =
        std::max(demand(now) * demand_margin, fleet_limits_.rate / holders * kept_fraction);
    double spare = std::max(0.0, bucket_.rate() - kept) * transfer_fraction / fleet_limits_.rate;
    if (fleet_limits_.burst > 0) {
        const double kept_capacity = std::max(bucket_.reserved(), kept_burst);
        spare = std::min(spare, (bucket_.capacity() - kept_capacity) / fleet_limits_.burst);
    }
    return std::clamp(spare, 0.0, 1.0);
}

double organisation_limiter::lacking_fraction(const share_request& message) const noexcept {
    const double lacking = std::max(0.0, message.demand * demand_margin - message.rate);
    return fleet_limits_.rate <= 0 ? 0 : lacking / fleet_limits_.rate;
}

void organisation_limiter::maybe_request_share(time_point now, actions& out) {
    if (now < share_request_at_ || !ledger().holder() || !ledger().verified()) {
        return;
    }
    share_request_at_ = now + context_.limits.share_interval;
    const double wanted = demand(now) * demand_margin - bucket_.rate();
    const bool worthwhile = wanted > fleet_limits_.rate * smallest_shortfall;
    const bool lacking = std::exchange(short_of_tokens_, false) && worthwhile;
    if (!lacking) {
        return;
    }
    const auto* donor = donors_.choose_for_rate(now, group_.candidates());
    const auto entry = donor == nullptr ? context_.live.end() : context_.live.find(donor->vm);
    if (entry == context_.live.end()) {
        return;
    }
    donors_.rate_request_sent(now, donor->vm, rate_request_pause);
    out.emplace_back(send_to_peer{donor->vm, entry->second.peer, peer_channel::stream,
                                  share_request{organisation_, demand(now), bucket_.rate()}});
}

void organisation_limiter::record_arrival(time_point now) {
    demand_ = demand(now) + 1 / demand_seconds;
    demand_at_ = now;
}

double organisation_limiter::demand(time_point now) const noexcept {
    return demand_ * std::exp(-seconds(std::max(duration{0}, now - demand_at_)) / demand_seconds);
}

Json::Value organisation_limiter::describe(time_point now) const {
    Json::Value json{Json::objectValue};
    json["rate"] = fleet_limits_.rate;
    json["burst"] = fleet_limits_.burst;
    json["part"] = ledger().usable_part();
    json["verified"] = ledger().verified();
    json["own_rate"] = bucket_.rate();
    json["tokens"] = bucket_.tokens(now);
    json["in_transit"] = bucket_.reserved();
    json["waiting"] = static_cast<Json::UInt64>(waiting_.size() + waits_.size());
    for (std::size_t i = 0; i < admission_queue::classes; ++i) {
        json["queued_by_class"].append(static_cast<Json::UInt64>(queue_.size_of_class(i)));
    }
    json["demand"] = demand(now);
    json["holders"] = static_cast<Json::UInt64>(ledger().record().holders.size());
    return json;
}

} // namespace jackdawvane
