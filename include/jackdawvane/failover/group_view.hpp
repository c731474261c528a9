#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/peer.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Whether @a status is that of an acting primary.
///
/// A promoted primary writes an entry of its term immediately. After accepting a later term it is
/// no longer the primary, whatever role it reports.
[[nodiscard]] bool acts_as_primary(const backend_status& status) noexcept;

/// @brief State of one database group as known to one VM.
///
/// All times are on the clock of this VM. A status is dated to the time at which its query was
/// sent, or earlier, so that its age is never underestimated.
class group_view {
  public:
    /// Maximum age of a majority's statuses that confirm a term.
    static constexpr duration confirmation_limit = std::chrono::seconds{1};

    explicit group_view(group_id group);

    /// @brief Sets the backend servers of the group; discards the state of those not listed.
    void configure(const std::set<backend_server_id>& servers);

    /// @brief Applies a report.
    ///
    /// Reports that are older than the known status, such as late duplicates, do not change it. An
    /// unreachable backend server keeps its last status.
    /// @param as_of time before the status was requested; nothing when that cannot be proved
    /// @return whether term, role or reachability of the backend server changed
    bool observe(time_point now, const backend_report& report, std::optional<time_point> as_of);

    /// @brief Records that @a primary was promoted in the term @a elected; lower terms are ignored.
    /// @return whether the term was new
    bool learn_primary(term elected, const backend_server_id& primary);

    /// @brief Records that a backend server has accepted the term @a accepted.
    void learn_term(term accepted);

    /// @brief Starts measuring the replication lag for @a position, for which a writer waits.
    void await_position(time_point now, log_position position);

    /// @brief Discards all confirmations, because this VM was paused.
    void forget_confirmations();

    /// @brief Whether a majority reported the primary's term within the confirmation limit.
    [[nodiscard]] bool confirmed(time_point now) const;

    /// @brief Whether a majority has the entry at @a position of the term @a written.
    ///
    /// Age does not matter: a later primary needs a majority, which includes one of these
    /// backend servers, so the entry stays.
    [[nodiscard]] bool committed(term written, log_position position) const;

    /// @brief Upper bound of the age of the data of @a backend.
    ///
    /// Counted from the earlier of two times: the last at which its log provably held all entries
    /// of the primary, and the last at which a majority provably had no later primary.
    /// @return nothing when there is no proof
    [[nodiscard]] std::optional<duration> staleness(time_point now,
                                                    const backend_server_id& backend) const;

    /// @brief Estimate of the time that a majority needs to reach a position of the primary.
    [[nodiscard]] duration replication_lag(time_point now) const;

    [[nodiscard]] group_summary summary(time_point now) const;
    [[nodiscard]] const group_id& group() const noexcept { return group_; }
    /// @brief Highest term with a known primary; 0 while there is none.
    [[nodiscard]] term known_term() const noexcept { return known_term_; }
    /// @brief Primary of the known term; empty while there is none.
    [[nodiscard]] const backend_server_id& primary() const noexcept { return primary_; }
    /// @brief Highest term that any backend server is known to have accepted.
    [[nodiscard]] term highest_term() const noexcept { return highest_term_; }
    /// @brief Last status of @a backend, or null.
    [[nodiscard]] const backend_status* status(const backend_server_id& backend) const;
    /// @brief Whether the last report of @a backend said that it is reachable.
    [[nodiscard]] bool reachable(const backend_server_id& backend) const;
    /// @brief When the last report of @a backend arrived.
    [[nodiscard]] std::optional<time_point> last_report_at(const backend_server_id& backend) const;
    /// @brief Number of backend servers that make a majority.
    [[nodiscard]] std::size_t majority() const noexcept { return servers_.size() / 2 + 1; }

  private:
    struct server_state {
        bool reachable{false};
        std::optional<backend_status> status;
        std::optional<time_point> last_report_at;
        std::optional<time_point> as_of;
        std::optional<time_point> caught_up_at; ///< Last time that its log was complete.
    };
    /// Position that the primary had reached at a time.
    struct primary_position {
        time_point as_of;
        log_position position;
    };
    /// Position that a writer waits for.
    struct awaited_position {
        time_point since;
        log_position position;
    };

    void record_primary_position(time_point as_of, log_position position);
    void update_caught_up_times();
    void update_confirmation();
    void complete_awaited_positions(time_point now);
    [[nodiscard]] bool has_entry_of_known_term(const server_state& known) const;

    group_id group_;
    std::map<backend_server_id, server_state> servers_;
    term known_term_;
    backend_server_id primary_;
    term highest_term_;
    std::optional<time_point> confirmed_at_;
    std::deque<primary_position> primary_positions_; ///< Ascending in time and position.
    std::deque<awaited_position> awaited_positions_; ///< Ascending in time and position.
    duration last_lag_{0};
    time_point last_lag_at_;
};

} // namespace jackdawvane
