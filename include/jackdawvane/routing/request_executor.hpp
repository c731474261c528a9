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

/// @brief What the executor needs to know to order backend servers for one attempt.
struct routing_query {
    const pool_row& pool;
    group_id group;
    access_mode mode;
    std::string partition;
};

/// @brief What a request executor needs from the rest of its node.
class request_services {
  public:
    request_services() = default;
    request_services(const request_services&) = delete;
    request_services& operator=(const request_services&) = delete;
    virtual ~request_services() = default;

    /// @brief Configuration in force; null before the first one arrived.
    [[nodiscard]] virtual const configuration_document* configuration() const = 0;
    /// @brief Organisation of a caller's key.
    [[nodiscard]] virtual result<organisation_id> authenticate(const std::string& key) const = 0;
    /// @brief Whether this failure domain is cut off from the store and all other domains.
    [[nodiscard]] virtual bool isolated(time_point now) const = 0;
    /// @brief Takes a token of the organisation's rate; a pending verdict is followed by @ref
    /// request_executor::on_admission.
    [[nodiscard]] virtual admission admit(time_point now, caller_id caller,
                                          const organisation_id& organisation, time_point deadline,
                                          actions& out) = 0;
    /// @brief Backend servers to try, in order.
    [[nodiscard]] virtual std::vector<backend_server_id> plan(time_point now,
                                                              const routing_query& query) = 0;
    /// @brief Notes that a backend server could not serve, so that others are preferred.
    virtual void avoid(time_point now, const backend_server_id& backend,
                       routing_trouble trouble) = 0;
    /// @brief Group of a pool that holds @a partition.
    [[nodiscard]] virtual group_id choose_group(const pool_row& pool,
                                                const std::string& partition) const = 0;
    /// @brief Sends a request to the owner of its backend server, or to @a owner when given.
    /// @return the VM that it went to, or nothing when there is none
    virtual std::optional<vm_id> forward(time_point now, const forward_request& request,
                                         const vm_id* owner, actions& out) = 0;
    /// @brief Takes over what an owner knows about a group.
    virtual void learn(const group_summary& summary) = 0;
};

/// @brief Settings of a request executor.
struct request_executor_settings {
    duration retry_delay{from_milliseconds(15)};     ///< Between attempts during a failover.
    duration failover_wait{std::chrono::seconds{2}}; ///< Longest search for a primary.
    duration reply_margin{from_milliseconds(25)};    ///< Time left for the owner's answer.
    duration default_retry_after{from_milliseconds(200)};
};

/// @brief Runs callers' requests at the entry VM.
///
/// A request passes the filters, then the rate limit, then is forwarded to the owner of a backend
/// server. Every attempt has its own id, so answers of earlier attempts are dropped. A write is
/// sent again only after an answer that says that it did not run; a read also after silence.
class request_executor {
  public:
    request_executor(request_services& services, id_sequence<request_id>& ids,
                     request_executor_settings settings = {});

    /// @brief Takes a caller's request. Every request gets exactly one answer.
    void on_caller(time_point now, caller_request request, actions& out);
    /// @brief The caller no longer waits; its request is forgotten, a write may still run.
    void on_caller_gone(caller_id caller);
    /// @brief Final verdict on a request whose admission was pending.
    void on_admission(time_point now, caller_id caller, const admission& verdict, actions& out);
    /// @brief An owner's answer.
    void on_reply(time_point now, const forward_reply& reply, actions& out);
    /// @brief Requests that went to @a vm may be lost.
    void on_vm_lost(time_point now, const vm_id& vm, actions& out);

    /// @brief Refuses new requests from now on.
    void leave() noexcept { leaving_ = true; }
    /// @brief Requests without an answer yet.
    [[nodiscard]] std::size_t pending() const noexcept { return requests_.size(); }

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

  private:
    enum class phase { admission, attempt, retry };

    struct pending_request {
        caller_request request;
        organisation_id organisation;
        route_row route;                          ///< As it was when the request arrived.
        std::optional<transaction_handle> pinned; ///< Set for follow-ups of a transaction.
        group_id group;
        std::vector<session_position> session;
        std::vector<backend_server_id> targets;
        std::size_t next_target{0};
        std::uint32_t replans{0}; ///< New plans since the last delay.
        phase state{phase::admission};
        time_point received;
        time_point deadline;
        time_point attempt_deadline;
        time_point wake;
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
    void attempt_silent(time_point now, pending_request& r, actions& out);
    void finish(pending_request& r, const forward_reply& reply, actions& out);
    void refuse(pending_request& r, outcome result, error problem, actions& out);
    void forget(caller_id caller);
    void set_wake(pending_request& r, time_point when);
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
