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
inline constexpr std::size_t domain_count = 3; ///< The last one is a region of its own.

/// @brief Time range in which a fault lasts; empty when both are equal.
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
    bool uneven{true};                   ///< Half of an organisation's callers use one VM.
    period store_outage;                 ///< No store call succeeds.
    period domain_cut;                   ///< The last failure domain reaches nobody else.
    std::chrono::seconds replacement{0}; ///< A VM is killed and replaced this often; 0 for never.
    bool changes{true};                  ///< Callers move to other VMs, and bursts come.
    double overload{1};                  ///< Factor of the first organisation's rate.
    std::chrono::seconds length{120};
    std::chrono::seconds warm_up{15}; ///< Not measured: shares start empty.
};

/// @brief Request of a caller.
struct arrival {
    time_point at;
    std::size_t slot{0}; ///< Position in the fleet; a replaced VM keeps it.
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

/// @brief Arrivals in order of time: Poisson at 80% of each rate, and bursts at single VMs.
[[nodiscard]] std::vector<arrival> make_arrivals(const scenario& chosen, std::uint64_t seed);

} // namespace jackdawvane::limits
