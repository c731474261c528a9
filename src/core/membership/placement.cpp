#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

#include <xxhash.h>

namespace jackdawvane {

namespace {

using weighted_vm = std::pair<std::uint64_t, const vm_entry*>;

bool is_eligible(const vm_entry& vm) noexcept {
    return vm.state == vm_state::live;
}

bool heavier(const weighted_vm& left, const weighted_vm& right) noexcept {
    return left.first != right.first ? left.first > right.first
                                     : left.second->vm > right.second->vm;
}

template <class Predicate>
std::vector<vm_id> first_ranked(std::string_view key, std::span<const vm_entry> live,
                                std::size_t count, Predicate accepts) {
    std::vector<weighted_vm> candidates;
    for (const auto& vm : live) {
        if (is_eligible(vm) && accepts(vm)) {
            candidates.emplace_back(rendezvous_weight(key, vm.vm.str()), &vm);
        }
    }
    count = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), heavier);
    std::vector<vm_id> ranked;
    for (std::size_t i = 0; i < count; ++i) {
        ranked.push_back(candidates[i].second->vm);
    }
    return ranked;
}

template <class Predicate>
std::optional<vm_id> heaviest(std::string_view key, std::span<const vm_entry> live,
                              Predicate accepts) {
    const vm_entry* best = nullptr;
    std::uint64_t best_weight{0};
    for (const auto& vm : live) {
        if (!is_eligible(vm) || !accepts(vm)) {
            continue;
        }
        const auto weight = rendezvous_weight(key, vm.vm.str());
        if (best == nullptr || weight > best_weight) {
            best = &vm;
            best_weight = weight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->vm};
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept {
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<vm_id> rank_vms(std::string_view key, std::span<const vm_entry> candidates) {
    std::vector<std::pair<std::uint64_t, vm_id>> weighted;
    weighted.reserve(candidates.size());
    for (const auto& vm : candidates) {
        weighted.emplace_back(rendezvous_weight(key, vm.vm.str()), vm.vm);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<vm_id> ranked;
    ranked.reserve(weighted.size());
    for (auto& [weight, vm] : weighted) {
        ranked.push_back(std::move(vm));
    }
    return ranked;
}

std::optional<vm_id> owner_of(const backend_server_id& backend, const location& place,
                              std::span<const vm_entry> live) {
    const auto in_domain = [&](const vm_entry& vm) { return vm.place == place; };
    const auto in_region = [&](const vm_entry& vm) { return vm.place.region == place.region; };
    const auto anywhere = [](const vm_entry& /*vm*/) { return true; };
    if (auto owner = heaviest(backend.str(), live, in_domain)) {
        return owner;
    }
    if (auto owner = heaviest(backend.str(), live, in_region)) {
        return owner;
    }
    return heaviest(backend.str(), live, anywhere);
}

std::vector<vm_id> delegates(std::string_view key, const failure_domain_id& domain,
                             std::span<const vm_entry> live, std::size_t count) {
    return first_ranked(key, live, count,
                        [&](const vm_entry& vm) { return vm.place.domain == domain; });
}

std::vector<vm_id> region_delegates(std::string_view key, const region_id& region,
                                    std::span<const vm_entry> live, std::size_t count) {
    return first_ranked(key, live, count,
                        [&](const vm_entry& vm) { return vm.place.region == region; });
}
std::vector<vm_id> share_holders(const share_group_id& group, std::span<const vm_entry* const> live,
                                 std::size_t per_domain, std::size_t max_holders) {
    std::vector<weighted_vm> ranked;
    ranked.reserve(live.size());
    for (const auto* vm : live) {
        if (is_eligible(*vm)) {
            ranked.emplace_back(rendezvous_weight(group.str(), vm->vm.str()), vm);
        }
    }
    std::sort(ranked.begin(), ranked.end(), heavier);
    std::map<failure_domain_id, std::size_t> chosen_in;
    std::vector<vm_id> holders;
    for (const auto& [weight, vm] : ranked) {
        if (holders.size() < max_holders && chosen_in[vm->place.domain] < per_domain) {
            ++chosen_in[vm->place.domain];
            holders.push_back(vm->vm);
        }
    }
    return holders;
}

} // namespace jackdawvane
