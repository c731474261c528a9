#include "jackdawvane/routing/evacuation_list.hpp"

#include <algorithm>

namespace jackdawvane {

std::vector<evacuation_change> evacuation_list::update(time_point read_at,
                                                       const evacuated_domains& list) {
    std::vector<evacuation_change> changes;
    if (!enabled() || (known_ && list.version < last_.version)) {
        return changes;
    }
    const std::set<failure_domain_id> listed{list.domains.begin(), list.domains.end()};
    for (const auto& domain : listed) {
        // The previous list did not contain the domain, so the request is not older than it.
        if (last_absent_.try_emplace(domain, read_at_).second) {
            changes.push_back({domain, true});
        }
    }
    for (auto it = last_absent_.begin(); it != last_absent_.end();) {
        if (listed.contains(it->first)) {
            ended_in_.erase(it->first);
            ++it;
            continue;
        }
        const auto ended = ended_in_.try_emplace(it->first, list.version).first->second;
        if (ended == list.version) {
            ++it;
            continue;
        }
        ended_in_.erase(it->first);
        changes.push_back({it->first, false});
        it = last_absent_.erase(it);
    }
    last_ = list;
    read_at_ = std::max(read_at_, read_at);
    known_ = true;
    return changes;
}

bool evacuation_list::contains(const failure_domain_id& domain) const {
    return last_absent_.contains(domain);
}

bool evacuation_list::excludes(const failure_domain_id& domain) const {
    return !known() || contains(domain);
}

bool evacuation_list::blocks(time_point now, const failure_domain_id& domain) const {
    if (!known()) {
        return true;
    }
    const auto found = last_absent_.find(domain);
    return found != last_absent_.end() &&
           (found->second == time_point::min() ||
            now >= found->second + std::max(settings_.timeout - settings_.margin, duration{0}));
}

} // namespace jackdawvane
