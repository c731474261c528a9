#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/caller.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace jackdawvane {

/// @brief Group of @a pool that holds @a partition; empty if the pool has no groups.
/// @complexity Linear in the number of groups.
[[nodiscard]] group_id choose_group(const pool_row& pool, std::string_view partition);

/// @brief Number of requests that are in flight to a backend server from this VM.
using load_hint = std::function<std::uint32_t(const backend_server_id&)>;

/// @brief What a request needs from its backend server.
struct routing_request {
    access_mode mode{access_mode::read};
    std::string_view key;      ///< Partition; equal keys prefer the same backend server.
    backend_server_id primary; ///< Last known primary; empty if none is known.
};

/// @brief Why a backend server could not serve a request.
enum class routing_failure {
    behind,      ///< It has not reached the session's position; it may serve other sessions.
    unreachable, ///< It or its owner did not answer.
};

/// @brief Orders the backend servers of a group by preference for one request.
class router {
  public:
    /// Time for which a backend server that did not answer is tried last. Long enough that a burst
    /// of requests does not wait for it each time, short enough that a restarted backend server is
    /// used again soon.
    static constexpr duration unreachable_ttl = std::chrono::seconds{1};
    /// Time for which a replica that was behind is tried after the other replicas. Replicas lag by
    /// about 50 ms, so a longer time would keep away reads that the replica can serve again.
    static constexpr duration behind_cooldown = std::chrono::milliseconds{200};

    /// @param self location of this VM
    explicit router(location self);

    /// @brief Backend servers to try, in order of preference, without those that are leaving.
    ///
    /// A write goes to the primary only. If no primary is known, all backend servers are returned,
    /// because the owner of any of them answers with a summary of the group.
    /// @param load breaks ties between backend servers of equal proximity; may be empty
    /// @complexity O(n log n)
    [[nodiscard]] std::vector<backend_server_id> candidates(const group_row& group,
                                                            const routing_request& request,
                                                            const load_hint& load,
                                                            time_point now) const;

    /// @brief Records that @a backend could not serve a request.
    ///
    /// An unreachable backend server is tried last for `unreachable_ttl`. A replica that was
    /// behind is tried after the other replicas but before the primary, so that one session with a
    /// recent position does not move the reads of all other sessions to the primary.
    void avoid(const backend_server_id& backend, routing_failure failure, time_point now);

    /// @brief Records that @a backend served a request, and stops avoiding it.
    void served(const backend_server_id& backend);

  private:
    struct preference;
    [[nodiscard]] preference preference_for(const backend_server_id& backend,
                                            const backend_server_row& row,
                                            const routing_request& request, const load_hint& load,
                                            time_point now) const;
    struct failure_record {
        routing_failure failure{routing_failure::behind};
        time_point until;
    };
    [[nodiscard]] bool is_avoided(const backend_server_id& backend, routing_failure failure,
                                  time_point now) const;

    location self_;
    std::map<backend_server_id, failure_record> avoided_;
};

} // namespace jackdawvane
