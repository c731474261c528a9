#pragma once

#include "jackdawvane/configuration/configuration_replica.hpp"
#include "jackdawvane/limits/rate_limiter.hpp"
#include "jackdawvane/membership/membership.hpp"
#include "jackdawvane/sessions/coordinator_lease.hpp"
#include "jackdawvane/sessions/failover_coordinator.hpp"
#include "jackdawvane/sessions/group_observer.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"
#include "jackdawvane/sessions/vm_registration.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Settings of a session proxy.
struct session_proxy_settings {
    vm_entry self;
    vm_incarnation incarnation;
    std::vector<endpoint> seeds; ///< Peer endpoints to contact when the store does not answer.
    std::map<failure_domain_id, region_id> regions;
    std::uint64_t random_seed{1};
    evacuation_settings evacuations;
    /// Requests for an organisation's rate wait at its holders, by priority class.
    bool queues_by_class{false};
    /// VMs of each failure domain that hold a share of an organisation's rate.
    std::uint32_t holders_per_domain{3};
    /// VMs of all failure domains that hold a share of an organisation's rate.
    std::uint32_t max_holders{9};
    /// Longest wait of an operation for its organisation's rate limit; far below any target
    /// latency.
    duration token_wait{from_milliseconds(200)};
    /// As `token_wait`, while this VM's share is not confirmed after its start.
    duration joining_token_wait{from_milliseconds(900)};
    /// Between two requests for a larger share of an organisation's rate. Each transfer costs a
    /// write and a read by every holder; single tokens are passed between VMs in the meantime.
    duration share_interval{from_milliseconds(4000)};
    /// Jitter of joins, so that VMs that start together do not join at once.
    duration share_join_jitter{from_milliseconds(80)};
    /// Delay from the last use of a share until another VM may hold it: tokens in transit expire
    /// after 150 ms.
    duration share_settle_delay{from_milliseconds(220)};
    /// Shortest delay before a share request is repeated.
    duration min_share_retry_delay{from_milliseconds(60)};
    /// Delay of the first join, until the views of the fleet converge when all VMs start together.
    duration share_join_delay{from_milliseconds(1000)};
    duration share_release_delay{from_milliseconds(2000)};
    duration lease_renewal{from_milliseconds(1500)};
    /// Lifetime of a lease that is not renewed. A VM that loses the store uses its share until
    /// then, and the share of a crashed VM is unusable until then.
    duration lease_duration{std::chrono::seconds{60}};
    executor_settings executor;
    backend_session_settings backends;
    owner_settings owner;
    forwarder_settings forwarder;
    observer_settings observer;
    failover_coordinator_settings failover;
    coordinator_lease_settings coordinator_lease;
    registration_settings registration;
};

/// @brief Combines the components that serve SQL sessions at one entry VM.
///
/// It uses the same membership, configuration replica, key check and rate limiter as the HTTP node
/// of `node_interface` and does no I/O either: it takes events with their time and returns actions.
class session_proxy final : private admission_service {
  public:
    explicit session_proxy(const session_proxy_settings& settings);

    void handle(time_point now, const proxy_event& input, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Whether this VM accepts new sessions.
    [[nodiscard]] bool ready() const noexcept;
    /// @brief State as JSON, for operators.
    [[nodiscard]] Json::Value describe() const;

  private:
    void on(time_point now, const session_started& input, proxy_output& out);
    void on(time_point now, const statement_received& input, proxy_output& out);
    void on(time_point now, const session_broken& input, proxy_output& out);
    void on(time_point now, const session_closed& input, proxy_output& out);
    void on(time_point now, const server_connected& input, proxy_output& out);
    void on(time_point now, const server_disconnected& input, proxy_output& out);
    void on(time_point now, const server_replied& input, proxy_output& out);
    void on(time_point now, const promotion_answered& input, proxy_output& out);
    void on(time_point now, const store_answer& input, proxy_output& out);
    void on(time_point now, const peer_received& input, proxy_output& out);
    void on(time_point now, const peer_disconnected& input, proxy_output& out);
    void on(time_point now, const stop_requested& input, proxy_output& out);
    void on(time_point now, const timer_tick& input, proxy_output& out);

    void receive(time_point now, const peer_received& from, const membership_probe& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_announce& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_pull& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_request& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_part& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_difference& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const observation_query& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const observation_reply& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const group_hold& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const forwarded_statement& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const attempt_result& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const lease_release& message,
                 proxy_output& out);
    template <class Message>
    void receive(time_point now, const peer_received& from, const Message& message,
                 proxy_output& out);

    [[nodiscard]] admission admit(time_point now, const admission_request& request,
                                  actions& out) override;
    void withdraw(session_id session) override;

    void check_pause(time_point now, proxy_output& out);
    void run_due(time_point now, proxy_output& out);
    void settle(time_point now, proxy_output& out);
    void apply_configuration(time_point now, proxy_output& out);
    void report_unknown_regions(proxy_output& out);
    void apply_membership(time_point now, proxy_output& out);
    void settle_statements(time_point now, proxy_output& out);
    void accept_result(time_point now, const vm_id& from, const attempt_result& result,
                       proxy_output& out);
    void handle_vm_loss(const vm_id& vm, proxy_output& out);
    void report_readiness(proxy_output& out);
    void finish_leaving(time_point now, proxy_output& out);

    session_proxy_settings settings_;
    random_engine random_;
    id_sequence<connection_id> connection_ids_;
    id_sequence<request_id> request_ids_;
    fleet_state state_;
    membership members_;
    configuration_replica configuration_;
    rate_limiter limiter_;
    vm_registration registration_;
    coordinator_lease coordinator_lease_;
    group_observer observer_;
    failover_coordinator coordinator_;
    backend_sessions backends_;
    connection_owner owner_;
    statement_forwarder forwarder_;
    statement_executor executor_;
    revision applied_revision_;
    std::set<std::string> reported_regions_; ///< Problems of the configuration, as logged.
    std::uint64_t fleet_version_{0};
    std::size_t coordinator_rank_{0};
    bool reported_ready_{false};
    bool leaving_{false};
    bool stopped_{false};
    time_point leave_started_{};
    time_point next_slow_tick_{};
};

} // namespace jackdawvane
