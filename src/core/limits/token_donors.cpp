#include "jackdawvane/limits/token_donors.hpp"

#include <utility>

#include <algorithm>
#include <chrono>

namespace jackdawvane {

namespace {

/// First pause after an empty grant: about the time in which a busy share gets a new token.
constexpr duration empty_backoff = std::chrono::milliseconds{20};
/// First pause after no answer at all: the donor is probably not reachable.
constexpr duration silent_backoff = std::chrono::milliseconds{250};
/// A donor with less than one token, or than this part of a smaller burst, is not worth a message.
constexpr double smallest_burst_fraction = 0.5;
constexpr double microseconds_per_second = 1e6;

} // namespace

const token_donors::candidate* token_donors::choose(time_point now,
                                                    std::span<const candidate> candidates) const {
    const candidate* best = nullptr;
    double best_score{0};
    for (const auto& option : candidates) {
        const double score = estimate(now, option) * option.preference;
        if (askable_at(now, option) <= now && score > best_score) {
            best = &option;
            best_score = score;
        }
    }
    return best;
}

const token_donors::candidate*
token_donors::choose_for_rate(time_point now, std::span<const candidate> candidates) const {
    const candidate* best = nullptr;
    double best_score{0};
    for (const auto& option : candidates) {
        const auto known = donors_.find(option.vm);
        const bool waiting = known != donors_.end() && known->second.rate_after > now;
        const bool unreachable = known != donors_.end() && known->second.backoff >= longest_backoff;
        const double score =
            option.fraction * (estimate(now, option) + 1) / (option.fraction * whole_.burst + 1);
        if (!waiting && !unreachable && score > best_score) {
            best = &option;
            best_score = score;
        }
    }
    return best;
}

time_point token_donors::next_chance(time_point now, std::span<const candidate> candidates) const {
    auto earliest = no_deadline;
    for (const auto& option : candidates) {
        earliest = std::min(earliest, askable_at(now, option));
    }
    return earliest;
}

double token_donors::estimate(time_point now, const candidate& option) const {
    const auto known = donors_.find(option.vm);
    if (known == donors_.end() || !known->second.left) {
        return option.fraction * whole_.burst;
    }
    const auto age = static_cast<double>((now - known->second.heard).count());
    const double refilled = option.fraction * whole_.rate * age / microseconds_per_second;
    return std::min(option.fraction * whole_.burst, *known->second.left + refilled);
}

void token_donors::asked(request_id id, const vm_id& vm, double amount, time_point expiry) {
    open_.insert_or_assign(id, open_request{vm, amount, expiry});
    donors_[vm].busy = true;
}

void token_donors::asked_for_rate(time_point now, const vm_id& vm, duration pause) {
    donors_[vm].rate_after = now + pause;
}

bool token_donors::granted(time_point now, request_id id, const vm_id& vm, double amount,
                           double left) {
    const auto found = open_.find(id);
    if (found == open_.end() || found->second.donor != vm || now > found->second.expiry) {
        return false;
    }
    open_.erase(found);
    auto& known = donors_[vm];
    known.busy = false;
    known.left = std::max(0.0, left);
    known.heard = now;
    if (amount > 0) {
        known.backoff = duration{0};
    } else {
        back_off(now, known, empty_backoff);
    }
    return true;
}

time_point token_donors::expiry_of(request_id id) const {
    const auto found = open_.find(id);
    return found == open_.end() ? time_point::min() : found->second.expiry;
}

void token_donors::expire(time_point now) {
    for (auto it = open_.begin(); it != open_.end();) {
        if (it->second.expiry >= now) {
            ++it;
            continue;
        }
        auto& silent = donors_[it->second.donor];
        silent.busy = false;
        back_off(now, silent, silent_backoff);
        it = open_.erase(it);
    }
}

double token_donors::outstanding() const noexcept {
    double sum{0};
    for (const auto& [id, each] : open_) {
        sum += each.amount;
    }
    return sum;
}

time_point token_donors::next_deadline() const noexcept {
    auto earliest = no_deadline;
    for (const auto& [id, each] : open_) {
        earliest = std::min(earliest, each.expiry + duration{1});
    }
    return earliest;
}

void token_donors::back_off(time_point now, donor_state& silent, duration shortest) {
    silent.backoff = std::clamp(silent.backoff * 2, shortest, longest_backoff);
    silent.ask_after = now + silent.backoff;
}

double token_donors::smallest_estimate(const candidate& option) const noexcept {
    return std::min(1.0, option.fraction * whole_.burst * smallest_burst_fraction);
}

time_point token_donors::askable_at(time_point now, const candidate& option) const {
    const auto known = donors_.find(option.vm);
    if (known != donors_.end() && known->second.busy) {
        return no_deadline;
    }
    const auto earliest = known == donors_.end() ? now : known->second.ask_after;
    const double rate = option.fraction * whole_.rate;
    const double missing = smallest_estimate(option) - estimate(now, option);
    if (missing <= 0) {
        return earliest;
    }
    if (rate <= 0) {
        return no_deadline;
    }
    const double wait = missing / rate * microseconds_per_second;
    constexpr double longest_wait = 1e12;
    return std::max(earliest,
                    now + duration{static_cast<duration::rep>(std::min(wait, longest_wait)) + 1});
}

} // namespace jackdawvane
