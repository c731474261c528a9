#pragma once

#include "jackdawvane/node/store.hpp"

#include <map>
#include <optional>
#include <string>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Key-value store with versions and leases. No I/O; each call is atomic and is passed the
/// current time.
class key_value_store {
  public:
    using time = steady_clock::time_point;

    /// @brief Current value and version of @a key; `not_found` for an expired lease.
    [[nodiscard]] store_answer read(const std::string& key, time now) const;
    /// @brief Writes if the key's version equals the request's; version 0 creates the key.
    /// @return the resulting state, or the current one with `conflict` when nothing was written
    store_answer compare_and_swap(const store_request& request, time now);
    store_answer renew_lease(const store_request& request, time now);
    store_answer release_lease(const store_request& request, time now);

  private:
    struct stored_value {
        std::string value;
        std::uint64_t version{0}; ///< Kept when the key is removed, so that versions only increase.
        bool present{false};
        std::optional<time> expiry;
    };

    [[nodiscard]] static bool is_present(const stored_value& stored, time now);
    void write(const std::string& key, const std::string& value, std::optional<time> expiry);

    std::map<std::string, stored_value> values_;
};

} // namespace jackdawvane::standin
