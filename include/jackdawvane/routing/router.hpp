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

/// @brief Group of @a pool that holds the data of @a partition; empty when the pool has none.
/// @complexity Linear in the number of groups.
[[nodiscard]] group_id choose_group(const pool_row& pool, std::string_view partition);

/// @brief Number of requests that are in flight to a backend server from this VM.
using load_hint = std::function<std::uint32_t(const backend_server_id&)>;

/// @brief What a request needs from its backend server.
struct routing_request {
    access_mode mode{access_mode::read};
    std::string_view key;      ///< Partition; equal keys prefer the same backend server.
    backend_server_id primary; ///< Primary as far as known; empty while none is known.
};

/// @brief Why a backend server could not serve a request.
enum class routing_trouble {
    behind,      ///< It had not reached the session's position; other sessions may be fine.
    unreachable, ///< It or its owner did not answer.
};

/// @brief Orders the backend servers of a group by preference for one request.
class router {
  public:
    /// Time for which a backend server that did not answer is tried last: a burst of requests
    /// is spared the same detour, and a restarted backend server is used again soon.
    static constexpr duration unreachable_memory = std::chrono::seconds{1};
    /// Time for which a replica that was behind is tried after the other replicas. Replicas lag
    /// by about 50 ms, so a longer time would move reads of caught-up sessions away from it.
    static constexpr duration behind_memory = std::chrono::milliseconds{200};

    /// @param self position of this VM
    explicit router(location self);

    /// @brief Backend servers to try, the best first. Leaving ones are left out.
    ///
    /// Writes go to the primary only. While none is known, all are listed, because the owner of
    /// any of them answers with a summary of the group.
    /// @param load consulted for ties within a class; may be empty
    /// @complexity O(n log n)
    [[nodiscard]] std::vector<backend_server_id> candidates(const group_row& group,
                                                            const routing_request& request,
                                                            const load_hint& load,
                                                            time_point now) const;

    /// @brief @a backend could not serve a request.
    ///
    /// An unreachable one is tried last for a while. One that was behind is tried after the
    /// other replicas but before the primary, so that one fast session does not move the reads
    /// of all others to the primary.
    void avoid(const backend_server_id& backend, routing_trouble trouble, time_point now);

    /// @brief @a backend served a request.
    void served(const backend_server_id& backend);

  private:
    struct preference;
    [[nodiscard]] preference preference_for(const backend_server_id& backend,
                                            const backend_server_row& row,
                                            const routing_request& request, const load_hint& load,
                                            time_point now) const;
    struct memory {
        routing_trouble trouble{routing_trouble::behind};
        time_point until;
    };
    [[nodiscard]] bool is_avoided(const backend_server_id& backend, routing_trouble trouble,
                                  time_point now) const;

    location self_;
    std::map<backend_server_id, memory> avoided_;
};

} // namespace jackdawvane
