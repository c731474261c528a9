#include "jackdawvane/limits/organisation_limiter.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief Queue by priority class at a holder of the organisation's rate.

namespace jackdawvane {

namespace {

/// The holder's clock may run faster than the requester's by one part in this many.
constexpr int clock_margin_divisor = 10;
/// No grant is valid for longer than the settle time of the shares less one part in this many.
constexpr int settle_divisor = 5;
/// Fraction of the tokens left after the waiting requests that a holder grants as prefetch.
constexpr double prefetch_fraction = 0.5;
/// Longest time that a request of another VM stays in the queue.
constexpr duration longest_queueing = std::chrono::seconds{1};

} // namespace

/// A share of less than one token never grants a whole one; fractions are exchanged without a
/// queue.
bool organisation_limiter::holds_whole_tokens() const noexcept {
    return uses_share() && bucket_.capacity() >= 1 && bucket_.rate() > 0;
}

bool organisation_limiter::queue_request(time_point now, const vm_id& from,
                                         const token_request& message, actions& out) {
    const bool legacy = !message.queue_for;
    if (!context_.limits.queues_by_class || (legacy && !holds_whole_tokens())) {
        return false;
    }
    if (legacy && queue_.empty() && free_tokens(now) >= std::max(1.0, message.waiting)) {
        return false;
    }
    const auto validity = std::max(message.valid_for, duration{0});
    const double prefetch = std::max(0.0, message.amount - std::max(1.0, message.waiting));
    const queue_origin origin{from, message.id, now, validity, prefetch, legacy};
    const auto settle = context_.settings.settle;
    if (!holds_whole_tokens() || validity > settle - settle / settle_divisor) {
        send_refusal(now, origin, message.priority, std::nullopt, out);
        return true;
    }
    const auto useful = legacy ? validity / 2 : std::min(*message.queue_for, longest_queueing);
    const admission_entry entry{request_id{++last_queue_id_}, organisation_, message.priority, 1,
                                now + useful};
    if (queue_.empty() && bucket_.tokens(now) >= 1) {
        queue_.record_served(now, message.priority);
        grant_queued(now, origin, message.priority, out);
    } else if (queue_.can_serve(now, entry) && queue_.push(entry)) {
        origins_.emplace(entry.id, origin);
        queued_remote_.emplace(from, message.id);
    } else {
        send_refusal(now, origin, message.priority, queue_.retry_after(now, entry, context_.random),
                     out);
    }
    return true;
}

void organisation_limiter::grant_queued(time_point now, const queue_origin& origin,
                                        std::uint32_t priority, actions& out) {
    const auto entry = context_.live.find(origin.from);
    if (entry == context_.live.end()) {
        return;
    }
    const double rest = std::max(0.0, free_tokens(now) - 1) * prefetch_fraction;
    const double amount = bucket_.send(now, 1 + std::min(origin.prefetch, rest));
    reservations_[{origin.from, origin.id}] = {
        amount, now + origin.validity + origin.validity / clock_margin_divisor + duration{1}};
    token_grant grant{origin.id, organisation_, amount, free_tokens(now), {}, {}, {}};
    if (!origin.legacy) {
        grant.queued = now - origin.arrived;
        const bool free = queue_.empty() && bucket_.tokens(now) >= 1;
        const admission_entry next{{}, organisation_, priority, 1, now + longest_queueing};
        grant.wait = free ? duration{0} : queue_.expected_wait(now, next);
    }
    out.emplace_back(
        send_to_peer{origin.from, entry->second.peer, peer_channel::stream, std::move(grant)});
}

void organisation_limiter::send_refusal(time_point now, const queue_origin& origin,
                                        std::uint32_t priority, std::optional<duration> retry_after,
                                        actions& out) {
    const auto entry = context_.live.find(origin.from);
    if (entry == context_.live.end()) {
        return;
    }
    token_grant answer{origin.id, organisation_, 0, 0, {}, {}, {}};
    if (!origin.legacy) {
        const admission_entry next{{}, organisation_, priority, 1, now + longest_queueing};
        answer.wait = holds_whole_tokens() ? queue_.expected_wait(now, next) : longest_queueing;
        answer.retry_after = retry_after;
    }
    out.emplace_back(
        send_to_peer{origin.from, entry->second.peer, peer_channel::stream, std::move(answer)});
}

/// Gives the tokens of this VM's share to the queued requests, then to those that wait elsewhere.
void organisation_limiter::serve_queue(time_point now, actions& out) {
    for (const auto& each : queue_.expire(now)) {
        const auto origin = origins_.extract(each.id).mapped();
        if (origin.from.str().empty()) {
            refuse_wait(now, origin.id, "expired", out);
            continue;
        }
        queued_remote_.erase({origin.from, origin.id});
        send_refusal(now, origin, each.priority, queue_.retry_after(now, each, context_.random),
                     out);
    }
    if (!holds_whole_tokens()) {
        return;
    }
    while (!queue_.empty() && bucket_.tokens(now) >= 1) {
        const auto next = queue_.pop(now);
        if (!next) {
            break;
        }
        const auto origin = origins_.extract(next->id).mapped();
        if (!origin.from.str().empty()) {
            queued_remote_.erase({origin.from, origin.id});
            grant_queued(now, origin, next->priority, out);
        } else if (bucket_.take(now, 1)) {
            waits_.at(origin.id).queued = {};
            admit_wait(now, origin.id, out);
        }
    }
    while (queue_.empty() && bucket_.tokens(now) >= 1) {
        const auto handle = first_wait();
        if (!handle || !take(now)) {
            return;
        }
        queue_.record_served(now, waits_.at(*handle).priority);
        admit_wait(now, *handle, out);
    }
}

/// A holder whose share is unusable grants nothing: the requests are sent to other holders.
void organisation_limiter::flush_queue(time_point now, actions& out) {
    while (const auto next = queue_.pop(now)) {
        const auto origin = origins_.extract(next->id).mapped();
        if (origin.from.str().empty()) {
            waits_.at(origin.id).queued = {};
            continue;
        }
        queued_remote_.erase({origin.from, origin.id});
        send_refusal(now, origin, next->priority, std::nullopt, out);
    }
}

} // namespace jackdawvane
