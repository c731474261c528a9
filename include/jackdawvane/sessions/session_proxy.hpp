#pragma once

#include "jackdawvane/configuration/configuration_replica.hpp"
#include "jackdawvane/limits/rate_limiter.hpp"
#include "jackdawvane/membership/membership.hpp"
#include "jackdawvane/sessions/duty_lease.hpp"
#include "jackdawvane/sessions/group_observer.hpp"
#include "jackdawvane/sessions/promotion_duty.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"
#include "jackdawvane/sessions/vm_registration.hpp"

#include <map>
#include <vector>

namespace jackdawvane {

/// @brief Settings of a session proxy.
struct session_proxy_settings {
    vm_entry self;
    vm_incarnation incarnation;
    std::vector<endpoint> seeds; ///< Peer endpoints to ask when the store does not answer.
    std::map<failure_domain_id, region_id> regions;
    std::uint64_t random_seed{1};
    std::uint32_t holders_per_domain{3}; ///< Holders of an organisation's rate per failure domain.
    std::uint32_t most_holders{9};       ///< Holders of an organisation's rate in all.
    /// Longest wait of an operation for its organisation's rate; far below any target latency.
    duration token_wait{from_milliseconds(200)};
    /// As `token_wait`, while this VM's share is not confirmed after its start.
    duration joining_wait{from_milliseconds(900)};
    /// Between two requests for more of an organisation's rate; each move costs a write and a
    /// reading by every holder, and single tokens travel between VMs meanwhile.
    duration share_interval{from_milliseconds(4000)};
    /// Joins of VMs that start together are spread over this time.
    duration share_join_spread{from_milliseconds(80)};
    /// Tokens in transit are void after 150 ms; a part changes hands after that.
    duration share_settle{from_milliseconds(220)};
    duration share_retry{from_milliseconds(60)};
    /// A first join waits until the VMs' views of the fleet agree after a start of all.
    duration share_join_settle{from_milliseconds(1000)};
    duration share_return{from_milliseconds(2000)};
    duration lease_renewal{from_milliseconds(1500)};
    /// Life of a lease not renewed; the share of a killed VM is out of use for this time.
    duration lease_duration{from_milliseconds(5000)};
    executor_settings executor;
    backend_session_settings backends;
    owner_settings owner;
    gateway_settings gateway;
    observer_settings observer;
    promotion_duty_settings promotion;
    duty_lease_settings duty;
    registration_settings registration;
};

/// @brief All parts that serve SQL sessions at one entry VM, joined.
///
/// It shares membership, configuration copy, key check and rate limits with `node_interface`'s
/// HTTP node and does no I/O either: events go in with their time, actions come out.
class session_proxy final : private admission_service {
  public:
    explicit session_proxy(const session_proxy_settings& settings);

    void handle(time_point now, const proxy_event& what, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Whether new sessions should come here.
    [[nodiscard]] bool ready() const noexcept;
    /// @brief State for operators.
    [[nodiscard]] Json::Value describe() const;

  private:
    void on(time_point now, const session_started& what, proxy_output& out);
    void on(time_point now, const statement_received& what, proxy_output& out);
    void on(time_point now, const session_broken& what, proxy_output& out);
    void on(time_point now, const session_closed& what, proxy_output& out);
    void on(time_point now, const member_ready& what, proxy_output& out);
    void on(time_point now, const member_closed& what, proxy_output& out);
    void on(time_point now, const member_replied& what, proxy_output& out);
    void on(time_point now, const promotion_answered& what, proxy_output& out);
    void on(time_point now, const store_answer& what, proxy_output& out);
    void on(time_point now, const peer_received& what, proxy_output& out);
    void on(time_point now, const peer_disconnected& what, proxy_output& out);
    void on(time_point now, const stop_requested& what, proxy_output& out);
    void on(time_point now, const timer_tick& what, proxy_output& out);

    void receive(time_point now, const peer_received& from, const membership_probe& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_announce& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_pull& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const configuration_difference& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const observation_query& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const observation_reply& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const group_hold& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const member_statement& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const attempt_result& message,
                 proxy_output& out);
    void receive(time_point now, const peer_received& from, const lease_release& message,
                 proxy_output& out);
    template <class Message>
    void receive(time_point now, const peer_received& from, const Message& message,
                 proxy_output& out);

    [[nodiscard]] admission admit(time_point now, session_id session,
                                  const organisation_id& organisation, time_point deadline,
                                  actions& out) override;
    void withdraw(session_id session) override;

    void check_pause(time_point now, proxy_output& out);
    void run_due(time_point now, proxy_output& out);
    void settle(time_point now, proxy_output& out);
    void follow_configuration(time_point now, proxy_output& out);
    void follow_fleet(time_point now, proxy_output& out);
    void settle_statements(time_point now, proxy_output& out);
    void vm_lost(const vm_id& vm, proxy_output& out);
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
    duty_lease duty_;
    group_observer observer_;
    promotion_duty promotion_;
    backend_sessions backends_;
    member_owner owner_;
    member_gateway gateway_;
    statement_executor executor_;
    revision applied_revision_;
    std::uint64_t fleet_version_{0};
    std::size_t duty_rank_{0};
    bool reported_ready_{false};
    bool leaving_{false};
    bool stopped_{false};
    time_point return_at_{}; ///< When this VM began to leave.
    time_point next_slow_tick_{};
};

} // namespace jackdawvane
