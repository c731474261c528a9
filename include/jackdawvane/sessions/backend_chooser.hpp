#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Decides which backend server runs a read.
///
/// Designed for callers in three regions and replicas that may be slow, distant or lagging. The
/// expected time until the answer decides: an idle server farther away is preferred to a near one
/// that is overloaded. The owner of a server's connections reports the load of all VMs.

namespace jackdawvane {

/// @brief Last load that the owner of a server's connections has reported.
struct load_report {
    server_load load;
    duration age{0};             ///< Since its arrival.
    std::uint32_t sent_since{0}; ///< Statements of this VM sent since then that are unanswered.
};

/// @brief Properties of a backend server that may run a read.
struct read_candidate {
    backend_server_id backend;
    duration distance{0};         ///< Round trip.
    duration mean_answer_time{0}; ///< Of recent answers, including the round trip; 0 if none.
    std::uint32_t running{0};     ///< Statements of this VM.
    std::uint32_t slots{1};
    std::optional<load_report> report;
    bool primary{false};
    bool last_used{false};  ///< Ran the session's last read, so it has reached that log point.
    bool lagging{false};    ///< Its last known position is before the required one.
    bool warming_up{false}; ///< Started recently and still slow.
    bool leaving{false};
    bool refusing{false}; ///< Refused a statement moments ago; not to be chosen.
};

/// @brief Default answer time, penalties and bonus used by `read_cost`.
struct chooser_settings {
    duration default_answer_time{std::chrono::milliseconds{20}}; ///< Without recent answers.
    /// Keeps capacity of the primary free for writes while a replica is about as fast for reads.
    /// Applies to an idle primary and doubles with each statement per slot that is ahead.
    duration primary_penalty{std::chrono::milliseconds{25}};
    /// About the round trip that is lost when a replica refuses a read because it lags, plus the
    /// time that it needs to catch up.
    duration lag_penalty{std::chrono::milliseconds{60}};
    duration warm_up_penalty{std::chrono::milliseconds{60}};
    duration leaving_penalty{std::chrono::milliseconds{400}};
    duration last_used_bonus{std::chrono::milliseconds{4}};
    /// Age at which a report of the queue has half of its weight: the queue of 4 slots changes
    /// completely within some service times of 5 to 20 ms, but is reported every 100 ms.
    duration queue_half_life{std::chrono::milliseconds{250}};
    /// As `queue_half_life`, for the service time. Longer, so that the VMs of a large fleet do not
    /// all try a slow server again within a second.
    duration service_half_life{std::chrono::seconds{5}};
    /// Servers of a cost up to the least one plus this and plus its half are nearly equal.
    duration near_margin{std::chrono::milliseconds{2}};
};

/// @brief What is ahead of a new statement at a server.
struct load_estimate {
    duration service_time{0};
    double ahead{0}; ///< Statements ahead of it, for each slot.
};

/// @brief Combines the report, by its age, with what this VM measured itself.
[[nodiscard]] load_estimate estimate_load(const read_candidate& candidate,
                                          const chooser_settings& settings);

/// @brief Expected time until @a candidate answers, plus the penalties that apply.
[[nodiscard]] duration read_cost(const read_candidate& candidate, const chooser_settings& settings);

/// @brief The candidate with the least cost; nothing when there is none.
[[nodiscard]] std::optional<backend_server_id>
choose_backend(const std::vector<read_candidate>& candidates, const chooser_settings& settings);

/// @brief As above, but draws among nearly equal servers while the fleet loads the best one.
///
/// Many VMs see the same report; if all took the best server, the next report would show it
/// overloaded. The less a server costs, the more often it is drawn.
/// @param draw evenly distributed over all values
[[nodiscard]] std::optional<backend_server_id>
choose_backend(const std::vector<read_candidate>& candidates, const chooser_settings& settings,
               std::uint64_t draw);

} // namespace jackdawvane
