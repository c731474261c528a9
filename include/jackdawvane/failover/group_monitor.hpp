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
    duration status_wait{std::chrono::milliseconds{250}};     ///< Length of a long poll.
    duration answer_limit{std::chrono::milliseconds{150}};    ///< For an answer or a probe.
    duration region_allowance{std::chrono::milliseconds{10}}; ///< Connect and ask in the region.
    duration far_allowance{std::chrono::milliseconds{50}};    ///< The same in another region.
    duration primary_silence{std::chrono::milliseconds{600}}; ///< Without a report about it.
    duration rank_delay{std::chrono::milliseconds{200}};      ///< Head start of the next rank.
    duration follow_interval{std::chrono::milliseconds{300}}; ///< Between `follow` requests.
    duration reconnect{std::chrono::milliseconds{250}};       ///< Between connection attempts.
    duration backoff_min{std::chrono::milliseconds{100}};     ///< After a lost promotion.
    duration backoff_max{std::chrono::milliseconds{400}};
    report_intervals reports;
    promotion_limits promotion;
};

/// @brief Which backend server a monitor watches, and from where.
struct monitored_backend {
    vm_id self;
    location place; ///< Of this VM.
    group_id group;
    backend_server_id backend;
};

/// @brief Watches one backend server at its owner VM and takes part in the group's failover.
///
/// Keeps a status long poll, exchanges reports with the owners of the group's other backend
/// servers, has the backend server follow the highest term, and runs a promotion when the primary
/// is lost or leaves. A silent connection is no proof; a probe on a new connection decides.
class group_monitor {
  public:
    group_monitor(monitored_backend watched, group_monitor_settings settings, random_engine& random,
                  node_ids ids);

    /// @brief Sets the backend servers of the group and the VMs that own them, this one included.
    void configure(const group_row& group, const std::map<backend_server_id, vm_entry>& owners);
    /// @brief Starts to watch. Requires a configuration that lists the backend server.
    void start(time_point now, actions& out);
    /// @brief Closes all connections and stops.
    void stop(actions& out);

    /// @brief Event on a connection.
    /// @return whether the connection belongs to this monitor
    bool on_connected(time_point now, connection_id connection, actions& out);
    bool on_disconnected(time_point now, connection_id connection, const std::string& reason,
                         actions& out);
    bool on_answer(time_point now, connection_id connection, const backend_answer& answer,
                   actions& out);

    /// @brief A report of another backend server of the group arrived.
    void on_report(time_point now, const group_report& report, actions& out);
    /// @brief An answer on another connection to the own backend server carried @a status.
    /// @param asked when the request was sent
    void on_status(time_point now, const backend_status& status, time_point asked, actions& out);
    /// @brief A writer waits until a majority has @a position.
    void want_position(time_point now, log_position position, actions& out);
    /// @brief A request to the own backend server got no answer; probes it.
    void suspect(time_point now, actions& out);
    /// @brief This VM was paused; forgets all confirmations and gives the others a new period.
    void paused(time_point now, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    [[nodiscard]] const group_view& view() const noexcept { return view_; }
    [[nodiscard]] const monitored_backend& watched() const noexcept { return watched_; }
    /// @brief Whether the own backend server answers.
    [[nodiscard]] bool reachable() const { return view_.reachable(watched_.backend); }

  private:
    /// Reason to replace the primary, and when this VM's turn comes.
    struct election {
        time_point due{no_deadline};
        bool probe{false}; ///< The primary is of another owner and is asked before.
        const char* reason{""};
    };

    void react(time_point now, actions& out);
    void review_poll(time_point now, actions& out);
    void review_probe(time_point now, actions& out);
    void review_follow(time_point now, actions& out);
    void review_primary_probe(time_point now, actions& out);
    void review_promotion(time_point now);
    void poll_again(time_point now, actions& out);
    void start_probe(time_point now, actions& out);
    void start_follow(time_point now, actions& out);
    void start_election(time_point now, actions& out);
    void start_promotion(time_point now, const std::string& reason, actions& out);
    void take_status(time_point now, const backend_status& status, time_point asked);
    void take_unreachable(time_point now, const std::string& reason, actions& out);
    void note_view_changes(time_point now, actions& out);
    void note_term(time_point now, actions& out);

    [[nodiscard]] time_point follow_due() const;
    [[nodiscard]] bool is_behind_quietly() const;
    [[nodiscard]] election next_election() const;
    [[nodiscard]] election lost_primary_election() const;
    [[nodiscard]] bool handover_possible() const;
    [[nodiscard]] duration rank_wait() const;
    [[nodiscard]] duration allowance(const backend_server_id& backend) const;
    [[nodiscard]] backend_call call_to(const backend_server_id& backend) const;
    [[nodiscard]] std::vector<promotion_member> promotion_members(bool with_leaving) const;
    [[nodiscard]] bool own_primary() const { return view_.primary() == watched_.backend; }

    monitored_backend watched_;
    group_monitor_settings settings_;
    random_engine& random_;
    node_ids ids_;
    group_row group_;
    group_view view_;
    report_exchange exchange_;
    bool running_{false};

    std::optional<backend_call> poll_;
    std::optional<backend_call> probe_;
    std::optional<backend_call> follow_;
    std::optional<backend_call> primary_probe_;
    std::optional<promotion> promotion_;

    time_point measured_;                       ///< When the present own status was asked.
    time_point probe_due_{no_deadline};         ///< Next attempt to reach the own backend server.
    time_point follow_after_;                   ///< No earlier `follow` request.
    log_position follow_position_;              ///< Own position at the last check.
    time_point progress_at_;                    ///< When that position last rose.
    time_point quiet_since_;                    ///< Silence counts from here at the earliest.
    term noted_term_;                           ///< Known term at the last check.
    time_point term_noted_at_;                  ///< When it was noted.
    term unled_term_;                           ///< Highest accepted term without a primary.
    std::optional<time_point> unled_since_;     ///< When that term was noted.
    std::optional<time_point> told_lost_since_; ///< Another owner reported the primary lost.
    std::optional<time_point> lost_primary_at_; ///< The own backend server failed as primary.
    time_point election_after_;                 ///< Back-off after a failed attempt.
    term last_proposed_;
};

} // namespace jackdawvane
