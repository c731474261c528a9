#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <cstdint>
#include <string>
#include <tuple>

#include "programs/jackdawvane-limits/mechanism.hpp"

namespace jackdawvane::limits {

/// @brief What one mechanism did under one load.
struct measurement {
    std::string scenario;
    std::string mechanism;
    std::uint64_t seed{0};
    std::uint64_t offered{0};    ///< Requests after the warm-up.
    std::uint64_t wrongful{0};   ///< Refused although one global bucket admits them; see below.
    double wrongful_percent{0};  ///< Of the requests that the global bucket admits.
    double overshoot{0};         ///< Most tokens admitted beyond rate and burst.
    double worst_served{0};      ///< Lowest admitted part of what the global bucket admits.
    double overloaded_served{0}; ///< The same for the organisation above its rate; else 0.
    double waited_percent{0};    ///< Decided later than on arrival.
    double store_calls_per_second{0};
    double messages_per_second{0}; ///< Per VM.
    double bytes_per_second{0};    ///< Per VM, sent.

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

/// @brief Runs @a subject under the load of @a chosen.
///
/// The reference is one global bucket per organisation that starts full and sees the same
/// arrivals. Requests of an organisation above its rate do not count as wrongfully refused,
/// because the two admit different ones of the same number.
[[nodiscard]] measurement run_study(const scenario& chosen, const mechanism_entry& subject,
                                    std::uint64_t seed);

} // namespace jackdawvane::limits
