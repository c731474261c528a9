#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "programs/jackdawvane-limits/world.hpp"

namespace jackdawvane::limits {

/// @brief Way to enforce the rates over the fleet.
class mechanism {
  public:
    /// @brief Result of a request; may come later.
    using verdict = std::function<void(bool admitted)>;

    mechanism() = default;
    mechanism(const mechanism&) = delete;
    mechanism& operator=(const mechanism&) = delete;
    mechanism(mechanism&&) = delete;
    mechanism& operator=(mechanism&&) = delete;
    virtual ~mechanism() = default;

    virtual void start() = 0;
    virtual void request(std::size_t slot, std::size_t organisation, verdict decided) = 0;
    /// @brief The VM in @a slot has been killed.
    virtual void killed(std::size_t slot) = 0;
    /// @brief A new VM has taken the place of the killed one.
    virtual void replaced(std::size_t slot) = 0;
};

/// @brief Makes a mechanism in a world that outlives it.
struct mechanism_entry {
    const char* name;
    std::unique_ptr<mechanism> (*make)(world&);
};

[[nodiscard]] std::unique_ptr<mechanism> make_escrow(world& around);
[[nodiscard]] std::unique_ptr<mechanism> make_static_division(world& around);
[[nodiscard]] std::unique_ptr<mechanism> make_central_counter(world& around);
[[nodiscard]] std::unique_ptr<mechanism> make_expiring_leases(world& around);

/// @brief The mechanisms that the study compares.
[[nodiscard]] const std::vector<mechanism_entry>& all_mechanisms();

} // namespace jackdawvane::limits
