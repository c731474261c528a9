#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/node/ports.hpp"

#include <string>

namespace jackdawvane {

/// @brief Timing of this VM's entry in the VM list.
struct registration_settings {
    /// A VM that has crashed stays listed for at most this long.
    duration lease_duration{std::chrono::seconds{6}};
    duration renewal_interval{std::chrono::seconds{2}};
    /// Delay before the next request after one that failed.
    duration retry_delay{std::chrono::milliseconds{400}};
};

/// @brief Keeps this VM in the VM list by a lease that it renews in the store.
class vm_registration {
  public:
    vm_registration(vm_entry self, registration_settings settings, id_sequence<request_id>& ids);

    void tick(time_point now, actions& out);
    /// @brief Notes the store's era in each answer, also to requests of others, and writes the
    /// entry again in a new era.
    /// @return whether @a answer is for a request of this registration
    bool on_store(time_point now, const store_answer& answer);
    /// @brief Removes the entry from the VM list.
    void leave(actions& out);

  private:
    [[nodiscard]] std::string key() const;

    vm_entry self_;
    registration_settings settings_;
    id_sequence<request_id>& ids_;
    request_id request_id_;
    std::uint64_t era_{0}; ///< Newest era of the store.
    bool written_{false};
    bool request_pending_{false};
    bool leaving_{false};
    time_point request_sent_{};
    time_point next_renewal_{};
};

} // namespace jackdawvane
