#include "jackdawvane/sessions/vm_registration.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// A store request without an answer for this long is repeated.
constexpr duration request_timeout = std::chrono::seconds{2};

} // namespace

vm_registration::vm_registration(vm_entry self, registration_settings settings,
                                 id_sequence<request_id>& ids)
    : self_{std::move(self)}, settings_{settings}, ids_{ids} {}

std::string vm_registration::key() const {
    return "fleet/" + self_.vm.str(); // vms/ holds the rate limiter's leases.
}

void vm_registration::tick(time_point now, actions& out) {
    if (leaving_) {
        return;
    }
    if (request_pending_ && now - request_sent_ > request_timeout) {
        request_pending_ = false;
        next_renewal_ = now;
    }
    if (request_pending_ || now < next_renewal_) {
        return;
    }
    store_request request;
    request.id = request_id_ = ids_.next();
    request.operation = store_operation::renew_lease;
    request.key = key();
    request.value = write_json(to_json(self_));
    request.lease = settings_.lease_duration;
    request_pending_ = true;
    request_sent_ = now;
    next_renewal_ = now + settings_.renewal_interval;
    out.emplace_back(std::move(request));
}

bool vm_registration::on_store(time_point now, const store_answer& answer) {
    const bool newer = answer.era > era_;
    era_ = std::max(era_, answer.era);
    if (!request_pending_ || answer.id != request_id_) {
        // An initial request in flight needs no other one.
        next_renewal_ = newer && written_ ? now : next_renewal_;
        return false;
    }
    request_pending_ = false;
    written_ = written_ || answer.status == store_status::ok;
    if (answer.status != store_status::ok) {
        next_renewal_ = now + settings_.retry_delay;
    }
    return true;
}

void vm_registration::leave(actions& out) {
    if (std::exchange(leaving_, true)) {
        return;
    }
    store_request request;
    request.id = ids_.next();
    request.operation = store_operation::release_lease;
    request.key = key();
    out.emplace_back(std::move(request));
}

} // namespace jackdawvane
