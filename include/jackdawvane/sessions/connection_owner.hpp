#pragma once

#include "jackdawvane/limits/fair_queue.hpp"
#include "jackdawvane/sessions/backend_sessions.hpp"
#include "jackdawvane/sessions/load_reporter.hpp"
#include "jackdawvane/sessions/warm_up_limiter.hpp"

#include <map>
#include <optional>
#include <vector>

namespace jackdawvane {

/// @brief Limits of the queues for backend servers.
struct owner_settings {
    /// Largest number of statements of one organisation that wait for one backend server.
    std::size_t queue_limit{64};
    /// A statement that waits longer is returned as not run, so that its entry VM retries it on
    /// another server.
    duration queue_timeout{std::chrono::milliseconds{250}};
    /// A lease without a statement for longer than this expires; its entry VM is considered gone.
    duration lease_timeout{std::chrono::seconds{8}};
    /// The newest service time has the weight 1 / `service_time_divisor` in the moving average.
    int service_time_divisor{8};
    bool reports_load{true}; ///< Results carry the load of their server.
    warm_up_settings warm_up;
};

/// @brief Result for the entry VM that sent a statement.
struct owner_result {
    vm_id entry;
    attempt_result result;
};

/// @brief Runs the statements of all entry VMs on the connections that this VM owns.
///
/// Designed for overload: more statements than slots, and one organisation that sends many times
/// its usual rate. Organisations are served in turn, by their weights. A full queue refuses
/// statements at once, and a statement that has not started within the queue timeout is returned
/// as not run.
class connection_owner {
  public:
    connection_owner(fleet_state& state, backend_sessions& backends, owner_settings settings);

    void submit(time_point now, const vm_id& entry, forwarded_statement statement,
                proxy_output& out);
    /// @brief Releases a lease. A statement of it that is still queued is not run.
    void release(time_point now, const vm_id& entry, const lease_release& release,
                 proxy_output& out);
    /// @brief Refuses statements for a short time after a pause of this VM. Those that arrive now
    /// may have been in the network buffers during the pause, and their entry VMs have given them
    /// up or retried them elsewhere.
    void paused(time_point now);
    /// @brief Releases all leases of a VM that is gone, closes their connections and removes its
    /// statements from the queues.
    void forget(const vm_id& entry, proxy_output& out);
    /// @brief Collects the results of the connections and starts queued statements.
    void settle(time_point now, proxy_output& out);
    void tick(time_point now, proxy_output& out);

    [[nodiscard]] std::vector<owner_result> take_results();
    /// @brief Whether statements of any VM are queued or running here.
    [[nodiscard]] bool busy() const;
    /// @brief Statements that were sent to backend servers and may still be answered.
    [[nodiscard]] std::size_t statements_running() const noexcept { return running_.size(); }

  private:
    struct lease_key {
        vm_id entry;
        connection_id lease;
        friend auto operator<=>(const lease_key&, const lease_key&) = default;
    };
    struct lease {
        connection_id connection;
        backend_server_id backend;
        time_point used{};
    };
    struct queued {
        vm_id entry;
        forwarded_statement statement;
        time_point deadline{no_deadline}; ///< The entry VM gives up the statement at this time.
    };
    struct running {
        lease_key key;
        attempt_id attempt;
        time_point started{};
    };

    void start(time_point now, queued next, connection_id connection, proxy_output& out);
    void drain(time_point now, const backend_server_id& backend, fair_queue<queued>& queue,
               proxy_output& out);
    void expire(time_point now, fair_queue<queued>& queue);
    /// Whether the server of @a statement is warming up and has no token for it.
    [[nodiscard]] bool warm_up_refuses(time_point now, const forwarded_statement& statement);
    /// Returns @a next as not run for want of such a token.
    void refuse_warming_up(time_point now, const queued& next, proxy_output& out);
    /// Returns @a next as not run, because the domain of its server is evacuated.
    void refuse_evacuated(time_point now, const queued& next, proxy_output& out);
    void report_not_run(const queued& entry, statement_error problem);
    /// Removes the statement of a released lease from the queue that it waits in, if any.
    void withdraw(const vm_id& entry, const lease_release& release);
    /// Tells the entry VM that the running statements of a lease get no answer.
    void end_statements(const lease_key& key, const backend_server_id& backend);
    /// Closes the connection of a lease. Its statements are not answered any more.
    void discard(const lease_key& key, connection_id connection, proxy_output& out);
    void report(const vm_id& entry, attempt_result result);
    void measure(const backend_server_id& backend, duration service_time);
    [[nodiscard]] std::optional<server_load> due_load(const vm_id& entry,
                                                      const backend_server_id& backend);
    [[nodiscard]] server_load load_of(const backend_server_id& backend) const;

    fleet_state& state_;
    backend_sessions& backends_;
    owner_settings settings_;
    warm_up_limiter warm_up_;
    /// Log lines about refusals of warming servers: the last one of each.
    std::map<backend_server_id, time_point> warm_up_reported_at_;
    id_sequence<request_id> queue_ids_;
    id_sequence<attempt_id> attempt_ids_;
    std::map<backend_server_id, fair_queue<queued>> queues_;
    std::map<lease_key, lease> leases_;
    std::map<attempt_id, running> running_;
    std::map<backend_server_id, duration> service_times_; ///< Moving averages.
    load_reporter reporter_;
    time_point present_{}; ///< Time of the current call; the loads of its results are of this time.
    std::vector<owner_result> results_;
    time_point backlog_until_{}; ///< Earlier arrivals may have waited during a pause.
};

} // namespace jackdawvane
