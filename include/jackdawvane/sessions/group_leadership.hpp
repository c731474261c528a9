#pragma once

#include "jackdawvane/sessions/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jackdawvane {

/// @brief Durations for the proof that a primary has not been replaced.
struct leadership_settings {
    /// A status of a replica that is not held for a newer term proves that the primary is not
    /// replaced within this time after the request. The failover coordinator waits that long.
    duration proof_validity{std::chrono::milliseconds{800}};
    /// Log positions of the primary are kept this long; longer than any usual staleness bound.
    duration sample_retention{std::chrono::seconds{4}};
    /// A replica that is not held this long after a hold shows that the promotion was abandoned;
    /// Replicas that are all not held this long after a hold show that the promotion was abandoned;
    /// they stay held during a promotion. One of them alone may have been left out of the hold.
    duration promotion_abandoned_after{std::chrono::seconds{1}};
    /// Minimum interval between two kept log positions.
    duration min_sample_interval{std::chrono::milliseconds{40}};
};

/// A server that was not listed in a read of the registry within this time is no sufficient proof
/// alone. The failover coordinator waits as long for a replica that has left the registry. Greater
/// than the age of a list in operation, which is up to 1.9 s: two intervals of 0.9 s and delays.
inline constexpr duration listing_validity{std::chrono::milliseconds{2500}};

/// A replica that has registered or refused a connection proves nothing alone for this time. Longer
/// than the coordinator lease of 4 s: a coordinator has read a list that names the replica, and has
/// tried to reach it, or has lost its lease.
inline constexpr duration joining_time{std::chrono::seconds{5}};

/// @brief Whether the registry listed a server within `listing_validity` before a request to it.
enum class listing { current, old };

/// @brief A status that proves that a primary has not been replaced.
struct primary_proof {
    backend_server_id primary;
    jackdawvane::term term;
    backend_server_id replica; ///< Server whose status is the proof.
    jackdawvane::term replica_term;
    jackdawvane::term replica_held_term;
    time_point requested_at{};
};

/// @brief Evidence that has confirmed a primary.
enum class proof_kind {
    none,
    one_replica,        ///< One replica that answers and is not held.
    all_asked,          ///< Replicas that answer, and all other servers were asked as recently.
    no_other_registered ///< The registry lists no other server of the group.
};

/// @brief Name of @a kind in logs and metrics.
[[nodiscard]] const char* to_string(proof_kind kind) noexcept;

/// @brief What this VM can prove about the primary of one group.
///
/// All times are those of this VM's clock from before the request was sent, so evidence is never
/// treated as newer than it is. Before a promotion takes effect, every registered replica is held
/// for the new term. A replica that the hold may have missed is no sufficient proof alone: one that
/// the registry no longer lists, and one that has registered or has refused a connection, perhaps
/// because it was restarting, since all others were last asked.
class group_leadership {
  public:
    explicit group_leadership(leadership_settings settings = {}) : settings_{settings} {}

    /// @brief Sets the registered backend servers of the group.
    void set_members(std::set<backend_server_id> members);

    /// @brief Applies a status of @a server for which the request was sent at @a requested_at.
    void on_status(time_point now, time_point requested_at, const backend_server_id& server,
                   const server_status& status, listing listed = listing::current);
    /// @brief Drops the evidence of @a server that was requested after @a since: the answers may
    /// belong to earlier requests. Every other server must be asked again for a proof.
    void withdraw(const backend_server_id& server, time_point since);
    /// @brief Records that @a server refused a connection attempt that began at @a requested_at.
    void on_refused(time_point requested_at, const backend_server_id& server);
    /// @brief Applies the log position from an answer to a statement sent at @a requested_at.
    void on_position(time_point requested_at, const backend_server_id& server,
                     const log_point& position);
    /// @brief Records that all replicas have been held for a term after @a closed since @a since or
    /// earlier.
    void on_hold(time_point since, term closed);

    /// @brief The last known primary, whether or not it may be used now.
    [[nodiscard]] const std::optional<backend_server_id>& primary() const noexcept {
        return primary_;
    }
    [[nodiscard]] jackdawvane::term term() const noexcept { return term_; }
    /// @brief Highest term that any backend server of the group knows or is held for.
    [[nodiscard]] jackdawvane::term highest_term() const noexcept { return highest_; }

    /// @brief Whether no newer primary can have acknowledged a commit before @a now.
    [[nodiscard]] bool confirmed(time_point now) const noexcept;
    /// @brief Time at which the current proof was requested.
    [[nodiscard]] time_point confirmed_at() const noexcept { return confirmed_at_; }
    /// @brief Evidence that has set `confirmed_at`.
    [[nodiscard]] proof_kind confirmed_by() const noexcept { return confirmed_by_; }
    /// @brief Send time of the latest request that the primary has answered.
    [[nodiscard]] time_point primary_answered_at() const noexcept { return primary_answered_at_; }

    /// @brief Log position that includes every commit acknowledged before @a when.
    /// @return nothing when no such position is known
    [[nodiscard]] std::optional<log_point> point_covering(time_point when) const noexcept;
    /// @brief Newest known log position of the primary.
    [[nodiscard]] std::optional<log_point> newest_point() const noexcept;

    /// @brief Newest log position that @a server is known to have received.
    [[nodiscard]] std::optional<log_point> received(const backend_server_id& server) const;

    /// @brief The last status of a replica that proved a primary.
    [[nodiscard]] const std::optional<primary_proof>& proof() const noexcept { return proof_; }

    /// @brief Whether the last known primary has reported that it is now a replica.
    [[nodiscard]] bool stepped_down() const noexcept { return stepped_down_; }

    /// @brief Whether the status of one replica is sufficient proof; otherwise all are needed.
    [[nodiscard]] bool one_suffices() const noexcept { return one_suffices_; }

    /// @brief Whether a promotion has ended the current term.
    [[nodiscard]] bool closed() const noexcept;

  private:
    struct evidence {
        time_point requested_at{};
        bool supports_primary{false}; ///< Answered, knows no newer term and is not held for one.
        bool held{false};
        listing listed{listing::current};
    };
    struct sample {
        time_point requested_at;
        log_point point;
    };

    void start_term(time_point now, jackdawvane::term newer, const backend_server_id& primary);
    void update_proof();
    void confirm(proof_kind kind, time_point requested_at);
    void add_sample(time_point requested_at, const log_point& position);

    leadership_settings settings_;
    std::set<backend_server_id> members_;
    std::optional<backend_server_id> primary_;
    jackdawvane::term term_;
    jackdawvane::term highest_;
    std::map<backend_server_id, evidence> evidence_;
    /// Servers that have registered or refused a connection lately, with the time of the first
    /// status request that they answered as replica since; `max()` when there is none.
    std::map<backend_server_id, time_point> joining_;
    bool one_suffices_{false};
    bool all_needed_{false}; ///< Evidence was withdrawn; the next proof takes all servers.
    time_point confirmed_at_{time_point::min()};
    proof_kind confirmed_by_{proof_kind::none};
    std::optional<primary_proof> proof_;
    time_point usable_from_{};
    time_point primary_answered_at_{time_point::min()};
    time_point closed_since_{time_point::max()};
    jackdawvane::term closed_term_; ///< A hold has ended this term and all lower ones.
    bool stepped_down_{false};
    std::deque<sample> samples_;
    std::map<backend_server_id, log_point> received_;
};

} // namespace jackdawvane
