#pragma once

#include "jackdawvane/backends/connection_pool.hpp"
#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/failover/fencing_policy.hpp"
#include "jackdawvane/failover/group_monitor.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/fair_queue.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief A forwarded request with the VM that waits for its reply.
struct owner_request {
    forward_request request;
    vm_id from;
    time_point deadline;
    time_point arrived;
};

/// @brief Reply to a forwarded request; the node delivers it.
struct owner_reply {
    vm_id to;
    forward_reply reply;
};

/// @brief Settings of a backend owner.
struct backend_owner_settings {
    vm_id self;
    vm_incarnation incarnation;
    duration catch_up_wait{from_milliseconds(40)};      ///< Maximum wait for a replica.
    duration transaction_idle{std::chrono::seconds{5}}; ///< Idle time before a rollback.
    duration slow_after{from_milliseconds(300)};        ///< Time without an answer before a probe.
    std::size_t queue_limit{256};                       ///< Queued requests per organisation.
    connection_pool_settings pool;
};

/// @brief Runs all requests for one backend server at the VM that owns it.
///
/// Requests wait in a queue that is fair between organisations. At most as many statements are in
/// flight as the backend server has slots. A connection serves one request at a time, is pinned for
/// the duration of an interactive transaction, and is closed when its state is unknown.
class backend_owner {
  public:
    /// @param monitor view of the backend server's group; outlives this object
    backend_owner(group_id group, backend_server_id backend, group_monitor& monitor,
                  id_sequence<connection_id>& connections, id_sequence<request_id>& requests,
                  backend_owner_settings settings);

    void configure(const backend_server_row& row);

    /// @brief Accepts a request, which gets exactly one reply.
    void submit(time_point now, owner_request request, actions& out);

    /// @brief Handles an event on a connection and returns whether it belonged to this owner.
    bool on_connected(time_point now, connection_id id, actions& out);
    bool on_disconnected(time_point now, connection_id id, actions& out);
    bool on_answer(time_point now, connection_id id, const backend_answer& answer, actions& out);

    /// @brief Re-evaluates waiting writes and reads after a change of the group view.
    void on_view_change(time_point now, actions& out);

    /// @brief Stops accepting new work, because this VM no longer owns the backend server: queued
    /// requests are rejected with `wrong_owner`, those in flight finish.
    void retire(time_point now, actions& out);
    /// @brief Whether no request is queued, waiting or in flight and no transaction is open.
    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] bool retired() const noexcept { return retired_; }

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Replies made since the last call.
    [[nodiscard]] std::vector<owner_reply> take_replies();

    [[nodiscard]] Json::Value describe() const;

  private:
    /// Interactive transaction with its pinned connection.
    struct pinned_transaction {
        organisation_id organisation;
        access_mode mode{access_mode::read};
        fencing_mode fencing{fencing_mode::majority};
        connection_id connection;
        bool busy{false};
        time_point last_use;
        std::deque<owner_request> waiting;
    };

    /// Request in flight on a connection.
    struct running_request {
        owner_request job;
        request_id id;
        time_point sent;
        std::optional<transaction_id> transaction;
        duration data_age{0}; ///< Bound on the age of the data when the request was sent.
        bool reported_slow{false};
    };

    /// Write that was executed and waits for a majority, or read that waits for the backend server
    /// to catch up.
    struct waiting_write {
        owner_request job;
        backend_answer answer;
    };
    struct waiting_read {
        owner_request job;
        time_point give_up;
    };

    void dispatch(time_point now, actions& out);
    bool dispatch_transaction(time_point now, actions& out);
    bool dispatch_queued(time_point now, actions& out);
    void enqueue(time_point now, owner_request job, actions& out);
    void submit_to_transaction(time_point now, owner_request job, actions& out);
    void reply_unknown_transaction(time_point now, const owner_request& job);
    [[nodiscard]] std::optional<error> check_write(time_point now, const owner_request& job) const;
    /// @return false when the request was answered instead or waits for replication
    bool check_before_run(time_point now, owner_request& job, actions& out);
    bool check_session(time_point now, owner_request& job, const backend_status& status,
                       actions& out);
    void wait_for_position(time_point now, owner_request job, actions& out);
    void run(time_point now, connection_id connection, owner_request job,
             std::optional<transaction_id> transaction, actions& out);
    [[nodiscard]] backend_request make_request(const owner_request& job) const;

    void complete(time_point now, connection_id connection, running_request done,
                  const backend_answer& answer, actions& out);
    void complete_begin(time_point now, connection_id connection, const owner_request& job,
                        const backend_answer& answer, actions& out);
    void complete_write(time_point now, owner_request job, const backend_answer& answer,
                        actions& out);
    void complete_read(time_point now, owner_request job, const backend_answer& answer,
                       actions& out);
    [[nodiscard]] static bool exceeds_staleness(time_point now, const running_request& done);
    void fail_running(time_point now, connection_id connection, error_kind kind, actions& out);
    void end_transaction(time_point now, const transaction_id& id, bool clean, actions& out);
    void expire_transactions(time_point now, actions& out);
    void expire_running(time_point now, actions& out);
    void expire_waiting(time_point now, actions& out);

    void reply_done(time_point now, const owner_request& job, const backend_answer& answer,
                    const transaction_id& opened, actions& out);
    void reply_problem(time_point now, const owner_request& job, outcome result, error problem);
    [[nodiscard]] const fencing_policy& policy(fencing_mode mode) const;
    [[nodiscard]] bool is_primary() const;
    /// Last status of the backend server; empty before the first one.
    [[nodiscard]] const backend_status& own_status() const;

    group_id group_;
    backend_server_id backend_;
    group_monitor& monitor_;
    id_sequence<request_id>& request_ids_;
    backend_owner_settings settings_;
    backend_server_row row_;
    connection_pool pool_;
    fair_queue<owner_request> queue_;
    std::map<connection_id, running_request> running_;
    std::map<transaction_id, pinned_transaction> transactions_;
    /// Transactions that ended without a commit, the oldest first.
    std::deque<transaction_id> rolled_back_;
    std::vector<waiting_write> waiting_writes_;
    std::vector<waiting_read> waiting_reads_;
    std::vector<owner_reply> replies_;
    std::uint64_t next_transaction_{1};
    bool retired_{false};
};

} // namespace jackdawvane
