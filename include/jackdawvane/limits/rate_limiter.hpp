#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/limits/organisation_limiter.hpp"

#include <utility>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace jackdawvane {

/// @brief Enforces the organisations' fleet-wide rates at one VM.
///
/// The organisations are divided into groups. A VM holds parts of a few groups. It has limiters for
/// the organisations of these groups and for those of its callers, and an event updates only the
/// limiters that it concerns.
///
/// After every call the host collects the results of pending requests with `take_decisions`.
class rate_limiter {
  public:
    /// @param ids shared with the other components that call the store; outlives this object
    /// @param random outlives this object
    rate_limiter(vm_id self, vm_incarnation incarnation, location place,
                 rate_limiter_settings settings, id_sequence<request_id>& ids,
                 random_engine& random);

    /// @brief Applies the organisations table of the configuration @a newer.
    void configure(time_point now, const std::map<organisation_id, organisation_row>& rows,
                   revision newer, actions& out);

    /// @brief Sets which VMs are live, and which have left the fleet for good.
    /// @param live VMs that are considered alive, including this one once it is listed
    /// @param gone VMs that the platform listed and then stopped listing, and that no peer receives
    /// messages from
    void set_fleet(time_point now, std::span<const vm_entry> live, const std::set<vm_id>& gone,
                   actions& out);

    /// @brief Decides on one request; @a request names the organisation and the handle.
    [[nodiscard]] admission admit(time_point now, const admission_request& request, actions& out);
    /// @brief Decides on one request of the default class without a latency objective.
    /// @param handle identifies the request in `take_decisions` and `withdraw`
    /// @param deadline the request waits no longer than this
    [[nodiscard]] admission admit(time_point now, const organisation_id& organisation,
                                  request_id handle, time_point deadline, actions& out);
    /// @brief Drops a pending request whose caller has disconnected.
    void withdraw(request_id handle);
    /// @brief Results of requests that were pending.
    [[nodiscard]] std::vector<admission> take_decisions();

    /// @return whether the message was for this component
    bool on_peer(time_point now, const vm_id& from, const peer_message& message, actions& out);
    /// @brief Notes the store's era in each answer, also to requests of others. In a new era no
    /// part is used until its record entry is confirmed.
    /// @return whether the answer belongs to a call of this component
    [[nodiscard]] bool on_store(time_point now, const store_answer& answer, actions& out);

    /// @brief Called when the VM resumes after a pause, before any other event.
    ///
    /// If the lease may have expired, no share is used until the lease is renewed and this VM's
    /// entry is confirmed in the record. The same holds whenever the lease has lapsed.
    void paused(time_point now, actions& out);
    /// @brief Releases all shares and the lease.
    void leave(time_point now, actions& out);
    /// @brief Whether `leave` has finished.
    [[nodiscard]] bool left() const noexcept;

    void tick(time_point now, actions& out);
    /// @brief When `tick` is due; depends on the time of the last event.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Limiter of @a organisation, or null if neither a caller nor a share has needed it
    /// yet.
    [[nodiscard]] const organisation_limiter* find(const organisation_id& organisation) const;
    /// @brief Group of @a organisation, or null if no configuration has had an organisation of it.
    [[nodiscard]] const share_group* find_group(const organisation_id& organisation) const;
    /// @brief Shares and tokens per organisation, as of the last event.
    [[nodiscard]] Json::Value describe() const;

  private:
    struct group_state;
    struct organisation_state {
        organisation_limiter limiter;
        group_state& group;
        time_point due{no_deadline}; ///< Key of its entry in `organisations_due_`.
    };
    struct group_state {
        share_group share;
        std::vector<organisation_state*> members; ///< Organisations with a limiter at this VM.
        std::size_t configured{0};                ///< Organisations in the configuration.
        time_point due{no_deadline};
    };

    struct configured_organisation {
        share_limits fleet_limits;
        group_state* group{nullptr};
    };
    using row_map = std::unordered_map<organisation_id, configured_organisation>;

    void advance_time(time_point now, actions& out);
    void lose_lease(time_point now, const std::string& how, actions& out);
    void finish_renewal(time_point now, const store_answer& answer, actions& out);
    void renew_lease(time_point now, actions& out);
    [[nodiscard]] bool needs_lease() const noexcept;

    group_state& group_of(const organisation_id& organisation);
    organisation_state* find_or_create(time_point now, const organisation_id& organisation,
                                       time_point started, actions& out);
    void apply(time_point now, const organisation_id& organisation, share_limits fleet_limits,
               actions& out);
    row_map::iterator remove(time_point now, row_map::iterator row, actions& out);
    void refresh_group(time_point now, group_state& group, actions& out);
    void refresh_all_groups(time_point now, actions& out);
    void refresh_members(time_point now, group_state& group, actions& out);
    void summarise_groups();
    void create_held_limiters(time_point now, group_state& group, time_point started, actions& out);
    void reschedule(time_point now, organisation_state& entry);
    [[nodiscard]] std::uint32_t spare_part(time_point now, const group_state& group,
                                           double lacking) const;
    void handle_message(time_point now, const vm_id& from, const share_request& message,
                        actions& out);
    void handle_message(time_point now, const vm_id& from, const share_notice& message,
                        actions& out);
    template <class Message>
    void handle_message(time_point now, const vm_id& from, const Message& message, actions& out);

    limiter_context context_;
    row_map rows_;
    std::map<share_group_id, group_state> groups_;
    std::map<organisation_id, organisation_state> organisations_;
    std::set<std::pair<time_point, organisation_state*>> organisations_due_;
    std::map<request_id, organisation_state*> pending_; ///< Requests without a decision.
    time_point groups_due_{no_deadline};
    bool holder_{false};      ///< Whether this VM holds a part of any group.
    bool needs_lease_{false}; ///< Whether it holds a part or is about to join.
    revision revision_;
    time_point configured_at_{}; ///< When the first configuration arrived.
    time_point now_{};
    time_point lease_at_{};
    request_id lease_call_;
    std::set<request_id> abandoned_; ///< Lease calls from before a pause; answers are ignored.
    time_point lease_sent_{};
    time_point lease_until_{time_point::min()}; ///< The store keeps the lease until then.
    std::uint64_t lease_version_{0};            ///< Changes when the store creates the lease anew.
    std::uint64_t era_{0};                      ///< Newest era of the store.
    bool lease_pending_{false};
    bool lease_stored_{false}; ///< The last answer found the lease in the store.
    bool lease_ends_{false};   ///< The call in flight releases the lease.
    bool leaving_{false};
};

} // namespace jackdawvane
