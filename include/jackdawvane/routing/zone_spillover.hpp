#pragma once

#include "jackdawvane/foundation/time.hpp"

#include <optional>

/// @file
/// @brief Which share of a group's reads leaves the own failure domain and the own region.
///
/// Designed for demand that is unevenly distributed over the zones: the servers of a zone are too
/// few for its callers while others have room.

namespace jackdawvane {

/// @brief How far from this VM a read may run, in increasing order.
enum class read_reach { domain, region, remote };

/// @brief Name of @a reach in logs and metrics.
[[nodiscard]] const char* to_string(read_reach reach) noexcept;

/// @brief Least expected time until the answer, including distance, of the servers at one distance.
struct zone_cost {
    duration expected{0};
    duration evidence_age{0}; ///< Of the measurement behind `expected`.
};

/// @brief Costs by distance; absent where no server is fit to run the read.
///
/// A primary is fit in `own_region` but not in `own_domain`: a replica in another zone of the
/// region costs 1 ms more, while traffic between regions costs more than some reads at the primary.
struct spillover_input {
    std::optional<zone_cost> own_domain; ///< Replicas in the failure domain.
    std::optional<zone_cost> own_zones;  ///< Replicas in other domains of the region.
    std::optional<zone_cost> own_region; ///< All servers of the region.
    std::optional<zone_cost> remote;     ///< Servers of other regions.
};

/// @brief How fast and how far one share changes.
struct spillover_limit {
    duration margin{0}; ///< Gain by which the distant servers have to be faster.
    double rise{0};     ///< Of the share, per second.
    double fall{0};     ///< Of the share, per second.
};

/// @brief Margins and rates of change of `zone_spillover`.
struct spillover_settings {
    /// Three round trips between zones.
    spillover_limit domain{std::chrono::milliseconds{3}, 0.5, 0.25};
    /// More than one round trip between regions: waiting this long costs callers little against a
    /// latency objective of 500 ms, while all traffic between regions shares 60 Mbit/s.
    spillover_limit region{std::chrono::milliseconds{20}, 0.2, 0.1};
    /// The rest keeps measuring the near servers, so that the load can return.
    double max_share{0.9};
    /// A share grows on no older evidence than this, and falls without newer one.
    duration evidence_ttl{std::chrono::seconds{2}};
    /// Longest time between two updates that counts for growth.
    duration max_step{std::chrono::milliseconds{200}};
};

/// @brief Shares of the reads of one group at one VM.
class zone_spillover {
  public:
    explicit zone_spillover(spillover_settings settings = {}) : settings_{settings} {}

    /// @brief Adjusts the shares; their change is bounded by the time since the last update.
    void update(time_point now, const spillover_input& input);
    /// @brief Farthest distance at which the next read may run.
    /// @param draw evenly distributed in [0, 1)
    [[nodiscard]] read_reach reach(const spillover_input& input, double draw) const;
    /// @brief Share of the reads that may leave the failure domain.
    [[nodiscard]] double domain_share() const noexcept { return domain_share_; }
    /// @brief Share of the reads that may leave the region.
    [[nodiscard]] double region_share() const noexcept { return region_share_; }

  private:
    [[nodiscard]] double changed(double share, const spillover_limit& limit,
                                 const std::optional<zone_cost>& near,
                                 const std::optional<zone_cost>& far, duration elapsed) const;

    spillover_settings settings_;
    double domain_share_{0};
    double region_share_{0};
    std::optional<time_point> updated_;
};

} // namespace jackdawvane
