#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Times of the directory.
struct directory_settings {
    /// A registration that lapsed while the registry was away is back within 2 s of its return.
    duration return_grace{std::chrono::milliseconds{2200}};
    /// A longer gap between two readings counts as an outage of the registry.
    duration outage_gap{std::chrono::milliseconds{2500}};
};

/// @brief Backend servers that have registered themselves, as of the last reading.
class backend_directory {
  public:
    /// @brief A registered backend server.
    struct entry {
        backend_registration registration;
        time_point leaving_since{no_deadline}; ///< When it was first read as leaving.
        /// Last reading that listed it as staying; unset when there was none.
        time_point staying_at{time_point::min()};
        time_point absent_since{no_deadline}; ///< Missing after an outage of the registry.
    };

    explicit backend_directory(directory_settings settings = {}) : settings_{settings} {}

    /// @brief Takes a reading.
    /// @param read_at time before the registry was asked
    /// @param version the registry's version; readings older than the last are ignored
    /// @return whether a backend server came, went or changed
    bool update(time_point now, time_point read_at, std::uint64_t version,
                const std::vector<backend_registration>& registrations);
    /// @brief Another VM read the registry at @a read_at.
    /// @param changed version of the last change that it saw
    /// @param read version of its reading
    ///
    /// Its list is the same as the one here if this one's version is between the two.
    void confirm(time_point now, time_point read_at, std::uint64_t changed, std::uint64_t read);

    [[nodiscard]] const std::map<backend_server_id, entry>& entries() const noexcept {
        return entries_;
    }
    [[nodiscard]] const entry* find(const backend_server_id& backend) const;
    /// @brief Backend servers of @a group.
    [[nodiscard]] std::set<backend_server_id> members(const group_id& group) const;
    [[nodiscard]] std::set<group_id> groups() const;

    /// @brief Registry version at which the last change was read. Heartbeats raise the version of
    /// the registry all the time, so it does not tell whether a list is newer.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// @brief Registry version of the last reading.
    [[nodiscard]] std::uint64_t read_version() const noexcept { return read_version_; }
    [[nodiscard]] time_point read_at() const noexcept { return read_at_; }
    [[nodiscard]] bool known() const noexcept { return known_; }
    /// @brief Registrations for another VM.
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
