#pragma once

#include "jackdawvane/failover/group_view.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <optional>

namespace jackdawvane {

/// @brief Intervals of the reports between the owners of a group.
struct report_intervals {
    duration regular{std::chrono::milliseconds{500}};
    /// Minimum time between two reports to another region; limits the traffic on the billed link.
    duration other_region{std::chrono::milliseconds{50}};
};

/// @brief Sends one backend server's reports to the owners of the others and dates received
/// reports.
///
/// Each report echoes the sending time of the receiver's last report. This gives the receiver, on
/// its own clock, a lower bound of the time at which the report was sent, whatever the network
/// delay.
class report_exchange {
  public:
    report_exchange(group_id group, backend_server_id own, location self,
                    report_intervals intervals);

    /// @brief Sets the owners of the group's other backend servers.
    void configure(const std::map<backend_server_id, vm_entry>& owners);

    /// @brief Processes the echo and the awaited position of a report.
    /// @return time before its status was requested; nothing when that cannot be proved
    std::optional<time_point> receive(time_point now, const group_report& report);

    /// @brief Records that a writer on this VM waits for @a position; the other owners are
    /// notified.
    void await_position(log_position position);
    /// @brief Makes all reports due as soon as their intervals allow, after a change of term, role
    /// or reachability.
    void mark_urgent();
    /// @brief Discards the positions awaited in the previous term.
    void reset_awaited_positions();
    /// @brief Stops echoing sending times from before a pause of this VM.
    void forget_echoes();

    /// @brief Sends the reports that are due.
    /// @param status_requested_at when the current status of the own backend server was requested
    void send_due(time_point now, const group_view& view, time_point status_requested_at,
                  actions& out);
    [[nodiscard]] time_point next_deadline(const group_view& view) const;

  private:
    struct link {
        vm_entry owner;
        bool urgent{true};
        std::optional<time_point> sent;
        log_position sent_position;
        log_position sent_awaited_position;
        duration echo{0};
        time_point echo_arrived;
    };

    [[nodiscard]] bool needs_early_report(const link& to, log_position own_position) const;
    [[nodiscard]] time_point due(const link& to, log_position own_position) const;
    [[nodiscard]] log_position own_position(const group_view& view) const;
    [[nodiscard]] group_report report_for(const backend_server_id& receiver, const link& to,
                                          time_point now, const group_view& view,
                                          time_point status_requested_at) const;

    group_id group_;
    backend_server_id own_;
    location self_;
    report_intervals intervals_;
    std::map<backend_server_id, link> links_;
    log_position awaited_here_;
    log_position awaited_by_others_;
};

} // namespace jackdawvane
