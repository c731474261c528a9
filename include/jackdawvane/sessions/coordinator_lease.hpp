#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jackdawvane {

/// @brief Settings of the lease of the failover coordinator.
struct coordinator_lease_settings {
    std::string key{"duty/promotion"};
    /// Time after which the store expires a lease that is not renewed.
    duration lease_duration{std::chrono::seconds{4}};
    /// Between two renewals; three fit into the lease duration.
    duration renewal_interval{std::chrono::milliseconds{1200}};
    /// This VM treats the lease as expired earlier by the lease duration divided by this number, as
    /// the store's clock may run faster than its own.
    int clock_margin_divisor{8};
    /// Between two acquire attempts of the VM of rank 0; a VM of rank r waits r + 1 times as long.
    duration acquire_interval{std::chrono::milliseconds{1000}};
    /// VMs of the lowest ranks that try to acquire the lease as soon as they start.
    std::size_t immediate_candidates{3};
};

/// @brief Elects the failover coordinator, one VM at a time, by a lease in the store.
///
/// The fencing token is the store's version of the key, so it increases with each change of the
/// holder. Expiry is measured on this VM's clock from before each request was sent, so this VM
/// stops acting before the store can grant the lease to another VM.
class coordinator_lease {
  public:
    coordinator_lease(vm_id self, coordinator_lease_settings settings,
                      id_sequence<request_id>& ids);

    /// @brief Acquires or renews the lease when due.
    /// @param rank rank of this VM among all, from 0; every VM tries to acquire the lease, as VMs
    /// of lower rank may be unable to reach the store
    void tick(time_point now, std::size_t rank, actions& out);
    /// @brief Notes the store's era in each answer, also to requests of others. After a new era the
    /// lease is not held, and is not acquired for one lease duration.
    /// @return whether @a answer is for a request of this lease
    bool on_store(time_point now, const store_answer& answer, actions& out);
    /// @brief Drops the lease after a pause of this VM, as its expiry time is not reliable.
    void paused(actions& out);
    /// @brief Releases the lease and does not acquire it again.
    void leave(actions& out);

    [[nodiscard]] bool held(time_point now) const noexcept {
        return holder_ && !leaving_ && now < held_until_;
    }
    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }

  private:
    void send_request(time_point now, store_operation operation, actions& out);
    void note_era(time_point now, const store_answer& answer, actions& out);
    /// Time between two acquire attempts of a VM of @a rank; grows with the rank to limit store
    /// load.
    [[nodiscard]] duration acquire_delay(std::size_t rank) const;

    vm_id self_;
    coordinator_lease_settings settings_;
    id_sequence<request_id>& ids_;
    bool holder_{false};
    bool leaving_{false};
    bool started_{false};
    std::uint64_t fence_{0};
    time_point held_until_{time_point::min()};
    time_point next_renewal_{}; ///< Next renewal, as holder.
    time_point last_attempt_{}; ///< Last attempt to acquire the lease.
    std::uint64_t era_{0};      ///< Newest era of the store.
    /// In a new era, the former holder may act until then without having noticed it.
    time_point acquire_not_before_{time_point::min()};
    bool request_pending_{false};
    request_id request_id_;
    store_operation operation_{store_operation::acquire_lease};
    time_point request_sent_{};
};

} // namespace jackdawvane
