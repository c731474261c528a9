#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "programs/jackdawvane-limits/world.hpp"

namespace jackdawvane::limits {

/// @brief Mechanism that enforces the rates of the organisations across the fleet.
class mechanism {
  public:
    /// @brief Receives the decision on a request, during the call or later.
    using decision_callback = std::function<void(bool admitted)>;

    mechanism() = default;
    mechanism(const mechanism&) = delete;
    mechanism& operator=(const mechanism&) = delete;
    mechanism(mechanism&&) = delete;
    mechanism& operator=(mechanism&&) = delete;
    virtual ~mechanism() = default;

    virtual void start() = 0;
    virtual void request(std::size_t slot, std::size_t organisation,
                         decision_callback on_decision) = 0;
    /// @brief Called when the VM in @a slot is killed.
    virtual void on_vm_killed(std::size_t slot) = 0;
    /// @brief Called when a new VM takes the slot of the killed one.
    virtual void on_vm_replaced(std::size_t slot) = 0;
};

/// @brief Name and factory of a mechanism; the simulation must outlive the mechanism.
struct mechanism_entry {
    const char* name;
    std::unique_ptr<mechanism> (*make)(simulation&);
};

[[nodiscard]] std::unique_ptr<mechanism> make_escrow(simulation& sim);
[[nodiscard]] std::unique_ptr<mechanism> make_static_division(simulation& sim);
[[nodiscard]] std::unique_ptr<mechanism> make_central_counter(simulation& sim);
[[nodiscard]] std::unique_ptr<mechanism> make_expiring_leases(simulation& sim);

/// @brief The mechanisms that the study compares.
[[nodiscard]] const std::vector<mechanism_entry>& all_mechanisms();

} // namespace jackdawvane::limits
