#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/node/ports.hpp"

#include <string>

namespace jackdawvane {

/// @brief Times of this VM's entry in the VM list.
struct registration_settings {
    /// A VM that has died is listed for this long.
    duration lease{std::chrono::seconds{6}};
    duration renewal{std::chrono::seconds{2}};
    duration retry{std::chrono::milliseconds{400}};
};

/// @brief Keeps this VM in the VM list by a lease in the store.
class vm_registration {
  public:
    vm_registration(vm_entry self, registration_settings settings, id_sequence<request_id>& ids);

    void tick(time_point now, actions& out);
    /// @return whether the answer belongs to this part
    bool on_store(time_point now, const store_answer& answer);
    /// @brief Removes the entry.
    void leave(actions& out);

  private:
    [[nodiscard]] std::string key() const;

    vm_entry self_;
    registration_settings settings_;
    id_sequence<request_id>& ids_;
    request_id call_;
    bool pending_{false};
    bool leaving_{false};
    time_point sent_{};
    time_point next_{};
};

} // namespace jackdawvane
