#include "jackdawvane/membership/member_table.hpp"

#include <utility>

#include <algorithm>
#include <set>
#include <tuple>

namespace jackdawvane {

namespace {

/// Within one refutation number the more severe state wins; only `dead` overrides `left`.
int severity(member_health health) noexcept {
    switch (health) {
    case member_health::alive:
        return 0;
    case member_health::suspect:
        return 1;
    case member_health::left:
        return 2;
    default:
        return 3;
    }
}

template <class Item>
auto order_of(const Item& item) {
    return std::tuple{item.incarnation, item.refutation, severity(item.health)};
}

/// Whether @a update is the first message of a VM that was already presumed live. Such an update is
/// not gossiped: when a whole fleet starts, each VM would receive one about every other VM.
bool confirms_presumption(const member_record& record, const member_update& update) {
    return record.presumed_live && record.incarnation.value() == 0 &&
           record.health == member_health::alive && update.health == member_health::alive &&
           record.entry.peer == update.entry.peer && record.entry.caller == update.entry.caller;
}

} // namespace

member_table::member_table(const vm_entry& self, vm_incarnation incarnation) {
    self_ = &records_[self.vm];
    self_->entry = self;
    self_->incarnation = incarnation;
}

member_record* member_table::find(const vm_id& vm) {
    const auto found = records_.find(vm);
    return found == records_.end() ? nullptr : &found->second;
}

const member_record* member_table::find(const vm_id& vm) const {
    const auto found = records_.find(vm);
    return found == records_.end() ? nullptr : &found->second;
}

member_record& member_table::add(time_point now, const member_update& update) {
    auto& record = records_[update.entry.vm];
    record.entry = update.entry;
    record.entry.state = vm_state::live;
    record.known_since = now;
    return record;
}

merge_result member_table::merge(time_point now, const member_update& update) {
    if (update.entry.vm == self_->entry.vm) {
        return merge_self(update);
    }
    auto* known = find(update.entry.vm);
    const bool is_new = known == nullptr;
    auto& record = is_new ? add(now, update) : *known;
    const bool listing_changed = merge_listing(record, update);
    if (!is_new && order_of(update) <= order_of(record)) {
        const bool older = order_of(update) < order_of(record);
        return listing_changed ? merge_result::changed
               : older         ? merge_result::stale
                               : merge_result::unchanged;
    }
    const bool confirms = !is_new && confirms_presumption(record, update);
    if (update.incarnation > record.incarnation) {
        const auto listed_state = record.entry.state;
        record.entry = update.entry;
        record.entry.state = listed_state;
        record.known_since = confirms ? record.known_since : now;
        record.acknowledged_self_version = 0;
    }
    record.incarnation = update.incarnation;
    record.refutation = update.refutation;
    set_health(record, update.health);
    return confirms && !listing_changed ? merge_result::unchanged : merge_result::changed;
}

merge_result member_table::merge_self(const member_update& update) {
    const bool listing_changed = merge_listing(*self_, update);
    if (update.incarnation != self_->incarnation) {
        // From an earlier process with this id, or from a later one that replaces this process.
        return update.incarnation < self_->incarnation ? merge_result::stale
                                                       : merge_result::unchanged;
    }
    if (order_of(update) <= order_of(*self_)) {
        return listing_changed ? merge_result::changed : merge_result::unchanged;
    }
    self_->refutation = update.refutation + 1;
    ++self_version_;
    return merge_result::refuted;
}

bool member_table::merge_listing(member_record& record, const member_update& update) {
    if (update.list_version <= record.list_version) {
        return false;
    }
    record.list_version = update.list_version;
    const bool changed = record.listed != update.listed || record.entry.state != update.entry.state;
    record.listed = update.listed;
    record.was_listed = record.was_listed || update.listed;
    record.entry.state = update.entry.state;
    return changed;
}

merge_result member_table::observe_incarnation(time_point now, const vm_id& vm,
                                               vm_incarnation incarnation) {
    auto* const record = find(vm);
    if (record == nullptr || incarnation < record->incarnation) {
        return merge_result::stale;
    }
    if (incarnation == record->incarnation) {
        return merge_result::unchanged;
    }
    const bool confirms = confirms_presumption(*record, update_about(*record));
    record->incarnation = incarnation;
    record->refutation = 0;
    record->known_since = confirms ? record->known_since : now;
    record->acknowledged_self_version = 0;
    set_health(*record, member_health::alive);
    return confirms ? merge_result::unchanged : merge_result::changed;
}

std::vector<vm_id> member_table::apply_list(time_point now, const std::vector<vm_entry>& list,
                                            std::uint64_t version, bool presume) {
    std::vector<vm_id> changed;
    if (version < list_version_) {
        return changed;
    }
    list_version_ = version;
    std::set<vm_id> listed;
    for (const auto& entry : list) {
        listed.insert(entry.vm);
        member_update update{entry, {}, 0, member_health::alive, version, true};
        auto* known = find(entry.vm);
        auto& record = known == nullptr ? add(now, update) : *known;
        record.presumed_live = record.presumed_live || (presume && record.incarnation.value() == 0);
        if (merge_listing(record, update) || known == nullptr) {
            changed.push_back(entry.vm);
        }
    }
    for (auto& [vm, record] : records_) {
        if (record.listed && !listed.contains(vm)) {
            auto update = update_about(record);
            update.list_version = version;
            update.listed = false;
            if (merge_listing(record, update)) {
                changed.push_back(vm);
            }
        }
    }
    return changed;
}

void member_table::set_health(member_record& record, member_health health) {
    record.health = health;
    record.suspect_until = no_deadline;
    record.own_suspicion = false;
}

void member_table::leave_self() {
    self_->health = member_health::left;
    ++self_->refutation;
    ++self_version_;
}

member_update member_table::update_about(const member_record& record) const {
    return {record.entry,  record.incarnation,  record.refutation,
            record.health, record.list_version, record.listed};
}

std::vector<vm_entry> member_table::live() const {
    std::vector<vm_entry> entries;
    for (const auto& [vm, record] : records_) {
        const bool leaving =
            record.health == member_health::left || record.entry.state == vm_state::leaving;
        if (!record.is_up() || (&record == self_ && leaving)) {
            continue;
        }
        entries.push_back(record.entry);
        entries.back().state = leaving ? vm_state::leaving : vm_state::live;
    }
    return entries;
}

std::vector<vm_id> member_table::gone() const {
    std::vector<vm_id> ids;
    for (const auto& [vm, record] : records_) {
        if (record.was_listed && !record.listed && &record != self_ && !record.is_up()) {
            ids.push_back(vm);
        }
    }
    return ids;
}

} // namespace jackdawvane
