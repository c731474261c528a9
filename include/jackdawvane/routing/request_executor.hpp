#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/admission.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/routing/router.hpp"
#include "jackdawvane/routing/transaction_handle.hpp"

#include <utility>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawvane {

/// @brief Input for choosing the backend servers of one request.
struct routing_query {
    const pool_row& pool;
    group_id group;
    access_mode mode;
    std::string partition;
};

/// @brief Services that the node provides to its request executor.
class request_services {
  public:
    request_services() = default;
    request_services(const request_services&) = delete;
    request_services& operator=(const request_services&) = delete;
    virtual ~request_services() = default;

    /// @brief Configuration in force; null until the first one has arrived.
    [[nodiscard]] virtual const configuration_document* configuration() const = 0;
    /// @brief Organisation that a caller's API key belongs to.
    [[nodiscard]] virtual result<organisation_id> authenticate(const std::string& key) const = 0;
    /// @brief Whether this VM has contact neither to the store nor to another failure domain.
    [[nodiscard]] virtual bool isolated(time_point now) const = 0;
    /// @brief Requests a token of the organisation's rate limit. A pending verdict is followed by a
    /// call of @ref request_executor::on_admission.
    [[nodiscard]] virtual admission admit(time_point now, caller_id caller,
                                          const organisation_id& organisation, time_point deadline,
                                          actions& out) = 0;
    /// @brief Backend servers to try, in order of preference.
    [[nodiscard]] virtual std::vector<backend_server_id> plan(time_point now,
                                                              const routing_query& query) = 0;
    /// @brief Records that a backend server could not serve a read, so that others are preferred.
    virtual void avoid(time_point now, const backend_server_id& backend,
                       routing_failure failure) = 0;
    /// @brief Group of a pool that holds @a partition.
    [[nodiscard]] virtual group_id choose_group(const pool_row& pool,
                                                const std::string& partition) const = 0;
    /// @brief Sends a request to the owner of its backend server, or to @a owner if not null.
    /// @return the VM that it was sent to, or nothing if there is none
    virtual std::optional<vm_id> forward(time_point now, const forward_request& request,
                                         const vm_id* owner, actions& out) = 0;
    /// @brief Updates this VM's view of a group from an owner's summary.
    virtual void learn(const group_summary& summary) = 0;
};

/// @brief Settings of a request executor.
struct request_executor_settings {
    duration retry_delay{from_milliseconds(15)}; ///< Delay between attempts during a failover.
    duration failover_wait{
        std::chrono::seconds{2}}; ///< Time after arrival in which attempts are retried.
    duration reply_margin{from_milliseconds(25)}; ///< Reserved for the return of the answer.
    duration default_retry_after{from_milliseconds(200)};
};

/// @brief Executes callers' requests at the entry VM.
///
/// A request passes the filters, then the rate limit, and is then forwarded to the owner of a
/// backend server. Every attempt has its own id, so answers to earlier attempts are dropped. A
/// write is retried only if an answer says that it did not run; a read is also retried if there is
/// no answer.
class request_executor {
  public:
    request_executor(request_services& services, id_sequence<request_id>& ids,
                     request_executor_settings settings = {});

    /// @brief Starts a caller's request. Each request gets exactly one answer, unless its caller
    /// disconnects.
    void on_caller(time_point now, caller_request request, actions& out);
    /// @brief Drops the request of a caller that no longer waits. A forwarded write may still run.
    void on_caller_disconnected(caller_id caller);
    /// @brief Handles the final verdict on a request whose admission was pending.
    void on_admission(time_point now, caller_id caller, const admission& verdict, actions& out);
    /// @brief Handles an owner's answer.
    void on_reply(time_point now, const forward_reply& reply, actions& out);
    /// @brief Ends all attempts at @a vm, whose requests may be lost.
    void on_vm_lost(time_point now, const vm_id& vm, actions& out);

    /// @brief Refuses new single requests and transactions from now on.
    void leave() noexcept { leaving_ = true; }
    /// @brief Number of requests in flight.
    [[nodiscard]] std::size_t pending() const noexcept { return requests_.size(); }

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

  private:
    enum class phase { admission, attempt, retry };

    struct pending_request {
        caller_request request;
        organisation_id organisation;
        route_row route;                          ///< Route settings when the request arrived.
        std::optional<transaction_handle> pinned; ///< Set for requests in an open transaction.
        group_id group;
        std::vector<session_position> session;
        std::vector<backend_server_id> targets;
        std::size_t next_target{0};
        std::uint32_t replans{0}; ///< New plans since the last retry delay.
        phase state{phase::admission};
        time_point received;
        time_point deadline;
        time_point attempt_deadline;
        time_point timer_due;
        request_id attempt;
        vm_id attempt_vm;
        bool may_have_run{false}; ///< An attempt of a read ended without an answer.
        error last_problem{error_kind::no_backend_server, {}, {}};
    };

    using filter = std::optional<error> (request_executor::*)(time_point, pending_request&) const;

    /// First error of the filters, in their order.
    [[nodiscard]] std::optional<error> run_filters(time_point now, pending_request& r) const;

    [[nodiscard]] std::optional<error> check_accepting(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> find_target(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> find_transaction(pending_request& r) const;
    [[nodiscard]] std::optional<error> check_key(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> check_isolation(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> check_request(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> parse_session(time_point now, pending_request& r) const;
    [[nodiscard]] std::optional<error> set_deadline(time_point now, pending_request& r) const;

    void admit(time_point now, pending_request& r, actions& out);
    void plan(time_point now, pending_request& r);
    [[nodiscard]] const pool_row* pool_of(const pending_request& r) const;
    void try_next(time_point now, pending_request& r, actions& out);
    bool send_attempt(time_point now, pending_request& r, const backend_server_id& backend,
                      actions& out);
    [[nodiscard]] forward_request make_forward(time_point now, const pending_request& r,
                                               const backend_server_id& backend) const;
    void retry_later(time_point now, pending_request& r, actions& out);
    void attempt_failed(time_point now, pending_request& r, outcome result, const error& problem,
                        const group_summary* summary, actions& out);
    void attempt_unanswered(time_point now, pending_request& r, actions& out);
    void finish(pending_request& r, const forward_reply& reply, actions& out);
    void refuse(pending_request& r, outcome result, error problem, actions& out);
    void forget(caller_id caller);
    void set_timer(pending_request& r, time_point when);
    void end_attempt(pending_request& r);
    void expire(time_point now, pending_request& r, actions& out);

    request_services& services_;
    id_sequence<request_id>& ids_;
    request_executor_settings settings_;
    bool leaving_{false};
    std::unordered_map<caller_id, pending_request> requests_;
    std::unordered_map<request_id, caller_id> attempts_;
    std::set<std::pair<time_point, caller_id>> timers_;
};

} // namespace jackdawvane
