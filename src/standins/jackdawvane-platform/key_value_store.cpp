#include "standins/jackdawvane-platform/key_value_store.hpp"

namespace jackdawvane::standin {

bool key_value_store::is_present(const stored_value& stored, time now) {
    return stored.present && (!stored.expiry || now < *stored.expiry);
}

store_answer key_value_store::read(const std::string& key, time now) const {
    store_answer answer;
    answer.status = store_status::not_found;
    const auto found = values_.find(key);
    if (found != values_.end() && is_present(found->second, now)) {
        answer.status = store_status::ok;
        answer.value = found->second.value;
        answer.version = found->second.version;
    }
    return answer;
}

void key_value_store::write(const std::string& key, const std::string& value,
                            std::optional<time> expiry) {
    auto& stored = values_[key];
    stored.value = value;
    ++stored.version;
    stored.present = true;
    stored.expiry = expiry;
}

store_answer key_value_store::compare_and_swap(const store_request& request, time now) {
    auto current = read(request.key, now);
    if (current.version != request.version) {
        current.status = store_status::conflict;
        return current;
    }
    write(request.key, request.value, {});
    return read(request.key, now);
}

store_answer key_value_store::renew_lease(const store_request& request, time now) {
    const auto current = read(request.key, now);
    const auto expiry = now + request.lease;
    if (current.status == store_status::ok && current.value == request.value) {
        // The version stays, so a renewal does not complete a watch.
        values_[request.key].expiry = expiry;
    } else {
        write(request.key, request.value, expiry);
    }
    return read(request.key, now);
}

store_answer key_value_store::release_lease(const store_request& request, time now) {
    auto current = read(request.key, now);
    if (current.status == store_status::ok) {
        values_[request.key].present = false;
    }
    return current;
}

} // namespace jackdawvane::standin
