#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <set>
#include <string>

#include <xxhash.h>

namespace jackdawvane {

namespace {

bool is_eligible(const vm_entry& vm) noexcept {
    return vm.state == vm_state::live;
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
    std::vector<vm_entry> candidates;
    std::copy_if(live.begin(), live.end(), std::back_inserter(candidates),
                 [&](const vm_entry& vm) { return is_eligible(vm) && vm.place.domain == domain; });
    auto ranked = rank_vms(key, candidates);
    ranked.resize(std::min(ranked.size(), count));
    return ranked;
}

std::vector<vm_id> share_holders(const organisation_id& organisation,
                                 std::span<const vm_entry> live, std::size_t per_domain) {
    std::set<failure_domain_id> domains;
    for (const auto& vm : live) {
        domains.insert(vm.place.domain);
    }
    std::vector<vm_id> holders;
    for (const auto& domain : domains) {
        auto chosen = delegates(organisation.str(), domain, live, per_domain);
        holders.insert(holders.end(), chosen.begin(), chosen.end());
    }
    return holders;
}

} // namespace jackdawvane
