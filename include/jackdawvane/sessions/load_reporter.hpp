#pragma once

#include "jackdawvane/sessions/messages.hpp"

#include <utility>

#include <map>
#include <optional>

namespace jackdawvane {

/// @brief Decides which results carry the load of their server.
///
/// Keeps traffic between VMs small: a load of about 70 bytes is sent only when the receiver's last
/// one is out of date.
class load_reporter {
  public:
    /// @brief Load to attach to a result for @a entry; nothing when its last one still holds.
    [[nodiscard]] std::optional<server_load> due(time_point now, const vm_id& entry,
                                                 const backend_server_id& backend,
                                                 const server_load& load);
    void forget(const vm_id& entry);
    /// @brief Removes what was sent so long ago that the next load is due anyway.
    void prune(time_point now);

  private:
    struct sent_load {
        server_load load;
        time_point sent{};
    };
    std::map<std::pair<vm_id, backend_server_id>, sent_load> sent_;
};

/// @brief Whether a read might be placed elsewhere with @a right than with @a left.
[[nodiscard]] bool differs_noticeably(const server_load& left, const server_load& right);

} // namespace jackdawvane
