#include "jackdawvane/configuration/configuration_sources.hpp"

#include <algorithm>
#include <array>

namespace jackdawvane {

std::vector<vm_id> tree_children(std::span<const vm_id> ranked, const vm_id& self,
                                 std::size_t delegates, std::size_t fan_out) {
    const auto own = std::find(ranked.begin(), ranked.end(), self);
    if (own == ranked.end()) {
        return {};
    }
    const auto position = static_cast<std::size_t>(own - ranked.begin());
    const auto first = std::min(ranked.size(), delegates + position * fan_out);
    const auto last = std::min(ranked.size(), first + fan_out);
    return {ranked.begin() + static_cast<std::ptrdiff_t>(first),
            ranked.begin() + static_cast<std::ptrdiff_t>(last)};
}

void configuration_sources::set_live(std::span<const vm_entry> live) {
    std::set<vm_id> present;
    for (const auto& entry : live) {
        present.insert(entry.vm);
    }
    std::erase_if(heard_, [&](const auto& each) { return !present.contains(each.first); });
    std::erase_if(tried_, [&](const auto& each) { return !present.contains(each); });
}

void configuration_sources::note(const vm_id& vm, revision heard) {
    auto& known = heard_[vm];
    if (heard > known) {
        known = heard;
        tried_.erase(vm);
    }
}

std::optional<vm_id> configuration_sources::choose(const vm_id& self,
                                                   const failure_domain_id& domain,
                                                   std::span<const vm_entry> live, revision wanted,
                                                   random_engine& random) const {
    std::array<std::vector<vm_id>, 4> classes;
    for (const auto& entry : live) {
        if (entry.vm == self || tried_.contains(entry.vm)) {
            continue;
        }
        const auto known = heard_.find(entry.vm);
        const bool has = known != heard_.end() && known->second >= wanted;
        const bool near = entry.place.domain == domain;
        classes.at((has ? 0U : 2U) + (near ? 0U : 1U)).push_back(entry.vm);
    }
    for (const auto& candidates : classes) {
        if (!candidates.empty()) {
            std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
            return candidates[any(random)];
        }
    }
    return std::nullopt;
}

} // namespace jackdawvane
