#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/store.hpp"
#include "jackdawvane/sessions/group_leadership.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Durations for handling an outage of the registry; a restore from a copy counts as one.
struct directory_settings {
    /// Missing servers are kept this long after an outage of the registry; a registration that
    /// expired during the outage is back within 2 s of its end.
    duration reregistration_grace{std::chrono::milliseconds{2200}};
    /// A longer gap between two reads counts as an outage of the registry.
    duration outage_threshold{std::chrono::milliseconds{2500}};
};

/// @brief Backend servers that have registered themselves, as of the last read of the registry.
class backend_directory {
  public:
    /// @brief A registered backend server.
    struct entry {
        backend_registration registration;
        time_point leaving_since{no_deadline}; ///< When it was first listed as leaving.
        /// Time of the last read that listed it as not leaving; `min()` when there was none.
        time_point last_listed_staying{time_point::min()};
        time_point listed_at{time_point::min()}; ///< Time of the last read that listed it.
        time_point absent_since{no_deadline};    ///< Missing after an outage of the registry.
        /// End of its warm-up: the remaining time counts from the read that first listed it.
        time_point warm_from{time_point::min()};
    };

    explicit backend_directory(directory_settings settings = {}) : settings_{settings} {}

    /// @brief Applies a read of the registry.
    /// @param read_at time just before the request was sent
    /// @param version the registry's version; reads older than the last one are ignored
    /// @return whether a backend server was added, removed or changed, or this is the first read
    bool update(time_point now, time_point read_at, std::uint64_t version,
                const std::vector<backend_registration>& registrations);
    /// @brief Records that another VM read the registry at @a read_at.
    /// @param changed registry version of the last change that it read
    /// @param read registry version of its last read
    ///
    /// Its list is the same as this one if `version()` is between the two.
    void confirm(time_point now, time_point read_at, std::uint64_t changed, std::uint64_t read);

    [[nodiscard]] const std::map<backend_server_id, entry>& entries() const noexcept {
        return entries_;
    }
    [[nodiscard]] const entry* find(const backend_server_id& backend) const;
    /// @brief Whether a read within `listing_validity` before @a when has listed @a backend.
    [[nodiscard]] listing listed(const backend_server_id& backend, time_point when) const;
    [[nodiscard]] std::set<backend_server_id> members(const group_id& group) const;
    [[nodiscard]] std::set<group_id> groups() const;

    /// @brief Registry version of the read that last changed the list. Heartbeats raise the version
    /// of the registry all the time, so that version alone does not tell whether the list changed.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// @brief Registry version of the last read.
    [[nodiscard]] std::uint64_t read_version() const noexcept { return read_version_; }
    [[nodiscard]] time_point read_at() const noexcept { return read_at_; }
    [[nodiscard]] bool known() const noexcept { return known_; }
    /// @brief Registrations to send to another VM; without those missing since an outage.
    [[nodiscard]] std::vector<backend_registration> registrations() const;

  private:
    directory_settings settings_;
    std::map<backend_server_id, entry> entries_;
    std::uint64_t version_{0};
    std::uint64_t read_version_{0};
    time_point read_at_{time_point::min()};
    time_point grace_until_{time_point::min()};
    bool known_{false};
};

} // namespace jackdawvane
