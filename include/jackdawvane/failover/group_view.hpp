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
/// A promoted primary writes an entry of its term at once. One that has accepted a later term
/// since is not the primary any more, whatever role it reports.
[[nodiscard]] bool acts_as_primary(const backend_status& status) noexcept;

/// @brief What one VM knows about one database group.
///
/// All times are on the clock of this VM. The time of a status is when its query was sent, or
/// an earlier one, so that no age is ever taken too low.
class group_view {
  public:
    /// A majority that was heard longer ago confirms nothing.
    static constexpr duration confirmation_limit = std::chrono::seconds{1};

    explicit group_view(group_id group);

    /// @brief Sets the backend servers of the group; forgets those that are not listed.
    void configure(const std::set<backend_server_id>& members);

    /// @brief Takes in a report.
    ///
    /// Reports that are older than what is known, such as repeated ones, do not change the
    /// status. An unreachable backend server keeps its last status.
    /// @param measured time before the status was asked; nothing when that cannot be proved
    /// @return whether term, role or reachability of the backend server changed
    bool observe(time_point now, const backend_report& report, std::optional<time_point> measured);

    /// @brief Takes in that @a primary was promoted in @a elected. Lower terms change nothing.
    /// @return whether it was news
    bool learn_primary(term elected, const backend_server_id& primary);

    /// @brief Takes in that a backend server has accepted the term @a accepted.
    void learn_term(term accepted);

    /// @brief A writer waits until a majority has @a position; starts measuring the lag.
    void expect(time_point now, log_position position);

    /// @brief This VM was paused; confirmations from before do not count any more.
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
    /// Runs from the last time at which its log is proved to have held all that the primary had,
    /// and at which a majority is proved to have had no later primary.
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
    [[nodiscard]] std::optional<time_point> heard(const backend_server_id& backend) const;
    /// @brief Number of backend servers that make a majority.
    [[nodiscard]] std::size_t majority() const noexcept { return members_.size() / 2 + 1; }

  private:
    struct member {
        bool reachable{false};
        std::optional<backend_status> status;
        std::optional<time_point> heard;
        std::optional<time_point> measured;
        std::optional<time_point> complete; ///< Its log held all that the primary had then.
    };
    /// Position that the primary had reached at a time.
    struct mark {
        time_point measured;
        log_position position;
    };
    /// Position that a writer waits for.
    struct expectation {
        time_point since;
        log_position position;
    };

    void mark_primary(time_point measured, log_position position);
    void mark_complete();
    void confirm();
    void meet_expectations(time_point now);
    [[nodiscard]] bool on_branch(const member& known) const;

    group_id group_;
    std::map<backend_server_id, member> members_;
    term known_term_;
    backend_server_id primary_;
    term highest_term_;
    std::optional<time_point> confirmed_at_;
    std::deque<mark> marks_;               ///< Rising in time and position.
    std::deque<expectation> expectations_; ///< Rising in time and position.
    duration last_lag_{0};
    time_point last_lag_at_;
};

} // namespace jackdawvane
