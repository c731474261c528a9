#pragma once

#include "jackdawvane/backends/owned_backends.hpp"
#include "jackdawvane/configuration/configuration_replica.hpp"
#include "jackdawvane/configuration/key_registry.hpp"
#include "jackdawvane/limits/rate_limiter.hpp"
#include "jackdawvane/membership/membership.hpp"
#include "jackdawvane/node/node.hpp"
#include "jackdawvane/routing/request_executor.hpp"
#include "jackdawvane/routing/router.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawvane::detail {

/// @brief Combines all components of the library into one entry VM.
class node_impl final : public node_interface, private request_services {
  public:
    explicit node_impl(const node_settings& settings);

    void handle(time_point now, const event& what, actions& out) override;
    [[nodiscard]] time_point next_deadline() const override;
    [[nodiscard]] Json::Value describe() const override;
    [[nodiscard]] bool ready() const override;

  private:
    // One overload per event.
    void on(time_point now, const caller_request& request, actions& out);
    void on(time_point now, const caller_disconnected& gone, actions& out);
    void on(time_point now, const backend_connected& connected, actions& out);
    void on(time_point now, const backend_disconnected& disconnected, actions& out);
    void on(time_point now, const backend_answered& answered, actions& out);
    void on(time_point now, const store_answer& answer, actions& out);
    void on(time_point now, const peer_received& received, actions& out);
    void on(time_point now, const peer_disconnected& disconnected, actions& out);
    void on(time_point now, const stop_requested& request, actions& out);
    void on(time_point now, const timer_tick& tick, actions& out);

    // One overload per peer message that is not for the rate limiter.
    void receive(time_point now, const peer_received& from, const group_report& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const group_summary& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const forward_request& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const forward_reply& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const membership_probe& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const configuration_announce& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const configuration_pull& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const configuration_request& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const configuration_part& message,
                 actions& out);
    void receive(time_point now, const peer_received& from, const configuration_difference& message,
                 actions& out);
    template <class Message>
    void receive(time_point now, const peer_received& from, const Message& message, actions& out);

    /// Moves the messages that this VM sends to itself from the actions at @a first and later to
    /// `self_messages_`.
    /// @return whether there were any
    bool extract_self_messages(std::size_t first, actions& out);
    void check_pause(time_point now, actions& out);
    void run_due(time_point now, actions& out);
    void settle(time_point now, actions& out);
    void follow_fleet(time_point now, actions& out);
    void follow_configuration(time_point now, actions& out);
    /// Sends the summary of each new primary that this VM owns to all other VMs.
    void announce_primaries(time_point now, actions& out);
    bool deliver_local(time_point now, actions& out);
    bool deliver_replies(time_point now, actions& out);
    bool deliver_admissions(time_point now, actions& out);
    void begin_leaving(time_point now, const std::string& reason, actions& out);
    void finish_leaving(time_point now, actions& out);
    void send(const vm_entry& to, peer_message message, actions& out) const;
    [[nodiscard]] bool is_live(const vm_id& vm) const;
    [[nodiscard]] const vm_entry* find_vm(const vm_id& vm) const;

    // request_services
    [[nodiscard]] const configuration_document* configuration() const override;
    [[nodiscard]] result<organisation_id> authenticate(const std::string& key) const override;
    [[nodiscard]] bool isolated(time_point now) const override;
    [[nodiscard]] admission admit(time_point now, caller_id caller,
                                  const organisation_id& organisation, time_point deadline,
                                  actions& out) override;
    [[nodiscard]] std::vector<backend_server_id> plan(time_point now,
                                                      const routing_query& query) override;
    void avoid(time_point now, const backend_server_id& backend, routing_failure failure) override;
    [[nodiscard]] group_id choose_group(const pool_row& pool,
                                        const std::string& partition) const override;
    std::optional<vm_id> forward(time_point now, const forward_request& request, const vm_id* owner,
                                 actions& out) override;
    void learn(const group_summary& summary) override;

    node_settings settings_;
    random_engine random_;
    id_sequence<connection_id> connection_ids_;
    id_sequence<request_id> request_ids_;
    membership members_;
    configuration_replica configuration_;
    key_registry keys_;
    rate_limiter limiter_;
    jackdawvane::router router_;
    owned_backends owned_;
    request_executor executor_;
    std::map<group_id, group_summary> groups_; ///< Last known primary of each group.
    std::map<group_id, term> announced_;       ///< Highest announced term of each group.
    std::deque<owner_request> local_requests_; ///< Requests for backend servers owned by this VM.
    std::vector<peer_received> self_messages_; ///< Messages from this VM to itself.
    std::vector<vm_entry> fleet_;              ///< Live VMs as of `fleet_version_`.
    std::uint64_t fleet_version_{0};
    revision applied_revision_;
    time_point now_;
    time_point leave_started_;
    time_point leave_deadline_{no_deadline};
    bool leaving_{false};
    bool stopped_{false};
};

} // namespace jackdawvane::detail
