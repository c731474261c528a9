#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// @file
/// @brief Passive health checks of backend servers by the outcomes of statements.
///
/// Designed for servers whose status probe succeeds while statements fail: some of them, all of
/// them, in turns, or only those of callers in one zone. Each VM judges by its own statements.

namespace jackdawvane {

/// @brief Thresholds and pauses of `server_health`.
struct health_settings {
    /// Half-life of outcomes. A VM of a fleet of 78 sends a server less than one statement per
    /// second, so a shorter one would not see a server that fails 40% of them.
    duration half_life{std::chrono::seconds{10}};
    /// Three failures within 10 s exceed this after their decay; two never do.
    double min_failures{2.0};
    double failure_ratio{0.2};
    /// A server is ejected only if its failure ratio is this many times that of the others, so
    /// that statements which fail at every server eject none.
    double excess{2.0};
    duration first_pause{std::chrono::seconds{1}};
    duration longest_pause{std::chrono::seconds{30}};
    /// A probe without a result is repeated after this time.
    duration probe_timeout{std::chrono::seconds{2}};
    /// An ejection within this time of the last return continues to double the pause.
    duration flap_window{std::chrono::seconds{60}};
    /// Successes in a row after a return during which one failure ejects the server again.
    std::uint32_t probation{5};
};

/// @brief Which servers get no reads, and which one is due for a probe.
struct health_verdict {
    std::set<backend_server_id> ejected;
    std::optional<backend_server_id> probe;
};

/// @brief An ejection or a return of a server, for the log.
struct health_change {
    backend_server_id backend;
    bool ejected{false};
    double failures{0};  ///< After decay.
    double successes{0}; ///< After decay.
    duration pause{0};   ///< Until the next probe.
};

/// @brief Ejects servers that fail statements and returns them after a successful probe.
///
/// Refusals (busy, lagging and the like) are not outcomes. At most half of the servers passed to
/// `judge` are ejected, and never the last one.
class server_health {
  public:
    explicit server_health(health_settings settings = {}) : settings_{settings} {}

    /// @param sent when the statement was sent; a result of a statement sent before the probe does
    ///             not decide the probe
    void on_outcome(time_point now, time_point sent, const backend_server_id& backend, bool failed);
    /// @param servers of one group that may run the read
    [[nodiscard]] health_verdict judge(time_point now,
                                       const std::vector<backend_server_id>& servers);
    /// @brief Records that a read was sent to @a backend as a probe.
    void on_probe_sent(time_point now, const backend_server_id& backend);
    /// @brief Removes and returns the changes since the last call.
    [[nodiscard]] std::vector<health_change> take_changes();

  private:
    struct record {
        double failures{0};
        double successes{0};
        time_point updated{};
        bool ejected{false};
        duration pause{0};
        time_point probe_at{};
        std::optional<time_point> probe_sent;
        std::optional<time_point> returned;
        std::uint32_t probation{0}; ///< Successes that are still needed.
        bool failed_in_probation{false};
    };

    void decay(time_point now, record& server) const;
    void eject(time_point now, const backend_server_id& backend, record& server);
    void take_back(time_point now, const backend_server_id& backend, record& server);
    void on_ejected_outcome(time_point now, time_point sent, const backend_server_id& backend,
                            record& server, bool failed);
    [[nodiscard]] bool unhealthy(const backend_server_id& backend, const record& server,
                                 const std::vector<backend_server_id>& servers) const;
    [[nodiscard]] bool probe_due(time_point now, const record& server) const;
    void prune(time_point now);

    health_settings settings_;
    std::map<backend_server_id, record> records_;
    std::vector<health_change> changes_;
    time_point pruned_{};
};

} // namespace jackdawvane
