#include "jackdawvane/sessions/backend_directory.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

bool backend_directory::update(time_point now, time_point read_at, std::uint64_t version,
                               const std::vector<backend_registration>& registrations) {
    if (known_ && version < read_version_) {
        return false;
    }
    // A store that came back from a copy may lack registrations that are written again.
    const bool restored = split_version(version).era > split_version(read_version_).era;
    if (known_ && (restored || read_at - read_at_ > settings_.outage_threshold)) {
        grace_until_ = now + settings_.reregistration_grace;
    }
    bool changed = !std::exchange(known_, true);
    read_version_ = version;
    read_at_ = std::max(read_at_, read_at);
    std::set<backend_server_id> present;
    for (const auto& registration : registrations) {
        present.insert(registration.backend);
        auto& own = entries_[registration.backend];
        if (own.registration != registration && registration.warm_up_remaining > duration{0}) {
            own.warm_from = read_at + registration.warm_up_remaining;
        } else if (registration.warm_up_remaining == duration{0}) {
            own.warm_from = time_point::min();
        }
        changed = changed || own.registration != registration;
        own.registration = registration;
        own.absent_since = no_deadline;
        own.listed_at = std::max(own.listed_at, read_at);
        if (!registration.leaving) {
            own.leaving_since = no_deadline;
            own.last_listed_staying = std::max(own.last_listed_staying, read_at);
        } else if (own.leaving_since == no_deadline) {
            own.leaving_since = now;
        }
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        it->second.absent_since = std::min(it->second.absent_since, now);
        if (now < grace_until_) {
            ++it;
            continue;
        }
        changed = true;
        it = entries_.erase(it);
    }
    version_ = changed ? version : version_;
    return changed;
}

void backend_directory::confirm(time_point now, time_point read_at, std::uint64_t changed,
                                std::uint64_t read) {
    if (known_ && changed <= version_ && read >= version_) {
        update(now, read_at, std::max(read, read_version_), registrations());
    }
}

const backend_directory::entry* backend_directory::find(const backend_server_id& backend) const {
    const auto found = entries_.find(backend);
    return found == entries_.end() ? nullptr : &found->second;
}

listing backend_directory::listed(const backend_server_id& backend, time_point when) const {
    const auto* found = find(backend);
    return found != nullptr && when - found->listed_at <= listing_validity ? listing::current
                                                                           : listing::old;
}

std::set<backend_server_id> backend_directory::members(const group_id& group) const {
    std::set<backend_server_id> found;
    for (const auto& [backend, own] : entries_) {
        if (own.registration.group == group) {
            found.insert(backend);
        }
    }
    return found;
}

std::set<group_id> backend_directory::groups() const {
    std::set<group_id> found;
    for (const auto& [backend, own] : entries_) {
        found.insert(own.registration.group);
    }
    return found;
}

std::vector<backend_registration> backend_directory::registrations() const {
    std::vector<backend_registration> all;
    for (const auto& [backend, own] : entries_) {
        if (own.absent_since == no_deadline) {
            all.push_back(own.registration);
        }
    }
    return all;
}

} // namespace jackdawvane
