#pragma once

#include "jackdawvane/sessions/backend_directory.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jackdawvane {

/// @brief Timeouts of the evidence that a server no longer acts as primary.
struct earlier_primaries_settings {
    /// A server that is not registered for this long no longer counts as a possible primary. A
    /// shorter absence is no evidence: VMs with an old list may still reach the server.
    duration departure_timeout{std::chrono::seconds{15}};
};

/// @brief Evidence that servers of a group cannot act as primary of an earlier term.
///
/// A server is out of action when it has answered as replica and was not promoted since, when it
/// has refused a connection, or when it has not been registered for long.
class earlier_primaries {
  public:
    explicit earlier_primaries(earlier_primaries_settings settings = {}) : settings_{settings} {}

    /// @brief Records the servers that have left the registry.
    void on_directory(time_point now, const backend_directory& directory);
    /// @brief Records the role in which @a server has answered.
    void on_status(time_point now, const backend_server_id& server, const server_status& status);
    /// @brief Records that @a server refused a connection attempt that began at @a requested_at.
    void on_refused(time_point requested_at, const backend_server_id& server);
    /// @brief Records that a promotion of @a server is requested: earlier answers are no evidence.
    void on_promotion(const backend_server_id& server) { replica_at_.erase(server); }

    /// @brief Servers of @a group that have left the registry lately.
    [[nodiscard]] std::set<backend_server_id> departed(const group_id& group) const;
    /// @brief Time of the first read of the registry without @a server.
    [[nodiscard]] std::optional<time_point> departed_at(const backend_server_id& server) const;
    /// @brief Whether @a server has refused a connection and has not answered since.
    [[nodiscard]] bool refuses(const backend_server_id& server) const {
        return refused_at_.contains(server);
    }

    /// @brief Times from which evidence counts.
    struct evidence_start {
        time_point replica; ///< Answers as replica.
        time_point refused; ///< Refused connections.
    };
    /// @brief A server of @a group, other than @a primary and @a replica, that may still act as
    /// primary; nothing when there is none.
    [[nodiscard]] std::optional<backend_server_id> possible(time_point now, const group_id& group,
                                                            const backend_directory& directory,
                                                            const backend_server_id& primary,
                                                            const backend_server_id& replica,
                                                            const evidence_start& since) const;
    /// @brief Evidence about @a server for a log line.
    [[nodiscard]] std::string evidence_text(time_point now, const backend_server_id& server) const;

  private:
    struct departure {
        group_id group;
        time_point at;
    };
    [[nodiscard]] bool out_of_action(const backend_server_id& server,
                                     const evidence_start& since) const;

    earlier_primaries_settings settings_;
    std::uint64_t directory_version_{0};
    std::map<backend_server_id, group_id> registered_; ///< As of `directory_version_`.
    std::map<backend_server_id, departure> departed_;
    std::map<backend_server_id, time_point> replica_at_; ///< Last answer, if it was as replica.
    std::map<backend_server_id, time_point> refused_at_;
};

} // namespace jackdawvane
