#pragma once

#include "jackdawvane/limits/organisation_limiter.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace jackdawvane {

/// @brief Enforces the organisations' fleet-wide rates at one VM.
///
/// After every call the host side takes the results of pending requests with `take_decisions`.
class rate_limiter {
  public:
    /// @param ids shared with the other parts that call the store; outlives this object
    /// @param random outlives this object
    rate_limiter(vm_id self, vm_incarnation incarnation, location place,
                 rate_limiter_settings settings, id_sequence<request_id>& ids,
                 random_engine& random);

    /// @brief Applies the organisations table of the configuration @a newer.
    void configure(time_point now, const std::map<organisation_id, organisation_row>& rows,
                   revision newer, actions& out);

    /// @brief Tells which VMs live, and which are gone for good.
    /// @param live VMs that are believed to be alive, with this one once it is listed
    /// @param gone VMs that the platform listed and then stopped listing, and that no peer hears
    void set_fleet(time_point now, std::span<const vm_entry> live, const std::set<vm_id>& gone,
                   actions& out);

    /// @brief Decides on one request.
    /// @param handle names the request in `take_decisions` and `withdraw`
    /// @param deadline the request waits no longer than this
    [[nodiscard]] admission admit(time_point now, const organisation_id& organisation,
                                  request_id handle, time_point deadline, actions& out);
    /// @brief Forgets a pending request whose caller is gone.
    void withdraw(request_id handle);
    /// @brief Results of requests that were pending.
    [[nodiscard]] std::vector<admission> take_decisions();

    /// @return whether the message was for this part
    bool on_peer(time_point now, const vm_id& from, const peer_message& message, actions& out);
    /// @return whether the answer belongs to a call of this part
    [[nodiscard]] bool on_store(time_point now, const store_answer& answer, actions& out);

    /// @brief The VM was paused. Comes before any other event after the pause.
    ///
    /// If the lease may have expired, no share is used until the lease is renewed and the own
    /// entry is confirmed in the record.
    void paused(time_point now, actions& out);
    /// @brief Gives all shares and the lease back.
    void leave(time_point now, actions& out);
    /// @brief Whether `leave` has finished.
    [[nodiscard]] bool left() const noexcept;

    void tick(time_point now, actions& out);
    /// @brief When `tick` is due; depends on the time of the last event.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Limiter of @a organisation, or null.
    [[nodiscard]] const organisation_limiter* find(const organisation_id& organisation) const;
    /// @brief Shares and tokens per organisation, as of the last event.
    [[nodiscard]] Json::Value describe() const;

  private:
    void finish_renewal(time_point now, store_status status, actions& out);
    void renew_lease(time_point now, actions& out);
    [[nodiscard]] bool needs_lease() const noexcept;

    limiter_context context_;
    std::map<organisation_id, organisation_limiter> organisations_;
    revision revision_;
    time_point now_{};
    time_point lease_at_{};
    request_id lease_call_;
    std::set<request_id> abandoned_; ///< Renewals from before a pause.
    time_point lease_sent_{};
    time_point lease_until_{time_point::min()}; ///< The store keeps the lease until then.
    bool lease_pending_{false};
    bool lease_held_{false};
    bool lease_ends_{false}; ///< The call in flight releases the lease.
    bool leaving_{false};
};

} // namespace jackdawvane
