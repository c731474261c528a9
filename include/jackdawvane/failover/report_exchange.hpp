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
    /// Least time between two reports to another region; bounds the use of the billed link.
    duration other_region{std::chrono::milliseconds{50}};
};

/// @brief Sends the reports of one backend server to the owners of the others, and dates theirs.
///
/// Each report hands back the sending time of the receiver's last report. The receiver thus
/// knows on its own clock when the report was sent at the earliest, however long it travelled.
class report_exchange {
  public:
    report_exchange(group_id group, backend_server_id own, location self,
                    report_intervals intervals);

    /// @brief Sets the owners of the group's other backend servers.
    void configure(const std::map<backend_server_id, vm_entry>& owners);

    /// @brief Takes in the exchange fields of a report.
    /// @return time before the status in it was asked; nothing when that cannot be proved
    std::optional<time_point> receive(time_point now, const group_report& report);

    /// @brief A writer of this VM waits for @a position; the other owners are told.
    void want(log_position position);
    /// @brief Term, role or reachability changed; the other owners are told at once.
    void announce();
    /// @brief The term changed; positions that were wanted in the last one are forgotten.
    void forget_wanted();
    /// @brief This VM was paused; times from before are not handed back.
    void forget_echoes();

    /// @brief Sends the reports that are due.
    /// @param measured when the present status of the own backend server was asked
    void send_due(time_point now, const group_view& view, time_point measured, actions& out);
    [[nodiscard]] time_point next_deadline(const group_view& view) const;

  private:
    struct link {
        vm_entry owner;
        bool urgent{true};
        std::optional<time_point> sent;
        log_position sent_position;
        log_position sent_wanted;
        duration echo{0};
        time_point echo_arrived;
    };

    [[nodiscard]] bool is_pressing(const link& to, log_position own_position) const;
    [[nodiscard]] time_point due(const link& to, log_position own_position) const;
    [[nodiscard]] log_position own_position(const group_view& view) const;
    [[nodiscard]] group_report report_for(const backend_server_id& receiver, const link& to,
                                          time_point now, const group_view& view,
                                          time_point measured) const;

    group_id group_;
    backend_server_id own_;
    location self_;
    report_intervals intervals_;
    std::map<backend_server_id, link> links_;
    log_position wanted_here_;
    log_position wanted_elsewhere_;
};

} // namespace jackdawvane
