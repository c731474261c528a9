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
/// A server is out of action when it has answered as replica and was not promoted since, or when it
/// has not been registered for long. A refused connection is no evidence: the path may have refused
/// it, and open connections to the server may go on.
class earlier_primaries {
  public:
    explicit earlier_primaries(earlier_primaries_settings settings = {}) : settings_{settings} {}

    /// @brief Records the servers that have left the registry.
    void on_directory(time_point now, const backend_directory& directory);
    /// @brief Records the role in which @a server has answered.
    void on_status(time_point now, const backend_server_id& server, const server_status& status);
    /// @brief Records that a promotion of @a server is requested: earlier answers are no evidence.
    void on_promotion(const backend_server_id& server) { replica_at_.erase(server); }

    /// @brief Servers of @a group that have left the registry lately.
    [[nodiscard]] std::set<backend_server_id> departed(const group_id& group) const;
    /// @brief Time of the first read of the registry without @a server.
    [[nodiscard]] std::optional<time_point> departed_at(const backend_server_id& server) const;
    /// @brief A server of @a group, other than @a primary and @a replica, that may still act as
    /// primary; nothing when there is none. Answers as replica count from @a since.
    [[nodiscard]] std::optional<backend_server_id> possible(time_point now, const group_id& group,
                                                            const backend_directory& directory,
                                                            const backend_server_id& primary,
                                                            const backend_server_id& replica,
                                                            time_point since) const;
    /// @brief Evidence about @a server for a log line.
    [[nodiscard]] std::string evidence_text(time_point now, const backend_server_id& server) const;

  private:
    struct departure {
        group_id group;
        time_point at;
    };
    [[nodiscard]] bool out_of_action(const backend_server_id& server, time_point since) const;

    earlier_primaries_settings settings_;
    std::uint64_t directory_version_{0};
    std::map<backend_server_id, group_id> registered_; ///< As of `directory_version_`.
    std::map<backend_server_id, departure> departed_;
    std::map<backend_server_id, time_point> replica_at_; ///< Last answer, if it was as replica.
};

} // namespace jackdawvane
