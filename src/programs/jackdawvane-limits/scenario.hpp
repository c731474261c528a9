#pragma once

#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/share_record.hpp"

#include <utility>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jackdawvane::limits {

inline constexpr std::size_t vm_count = 9;
inline constexpr std::size_t domain_count = 3; ///< The last one is in a region of its own.

/// @brief Half-open time range of a fault; empty when both ends are equal.
struct period {
    std::chrono::seconds from{0};
    std::chrono::seconds to{0};

    [[nodiscard]] bool covers(time_point now) const noexcept {
        return now >= time_point{from} && now < time_point{to};
    }
};

/// @brief Load and faults of one run.
struct scenario {
    explicit scenario(std::string chosen) : name{std::move(chosen)} {}

    std::string name;
    bool uneven{true};       ///< One VM gets half of an organisation's callers.
    period store_outage;     ///< No store call succeeds.
    period domain_partition; ///< The last failure domain is partitioned from the others.
    std::chrono::seconds replacement_interval{0}; ///< Between VM replacements; 0 for none.
    bool load_changes{true};                      ///< Callers move between VMs, and bursts occur.
    double overload_factor{1}; ///< Above 1: load of the first organisation / its rate.
    std::chrono::seconds length{120};
    std::chrono::seconds warm_up{15}; ///< Excluded from the results: shares start empty.
};

/// @brief Request of a caller.
struct arrival {
    time_point at;
    std::size_t slot{0}; ///< Position in the fleet; a new VM takes over that of the VM it replaces.
    std::size_t organisation{0};
};

/// @brief Scenarios that the study runs.
[[nodiscard]] std::vector<scenario> all_scenarios();

/// @brief Rate and burst per organisation.
[[nodiscard]] const std::vector<share_limits>& organisation_limits();

/// @brief Name of the organisation at @a index.
[[nodiscard]] organisation_id organisation_name(std::size_t index);

/// @brief Failure domain of the slot.
[[nodiscard]] constexpr std::size_t domain_of(std::size_t slot) noexcept {
    return slot % domain_count;
}

/// @brief Generates the arrivals in time order: Poisson arrivals at 80% of each rate, and bursts at
/// single VMs.
[[nodiscard]] std::vector<arrival> make_arrivals(const scenario& chosen, std::uint64_t seed);

} // namespace jackdawvane::limits
