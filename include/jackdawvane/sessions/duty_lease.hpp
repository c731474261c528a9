#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jackdawvane {

/// @brief Times of the lease of a duty.
struct duty_lease_settings {
    std::string key{"duty/promotion"};
    duration lease{std::chrono::seconds{4}};
    /// Three renewals may fail before the lease ends.
    duration renewal{std::chrono::milliseconds{1200}};
    /// The store's clock may run this much faster than the own one, in parts of the lease.
    int margin_divisor{8};
    /// Between two tries of the first VM; a VM of rank r waits r times as long more.
    duration try_interval{std::chrono::milliseconds{1000}};
    /// VMs that try as soon as they start.
    std::size_t candidates{3};
};

/// @brief Holds a duty for this VM by a lease in the store.
///
/// The fence is the store's version of the key, so it rises with each change of the holder. By
/// its own clock, counted from before each call, this VM stops acting before the store can give
/// the duty to another VM.
class duty_lease {
  public:
    duty_lease(vm_id self, duty_lease_settings settings, id_sequence<request_id>& ids);

    /// @param rank place of this VM among all, from 0; every VM tries, as those before it may be
    /// out of the store's reach
    void tick(time_point now, std::size_t rank, actions& out);
    /// @return whether the answer belongs to this part
    bool on_store(time_point now, const store_answer& answer, actions& out);
    /// @brief The VM was paused: what the clock says of the lease is not to be trusted.
    void paused(actions& out);
    /// @brief Gives the duty up.
    void leave(actions& out);

    [[nodiscard]] bool held(time_point now) const noexcept {
        return holder_ && !leaving_ && now < until_;
    }
    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }

  private:
    void call(time_point now, store_operation operation, actions& out);
    /// Between two tries of a VM.
    [[nodiscard]] duration pause_of(std::size_t rank) const;

    vm_id self_;
    duty_lease_settings settings_;
    id_sequence<request_id>& ids_;
    bool holder_{false};
    bool leaving_{false};
    bool started_{false};
    std::uint64_t fence_{0};
    time_point until_{time_point::min()};
    time_point next_{};  ///< Renewal of the holder.
    time_point tried_{}; ///< Last try of a VM that does not hold the duty.
    bool pending_{false};
    request_id call_;
    store_operation operation_{store_operation::acquire_lease};
    time_point sent_{};
};

} // namespace jackdawvane
