#pragma once

#include "jackdawvane/backends/backend_call.hpp"
#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/failover/group_view.hpp"
#include "jackdawvane/failover/promotion.hpp"
#include "jackdawvane/failover/report_exchange.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <optional>
#include <string>

namespace jackdawvane {

/// @brief Times of a group monitor.
struct group_monitor_settings {
    duration status_wait{std::chrono::milliseconds{250}};           ///< Wait of a status long poll.
    duration answer_timeout{std::chrono::milliseconds{150}};        ///< For an answer or a probe.
    duration own_region_allowance{std::chrono::milliseconds{10}};   ///< Connect and round trip.
    duration other_region_allowance{std::chrono::milliseconds{50}}; ///< To another region.
    duration primary_timeout{std::chrono::milliseconds{600}};       ///< Time-out of its reports.
    duration rank_delay{std::chrono::milliseconds{200}};            ///< Election delay per rank.
    duration follow_interval{std::chrono::milliseconds{300}};       ///< Between `follow` requests.
    duration reconnect{std::chrono::milliseconds{250}};   ///< Between connection attempts.
    duration backoff_min{std::chrono::milliseconds{100}}; ///< After a failed promotion.
    duration backoff_max{std::chrono::milliseconds{400}};
    report_intervals reports;
    promotion_limits promotion;
};

/// @brief Which backend server a monitor watches, and from where.
struct monitored_backend {
    vm_id self;
    location place; ///< Location of this VM.
    group_id group;
    backend_server_id backend;
};

/// @brief Monitors one backend server on its owner VM and takes part in the group's failover.
///
/// Keeps a status long poll in flight, exchanges reports with the owners of the group's other
/// backend servers, makes the backend server follow the primary of the highest term, and runs a
/// promotion when the primary is lost or leaving. A silent connection does not prove that a backend
/// server is down; a probe on a new connection decides.
class group_monitor {
  public:
    group_monitor(monitored_backend watched, group_monitor_settings settings, random_engine& random,
                  node_id_sequences ids);

    /// @brief Sets the backend servers of the group and the VMs that own them, this one included.
    void configure(const group_row& group, const std::map<backend_server_id, vm_entry>& owners);
    /// @brief Starts monitoring. Requires a configuration that lists the backend server.
    void start(time_point now, actions& out);
    /// @brief Closes all connections and stops.
    void stop(actions& out);

    /// @brief Handles an event on a connection.
    /// @return whether the connection belongs to this monitor
    bool on_connected(time_point now, connection_id connection, actions& out);
    bool on_disconnected(time_point now, connection_id connection, const std::string& reason,
                         actions& out);
    bool on_answer(time_point now, connection_id connection, const backend_answer& answer,
                   actions& out);

    /// @brief Handles a report about another backend server of the group.
    void on_report(time_point now, const group_report& report, actions& out);
    /// @brief Applies @a status from an answer on another connection to the own backend server.
    /// @param requested_at when the request was sent
    void on_status(time_point now, const backend_status& status, time_point requested_at,
                   actions& out);
    /// @brief Registers a request that waits until a majority has @a position.
    void await_position(time_point now, log_position position, actions& out);
    /// @brief Probes the own backend server after a request to it got no answer.
    void suspect(time_point now, actions& out);
    /// @brief Handles a pause of this VM: discards all confirmations and restarts the silence
    /// time-outs of the other VMs.
    void paused(time_point now, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    [[nodiscard]] const group_view& view() const noexcept { return view_; }
    [[nodiscard]] const monitored_backend& watched() const noexcept { return watched_; }
    /// @brief Whether the own backend server answers.
    [[nodiscard]] bool reachable() const { return view_.reachable(watched_.backend); }

  private:
    /// Reason to replace the primary, and the earliest time at which this VM may do so.
    struct election {
        time_point due{no_deadline};
        bool probe{false}; ///< The primary has another owner and is probed first.
        const char* reason{""};
    };

    void advance(time_point now, actions& out);
    void handle_poll_result(time_point now, actions& out);
    void handle_probe_result(time_point now, actions& out);
    void handle_follow_result(time_point now, actions& out);
    void handle_primary_probe_result(time_point now, actions& out);
    void handle_promotion_result(time_point now);
    void send_poll(time_point now, actions& out);
    void start_probe(time_point now, actions& out);
    void start_follow(time_point now, actions& out);
    void start_election(time_point now, actions& out);
    void start_promotion(time_point now, const std::string& reason, actions& out);
    void apply_status(time_point now, const backend_status& status, time_point requested_at);
    void mark_unreachable(time_point now, const std::string& reason, actions& out);
    void track_view_changes(time_point now, actions& out);
    void on_new_primary(time_point now, actions& out);

    [[nodiscard]] time_point follow_due() const;
    [[nodiscard]] bool is_behind_primary() const;
    [[nodiscard]] election next_election() const;
    [[nodiscard]] election lost_primary_election() const;
    [[nodiscard]] bool handover_possible() const;
    [[nodiscard]] duration election_delay() const;
    [[nodiscard]] duration network_allowance(const backend_server_id& backend) const;
    [[nodiscard]] backend_call call_to(const backend_server_id& backend) const;
    [[nodiscard]] std::vector<promotion_server> promotion_servers(bool with_leaving) const;
    [[nodiscard]] bool own_primary() const { return view_.primary() == watched_.backend; }

    monitored_backend watched_;
    group_monitor_settings settings_;
    random_engine& random_;
    node_id_sequences ids_;
    group_row group_;
    group_view view_;
    report_exchange exchange_;
    bool running_{false};

    std::optional<backend_call> poll_;
    std::optional<backend_call> probe_;
    std::optional<backend_call> follow_;
    std::optional<backend_call> primary_probe_;
    std::optional<promotion> promotion_;

    time_point status_requested_at_;             ///< When the current own status was requested.
    time_point probe_due_{no_deadline};          ///< Next attempt to reach the own backend server.
    time_point next_follow_at_;                  ///< Earliest time of the next `follow` request.
    log_position last_own_position_;             ///< Own position at the last check.
    time_point last_progress_at_;                ///< When that position last rose.
    time_point silence_start_;                   ///< Earliest start of the silence time-outs.
    term tracked_term_;                          ///< Known term at the last check.
    time_point tracked_term_since_;              ///< When this VM learned of it.
    term leaderless_term_;                       ///< Highest accepted term without a primary.
    std::optional<time_point> leaderless_since_; ///< When this VM learned of that term.
    std::optional<time_point> reported_unreachable_since_; ///< When another owner reported it.
    std::optional<time_point> own_primary_lost_at_;        ///< When the own primary was lost.
    time_point next_election_at_;                          ///< End of the backoff after a failure.
    term last_proposed_;
};

} // namespace jackdawvane
