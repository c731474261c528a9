#include "jackdawvane/limits/organisation_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

/// @file
/// @brief Messages between the limiters of one organisation: tokens and rate.

namespace jackdawvane {

namespace {

/// The donor's clock may run this much faster than the asker's; its reservation has to outlast
/// the time in which the asker accepts the grant.
constexpr int clock_margin_divisor = 10;
/// No reservation lasts longer than the settle time of the shares less this part of it.
constexpr int settle_divisor = 5;
/// Smaller amounts are not worth a grant.
constexpr double smallest_grant = 0.01;
/// Part of the tokens left after the waiting requests that a donor gives ahead.
constexpr double ahead_fraction = 0.5;
/// Average over this time tells the demand.
constexpr double demand_seconds = 5;
constexpr double microseconds_per_second = 1e6;
/// A giver keeps this multiple of its own demand.
constexpr double demand_margin = 1.2;
/// Part of an equal share that every giver keeps.
constexpr double kept_fraction = 0.1;
/// Moves below this part of the whole are not worth a store call.
constexpr std::uint32_t smallest_gift = whole_share / 50;
/// Part of its spare rate that a giver gives at once: fewer moves need fewer store calls.
constexpr double gift_fraction = 0.8;
/// Burst that every giver keeps; less than one token could never be used.
constexpr double kept_burst = 2;
constexpr duration gift_interval = std::chrono::seconds{4};
constexpr duration rate_request_pause = std::chrono::seconds{8};

double seconds(duration value) noexcept {
    return static_cast<double>(value.count()) / microseconds_per_second;
}

} // namespace

void organisation_limiter::on_peer(time_point now, const vm_id& from, const token_request& message,
                                   actions& out) {
    const auto entry = context_.live.find(from);
    const auto key = std::pair{from, message.id};
    if (entry == context_.live.end() || transits_.contains(key)) {
        return; // A repeated request has been answered; its grant may still arrive.
    }
    follow_ledger(now);
    serve(now);
    const double free = free_tokens(now);
    const double waiting = std::clamp(message.waiting, 0.0, free);
    const double ahead =
        std::clamp(message.amount - message.waiting, 0.0, (free - waiting) * ahead_fraction);
    double amount = waiting + ahead;
    if (ledger_.record().find(from) == nullptr) {
        amount = std::floor(amount); // Who holds no share cannot keep a part of a token.
    }
    const auto settle = context_.settings.settle;
    const auto validity = std::max(message.valid_for, duration{0});
    if (amount < smallest_grant || validity > settle - settle / settle_divisor) {
        amount = 0;
    } else {
        amount = bucket_.send(now, amount);
        transits_[key] = {amount, now + validity + validity / clock_margin_divisor + duration{1}};
    }
    out.emplace_back(
        send_to_peer{from, entry->second.peer, peer_channel::stream,
                     token_grant{message.id, organisation_, amount, free_tokens(now)}});
}

void organisation_limiter::on_peer(time_point now, const vm_id& from, const token_grant& message,
                                   actions& out) {
    if (!donors_.granted(now, message.id, from, message.amount, message.left)) {
        return;
    }
    follow_ledger(now);
    if (message.amount > 0) {
        messages_.add(now, 1);
        spend_grant(now, message.amount);
        const auto entry = context_.live.find(from);
        if (entry != context_.live.end()) {
            out.emplace_back(send_to_peer{from, entry->second.peer, peer_channel::stream,
                                          token_acknowledgement{message.id, organisation_}});
        }
    }
    update(now, out);
}

void organisation_limiter::on_peer(time_point now, const vm_id& from,
                                   const token_acknowledgement& message, actions& out) {
    const auto found = transits_.find({from, message.id});
    if (found == transits_.end()) {
        return;
    }
    follow_ledger(now);
    bucket_.settle(now, found->second.amount);
    transits_.erase(found);
    update(now, out);
}

void organisation_limiter::on_peer(time_point now, const vm_id& from, const share_request& message,
                                   actions& out) {
    follow_ledger(now);
    if (!uses_share() || now < last_gift_ + gift_interval) {
        return;
    }
    const auto part = spare_part(now, message);
    if (part >= smallest_gift && ledger_.give(now, from, part, out)) {
        last_gift_ = now;
        update(now, out);
    }
}

void organisation_limiter::on_peer(time_point now, const vm_id& /*from*/,
                                   const share_notice& message, actions& out) {
    ledger_.on_notice(now, message, out);
    update(now, out);
}

void organisation_limiter::settle_expired(time_point now) {
    std::erase_if(transits_, [&](const auto& open) {
        if (open.second.expiry > now) {
            return false;
        }
        bucket_.settle(now, open.second.amount);
        return true;
    });
}

/// Part of the own share that the demand here leaves over for @a wanted. Capacity that tokens in
/// transit occupy stays, else these tokens and the receiver's would exceed the burst.
std::uint32_t organisation_limiter::spare_part(time_point now, const share_request& wanted) const {
    const auto whole = ledger_.limits();
    if (whole.rate <= 0) {
        return 0;
    }
    const double holders = std::max(1.0, static_cast<double>(ledger_.record().holders.size()));
    const double kept = std::max(demand(now) * demand_margin, whole.rate / holders * kept_fraction);
    const double spare = std::max(0.0, bucket_.rate() - kept) * gift_fraction;
    const double lacking = std::max(0.0, wanted.demand * demand_margin - wanted.rate);
    double part = std::min(spare, lacking) / whole.rate;
    if (whole.burst > 0) {
        const double kept_capacity = std::max(bucket_.reserved(), kept_burst);
        part = std::min(part, (bucket_.capacity() - kept_capacity) / whole.burst);
    }
    return static_cast<std::uint32_t>(std::clamp(part, 0.0, 1.0) * whole_share);
}

void organisation_limiter::consider_share_request(time_point now, actions& out) {
    if (now < share_request_at_ || !ledger_.holder() || !ledger_.verified()) {
        return;
    }
    share_request_at_ = now + context_.limits.share_interval;
    const double wanted = demand(now) * demand_margin - bucket_.rate();
    const bool worthwhile = wanted * whole_share > ledger_.limits().rate * smallest_gift;
    const bool lacking = std::exchange(short_of_tokens_, false) && worthwhile;
    if (!lacking) {
        return;
    }
    const auto* donor = donors_.choose_for_rate(now, candidates_);
    const auto entry = donor == nullptr ? context_.live.end() : context_.live.find(donor->vm);
    if (entry == context_.live.end()) {
        return;
    }
    donors_.asked_for_rate(now, donor->vm, rate_request_pause);
    out.emplace_back(send_to_peer{donor->vm, entry->second.peer, peer_channel::stream,
                                  share_request{organisation_, demand(now), bucket_.rate()}});
}

void organisation_limiter::note_arrival(time_point now) {
    demand_ = demand(now) + 1 / demand_seconds;
    demand_at_ = now;
}

double organisation_limiter::demand(time_point now) const noexcept {
    return demand_ * std::exp(-seconds(std::max(duration{0}, now - demand_at_)) / demand_seconds);
}

Json::Value organisation_limiter::describe(time_point now) const {
    const auto whole = ledger_.limits();
    Json::Value json{Json::objectValue};
    json["rate"] = whole.rate;
    json["burst"] = whole.burst;
    json["part"] = ledger_.usable_part();
    json["verified"] = ledger_.verified();
    json["own_rate"] = bucket_.rate();
    json["tokens"] = bucket_.tokens(now);
    json["in_transit"] = bucket_.reserved();
    json["waiting"] = static_cast<Json::UInt64>(waiting_.size());
    json["demand"] = demand(now);
    json["holders"] = static_cast<Json::UInt64>(ledger_.record().holders.size());
    return json;
}

} // namespace jackdawvane
