#include "jackdawvane/limits/share_record.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <algorithm>

namespace jackdawvane {

std::uint32_t share_record::unassigned() const noexcept {
    std::uint64_t assigned{0};
    for (const auto& holder : holders) {
        assigned += holder.part;
    }
    return assigned >= whole_share ? 0 : whole_share - static_cast<std::uint32_t>(assigned);
}

const share_holder* share_record::find(const vm_id& vm) const noexcept {
    const auto found = std::find_if(holders.begin(), holders.end(),
                                    [&](const share_holder& holder) { return holder.vm == vm; });
    return found == holders.end() ? nullptr : &*found;
}

share_holder* share_record::find(const vm_id& vm) noexcept {
    const auto found = std::find_if(holders.begin(), holders.end(),
                                    [&](const share_holder& holder) { return holder.vm == vm; });
    return found == holders.end() ? nullptr : &*found;
}

void share_record::remove(const vm_id& vm) {
    std::erase_if(holders, [&](const share_holder& holder) { return holder.vm == vm; });
}

void share_record::distribute() {
    if (holders.empty()) {
        return;
    }
    const auto each = unassigned() / static_cast<std::uint32_t>(holders.size());
    for (auto& holder : holders) {
        holder.part += each;
    }
    holders.front().part += unassigned();
}

share_group_id share_group_of(const organisation_id& organisation, std::uint32_t groups) {
    const auto index = rendezvous_weight("share-group", organisation.str()) % groups;
    return share_group_id{std::to_string(groups) + "-" + std::to_string(index)};
}

std::string share_key(const share_group_id& group) {
    return "shares/" + group.str();
}

std::string lease_key(const vm_id& vm) {
    return "vms/" + vm.str();
}

} // namespace jackdawvane
