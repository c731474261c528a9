#include "jackdawvane/sessions/duty_lease.hpp"

#include <utility>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "duty";
/// A call without an answer for this long is given up.
constexpr duration call_limit = std::chrono::milliseconds{1500};

} // namespace

duty_lease::duty_lease(vm_id self, duty_lease_settings settings, id_sequence<request_id>& ids)
    : self_{std::move(self)}, settings_{std::move(settings)}, ids_{ids} {}

void duty_lease::call(time_point now, store_operation operation, actions& out) {
    store_request request;
    request.id = call_ = ids_.next();
    request.operation = operation_ = operation;
    request.key = settings_.key;
    request.value = self_.str();
    request.lease = settings_.lease;
    pending_ = true;
    sent_ = now;
    out.emplace_back(std::move(request));
}

/// A VM asks the more rarely the more VMs come before it.
duration duty_lease::pause_of(std::size_t rank) const {
    return settings_.try_interval * static_cast<int>(rank + 1);
}

void duty_lease::tick(time_point now, std::size_t rank, actions& out) {
    if (leaving_) {
        return;
    }
    if (!std::exchange(started_, true)) {
        // Those after the first candidates wait, so that a fleet does not ask all at once.
        tried_ = rank < settings_.candidates ? now - pause_of(rank) : now;
    }
    if (holder_ && now >= until_) {
        holder_ = false;
        log(out, log_part, log_level::warning, "lost: the lease may have ended");
    }
    if (pending_ && now - sent_ > call_limit) {
        pending_ = false;
    }
    if (pending_) {
        return;
    }
    // The present rank counts: those before this VM may have gone since its last try.
    if (holder_ && now >= next_) {
        next_ = now + settings_.renewal;
        call(now, store_operation::keep_lease, out);
    } else if (!holder_ && now >= tried_ + pause_of(rank)) {
        tried_ = now;
        call(now, store_operation::acquire_lease, out);
    }
}

bool duty_lease::on_store(time_point now, const store_answer& answer, actions& out) {
    if (!pending_ || answer.id != call_) {
        return false;
    }
    pending_ = false;
    const bool acquiring = operation_ == store_operation::acquire_lease;
    if (answer.status == store_status::ok) {
        until_ = sent_ + settings_.lease - settings_.lease / settings_.margin_divisor;
        if (acquiring && !leaving_) {
            holder_ = true;
            fence_ = answer.version;
            next_ = now + settings_.renewal;
            log(out, log_part, log_level::info, "held fence=" + std::to_string(fence_));
        }
    } else if (!acquiring && answer.status == store_status::not_found && holder_) {
        holder_ = false;
        log(out, log_part, log_level::warning, "lost: the store has ended the lease");
    }
    return true;
}

void duty_lease::paused(actions& out) {
    if (holder_) {
        holder_ = false;
        log(out, log_part, log_level::warning, "given up after a pause of this VM");
    }
    pending_ = false;
}

void duty_lease::leave(actions& out) {
    if (!std::exchange(leaving_, true) && holder_) {
        store_request request;
        request.id = ids_.next();
        request.operation = store_operation::release_lease;
        request.key = settings_.key;
        out.emplace_back(std::move(request));
        log(out, log_part, log_level::info, "given up fence=" + std::to_string(fence_));
    }
    holder_ = false;
}

} // namespace jackdawvane
