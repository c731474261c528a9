#include "jackdawvane/sessions/coordinator_lease.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "duty";
/// A store request without an answer for this long is abandoned.
constexpr duration request_timeout = std::chrono::milliseconds{1500};

} // namespace

coordinator_lease::coordinator_lease(vm_id self, coordinator_lease_settings settings,
                                     id_sequence<request_id>& ids)
    : self_{std::move(self)}, settings_{std::move(settings)}, ids_{ids} {}

void coordinator_lease::send_request(time_point now, store_operation operation, actions& out) {
    store_request request;
    request.id = request_id_ = ids_.next();
    request.operation = operation_ = operation;
    request.key = settings_.key;
    request.value = self_.str();
    request.lease = settings_.lease_duration;
    request_pending_ = true;
    request_sent_ = now;
    out.emplace_back(std::move(request));
}

duration coordinator_lease::acquire_delay(std::size_t rank) const {
    return settings_.acquire_interval * static_cast<int>(rank + 1);
}

void coordinator_lease::tick(time_point now, std::size_t rank, actions& out) {
    if (leaving_) {
        return;
    }
    if (!std::exchange(started_, true)) {
        // VMs of higher rank wait, so that a whole fleet does not send requests at once.
        last_attempt_ = rank < settings_.immediate_candidates ? now - acquire_delay(rank) : now;
    }
    if (holder_ && now >= held_until_) {
        holder_ = false;
        log(out, log_component, log_level::warning, "lost: the lease may have expired");
    }
    if (request_pending_ && now - request_sent_ > request_timeout) {
        request_pending_ = false;
    }
    if (request_pending_) {
        return;
    }
    // Uses the current rank: VMs of lower rank may have gone since the last attempt.
    if (holder_ && now >= next_renewal_) {
        next_renewal_ = now + settings_.renewal_interval;
        send_request(now, store_operation::keep_lease, out);
    } else if (!holder_ &&
               now >= std::max(acquire_not_before_, last_attempt_ + acquire_delay(rank))) {
        last_attempt_ = now;
        send_request(now, store_operation::acquire_lease, out);
    }
}

void coordinator_lease::note_era(time_point now, const store_answer& answer, actions& out) {
    if (answer.era <= era_) {
        return;
    }
    const auto known = std::exchange(era_, answer.era);
    acquire_not_before_ = now + settings_.lease_duration;
    log(out, log_component, log_level::warning,
        "new era from_era=" + std::to_string(known) + " to_era=" + std::to_string(answer.era) +
            " held=" + (holder_ ? "1" : "0") + " fence=" + std::to_string(fence_) +
            " wait_ms=" + std::to_string(to_milliseconds(settings_.lease_duration)));
    holder_ = false;
}

bool coordinator_lease::on_store(time_point now, const store_answer& answer, actions& out) {
    note_era(now, answer, out);
    if (!request_pending_ || answer.id != request_id_) {
        return false;
    }
    request_pending_ = false;
    const bool acquiring = operation_ == store_operation::acquire_lease;
    if (answer.status == store_status::ok) {
        held_until_ = request_sent_ + settings_.lease_duration -
                      settings_.lease_duration / settings_.clock_margin_divisor;
        if (acquiring && !leaving_ && now >= acquire_not_before_) {
            holder_ = true;
            fence_ = answer.version;
            next_renewal_ = now + settings_.renewal_interval;
            log(out, log_component, log_level::info, "held fence=" + std::to_string(fence_));
        }
    } else if (!acquiring && answer.status == store_status::not_found && holder_) {
        holder_ = false;
        log(out, log_component, log_level::warning, "lost: the lease expired in the store");
    }
    return true;
}

void coordinator_lease::paused(actions& out) {
    if (holder_) {
        holder_ = false;
        log(out, log_component, log_level::warning, "lost: this VM was paused");
    }
    request_pending_ = false;
}

void coordinator_lease::leave(actions& out) {
    if (!std::exchange(leaving_, true) && holder_) {
        store_request request;
        request.id = ids_.next();
        request.operation = store_operation::release_lease;
        request.key = settings_.key;
        out.emplace_back(std::move(request));
        log(out, log_component, log_level::info, "released fence=" + std::to_string(fence_));
    }
    holder_ = false;
}

} // namespace jackdawvane
