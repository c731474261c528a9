#include "standins/jackdawvane-site/lease_store.hpp"

#include <algorithm>

namespace jackdawvane::standin {

const stored_item* lease_store::find(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

lease_store::outcome lease_store::apply(const store_transaction& change) {
    for (const auto& [key, expected_revision] : change.expected) {
        const auto* const current = find(key);
        if ((current == nullptr ? 0 : current->revision) != expected_revision) {
            return outcome::conflict;
        }
    }
    for (const auto& write : change.writes) {
        if (write.lease != 0 && !leases_.contains(write.lease)) {
            return outcome::no_lease;
        }
    }
    for (const auto& write : change.writes) {
        put(write.key, write.value, write.lease);
    }
    for (const auto& key : change.removed) {
        remove(key);
    }
    return outcome::done;
}

void lease_store::put(const std::string& key, std::string value, std::uint64_t lease_number) {
    auto& item = items_[key];
    item.value = std::move(value);
    item.revision = ++revision_;
    item.created_revision = item.created_revision == 0 ? revision_ : item.created_revision;
    item.lease = lease_number;
    history_.push_back({key, revision_, item});
}

void lease_store::remove(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({key, ++revision_, {}});
    }
}

std::uint64_t lease_store::grant(milliseconds ttl, time now) {
    leases_[++last_lease_] = {ttl, now + ttl};
    return last_lease_;
}

bool lease_store::renew(std::uint64_t number, time now) {
    const auto found = leases_.find(number);
    if (found == leases_.end()) {
        return false;
    }
    found->second.expires_at = now + found->second.ttl;
    return true;
}

void lease_store::revoke(std::uint64_t number) {
    leases_.erase(number);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == number) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        remove(key);
    }
}

void lease_store::expire(time now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [number, each] : leases_) {
        if (each.expires_at <= now) {
            expired.push_back(number);
        }
    }
    for (const auto number : expired) {
        revoke(number);
    }
}

std::optional<std::vector<item_change>> lease_store::changes(const std::string& prefix,
                                                             std::uint64_t revision) const {
    if (revision < compacted_revision_ || revision > revision_) {
        return {};
    }
    std::vector<item_change> found;
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(found),
                 [&](const item_change& each) {
                     return each.revision > revision && each.key.starts_with(prefix);
                 });
    return found;
}

void lease_store::compact_history() {
    history_.clear();
    compacted_revision_ = revision_;
}

lease_store lease_store::copied(time now) const {
    auto copy = *this;
    copy.copied_at_ = now;
    return copy;
}

void lease_store::restore(const lease_store& copy, time now) {
    *this = copy;
    for (auto& [number, each] : leases_) {
        each.expires_at += now - copy.copied_at_;
    }
}

} // namespace jackdawvane::standin
