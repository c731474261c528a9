#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <cstdint>
#include <string>
#include <tuple>

#include "programs/jackdawvane-limits/mechanism.hpp"

namespace jackdawvane::limits {

/// @brief Results of one mechanism in one run of a scenario.
struct measurement {
    std::string scenario;
    std::string mechanism;
    std::uint64_t seed{0};
    std::uint64_t offered{0};    ///< Requests after the warm-up.
    std::uint64_t wrongful{0};   ///< Refused although the reference admits them; see `run_study`.
    double wrongful_percent{0};  ///< In percent of the requests that the reference admits.
    double overshoot{0};         ///< Largest number of tokens admitted beyond rate and burst.
    double worst_served{0};      ///< Lowest admitted / admitted by the reference per organisation.
    double overloaded_served{0}; ///< The same ratio of the overloaded organisation; 0 without one.
    double waited_percent{0};    ///< Requests that were not decided on arrival, in percent.
    double store_calls_per_second{0};
    double messages_per_second{0}; ///< Per VM.
    double bytes_per_second{0};    ///< Sent per VM.

    static constexpr auto fields() {
        using self = measurement;
        return std::tuple{field("scenario", &self::scenario),
                          field("mechanism", &self::mechanism),
                          field("seed", &self::seed),
                          field("offered", &self::offered),
                          field("wrongful", &self::wrongful),
                          field("wrongful_percent", &self::wrongful_percent),
                          field("overshoot", &self::overshoot),
                          field("worst_served", &self::worst_served),
                          field("overloaded_served", &self::overloaded_served),
                          field("waited_percent", &self::waited_percent),
                          field("store_calls_per_second", &self::store_calls_per_second),
                          field("messages_per_second", &self::messages_per_second),
                          field("bytes_per_second", &self::bytes_per_second)};
    }
};

/// @brief Runs @a subject under the load and the faults of @a chosen.
///
/// The reference is one global token bucket per organisation that starts full and receives the same
/// arrivals. Refusals of an overloaded organisation do not count as wrongful, because the mechanism
/// and the reference may admit equally many but different requests.
[[nodiscard]] measurement run_study(const scenario& chosen, const mechanism_entry& subject,
                                    std::uint64_t seed);

} // namespace jackdawvane::limits
