#include "jackdawvane/sessions/vm_registration.hpp"

#include <utility>

namespace jackdawvane {

namespace {

constexpr duration call_limit = std::chrono::seconds{2};

} // namespace

vm_registration::vm_registration(vm_entry self, registration_settings settings,
                                 id_sequence<request_id>& ids)
    : self_{std::move(self)}, settings_{settings}, ids_{ids} {}

std::string vm_registration::key() const {
    return "fleet/" + self_.vm.str(); // The rate limiter keeps its lease under vms/.
}

void vm_registration::tick(time_point now, actions& out) {
    if (leaving_) {
        return;
    }
    if (pending_ && now - sent_ > call_limit) {
        pending_ = false;
        next_ = now;
    }
    if (pending_ || now < next_) {
        return;
    }
    store_request request;
    request.id = call_ = ids_.next();
    request.operation = store_operation::renew_lease;
    request.key = key();
    request.value = write_json(to_json(self_));
    request.lease = settings_.lease;
    pending_ = true;
    sent_ = now;
    next_ = now + settings_.renewal;
    out.emplace_back(std::move(request));
}

bool vm_registration::on_store(time_point now, const store_answer& answer) {
    if (!pending_ || answer.id != call_) {
        return false;
    }
    pending_ = false;
    if (answer.status != store_status::ok) {
        next_ = now + settings_.retry;
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
