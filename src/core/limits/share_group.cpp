#include "jackdawvane/limits/share_group.hpp"

#include "jackdawvane/limits/limiter_context.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Shortest time between two transfers of a part: each costs a store write.
constexpr duration transfer_interval = std::chrono::seconds{4};
constexpr double same_region_preference = 0.8;
constexpr double other_region_preference = 0.5;

double preference_of(const location& place, const location& own) {
    if (place.region != own.region) {
        return other_region_preference;
    }
    return place.domain != own.domain ? same_region_preference : 1;
}

} // namespace

share_group::share_group(share_group_id id, limiter_context& context)
    : id_{std::move(id)}, context_{context}, ledger_{id_, context} {}

void share_group::activate(time_point now, actions& out) {
    ledger_.activate(now, out);
}

void share_group::fleet_changed(time_point now, actions& out) {
    ledger_.set_targets(now, select_holders(), out);
}

bool share_group::on_store(time_point now, const store_answer& answer, actions& out) {
    return ledger_.on_store(now, answer, out);
}

void share_group::on_notice(time_point now, const share_notice& notice, actions& out) {
    ledger_.on_notice(now, notice, out);
}

void share_group::on_lease_lapsed(time_point now, actions& out) {
    ledger_.on_lease_lapsed(now, out);
}

void share_group::on_lease_renewed(time_point now, actions& out) {
    ledger_.on_lease_renewed(now, out);
}

void share_group::leave(time_point now, actions& out) {
    ledger_.leave(now, out);
}

void share_group::tick(time_point now, actions& out) {
    ledger_.tick(now, out);
}

bool share_group::start_transfer(time_point now, const vm_id& receiver, std::uint32_t part,
                                 actions& out) {
    if (now < last_transfer_ + transfer_interval ||
        !ledger_.start_transfer(now, receiver, part, out)) {
        return false;
    }
    last_transfer_ = now;
    return true;
}

bool share_group::take_changed() {
    auto candidates = find_candidates();
    const auto part = ledger_.usable_part();
    const bool verified = ledger_.verified();
    const bool holder = ledger_.holder();
    const bool changed =
        part != part_ || verified != verified_ || holder != holder_ || candidates != candidates_;
    part_ = part;
    holder_ = holder;
    verified_ = verified;
    candidates_ = std::move(candidates);
    return changed;
}

std::vector<token_donors::candidate> share_group::find_candidates() const {
    std::vector<token_donors::candidate> found;
    const auto& record = ledger_.record();
    const auto& targets = ledger_.targets();
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, targets.size()));
    const auto add = [&](const vm_id& vm, double fraction) {
        const auto entry = context_.live.find(vm);
        if (vm != context_.self && entry != context_.live.end() &&
            entry->second.state == vm_state::live) {
            found.push_back({vm, fraction, preference_of(entry->second.place, context_.place)});
        }
    };
    for (const auto& holder : record.holders) {
        add(holder.vm, static_cast<double>(holder.part) / whole_share);
    }
    for (const auto& vm : targets) {
        if (record.find(vm) == nullptr) {
            add(vm, equal);
        }
    }
    return found;
}

/// Selects some VMs of each failure domain, up to the highest number of holders.
std::vector<vm_id> share_group::select_holders() const {
    std::vector<const vm_entry*> live;
    live.reserve(context_.live.size());
    for (const auto& [vm, entry] : context_.live) {
        live.push_back(&entry);
    }
    return share_holders(id_, live, context_.limits.holders_per_domain,
                         context_.limits.max_holders);
}

} // namespace jackdawvane
