#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/limits/admission.hpp"
#include "jackdawvane/routing/region_policy.hpp"
#include "jackdawvane/routing/zone_spillover.hpp"
#include "jackdawvane/sessions/backend_chooser.hpp"
#include "jackdawvane/sessions/caller_session.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/ports.hpp"
#include "jackdawvane/sessions/statement_forwarder.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace jackdawvane {

/// @brief Decides whether an organisation may start an operation now.
class admission_service {
  public:
    admission_service() = default;
    admission_service(const admission_service&) = delete;
    admission_service& operator=(const admission_service&) = delete;
    admission_service(admission_service&&) = delete;
    admission_service& operator=(admission_service&&) = delete;
    virtual ~admission_service() = default;

    /// @param request its handle is the number of the session
    [[nodiscard]] virtual admission admit(time_point now, const admission_request& request,
                                          actions& out) = 0;
    virtual void withdraw(session_id session) = 0;
};

/// @brief Time limits, delays and queue limits of the statement executor.
struct executor_settings {
    /// Reads are placed by the reported load of the fleet, by passive health checks and by
    /// distance.
    bool placement_by_load{true};
    chooser_settings choice;
    spillover_settings spillover;
    /// A read without an answer is hedged, that is also sent to another server, after its timeout
    /// divided by this.
    int hedge_divisor{3};
    /// A statement for which no backend server is available is refused this long before its
    /// timeout, so that the refusal reaches the caller in time.
    duration refusal_margin{std::chrono::milliseconds{60}};
    /// No statement is sent to a primary that has not answered any VM for this long: a write sent
    /// to an unresponsive server ends with an unknown outcome, while a waiting one can still be
    /// refused as not run. Exceeds the sum of the status interval, the query to the observer and
    /// the round trips.
    duration primary_timeout{std::chrono::milliseconds{700}};
    /// A leaving backend server gets new statements for this long after the last read of the
    /// registry that did not list it as leaving. It serves for at least 7 s after it has announced
    /// that it leaves, and a statement may wait up to 850 ms for a connection.
    duration leaving_use_limit{std::chrono::milliseconds{4500}};
    /// The next statement that needs evidence of the leadership requests new evidence when the
    /// present one is older than this, so that it is renewed before it expires.
    duration evidence_refresh_age{std::chrono::milliseconds{400}};
    /// Delay between two attempts at the same backend server, for example when it had no capacity.
    duration retry_delay{std::chrono::milliseconds{20}};
    /// Longest wait, after the answer to a commit, for evidence that its primary was not replaced.
    duration confirmation_limit{std::chrono::milliseconds{700}};
    /// Wait that a refusal suggests to the caller when the rate limiter gives none.
    duration default_retry_after{std::chrono::milliseconds{200}};
    /// As above, when the operator's requests exclude every server that could run the statement.
    /// Such a state lasts for seconds at least.
    duration unservable_retry_after{std::chrono::milliseconds{1000}};
    duration same_domain_round_trip{std::chrono::milliseconds{1}};
    duration same_region_round_trip{std::chrono::milliseconds{2}};
    duration cross_region_round_trip{std::chrono::milliseconds{17}};
    /// A session that starts before the first configuration is known waits this long for it.
    /// Below the 2 s for which callers wait for the session to be accepted.
    duration configuration_wait{std::chrono::milliseconds{1700}};
    /// Statements of a session that may be queued behind the one being run.
    std::size_t pipeline_limit{32};
    /// Bytes of the statements that may be queued: two of the largest size.
    std::size_t pipeline_bytes{std::size_t{2} * 1024 * 1024};
    /// Bytes of the variables and prepared statements of all sessions, which are kept while idle
    /// sessions are open and are sent with their statements.
    std::size_t state_bytes{std::size_t{16} * 1000 * 1000};
    /// Bytes of them that each session may have although all together exceed `state_bytes`.
    std::size_t session_state_allowance{2048};
    /// Time after the first failed readiness check until the load balancer opens no more
    /// connections.
    duration load_balancer_delay{std::chrono::milliseconds{2300}};
    duration grace{std::chrono::seconds{6}}; ///< Time from the stop signal to the kill signal.
    /// The graceful shutdown ends this long before the kill signal; statements that are still
    /// running are answered then.
    duration exit_margin{std::chrono::milliseconds{1200}};
};

/// @brief Runs the statements of callers' sessions on backend servers.
///
/// A statement is checked against the session's state, the route, the key and the rate limit
/// before a backend server is chosen. Reads go to the server that is expected to answer first;
/// a replica runs them only once it has reached the required log point. Writes and transactions
/// that may write go to the primary while its leadership is confirmed.
class statement_executor {
  public:
    /// @param last_attempt the first attempt gets the id after this one
    statement_executor(fleet_state& state, statement_forwarder& forwarder,
                       admission_service& limits, executor_settings settings,
                       attempt_id last_attempt = {});

    void on(time_point now, const session_started& what, proxy_output& out);
    void on(time_point now, const statement_received& what, proxy_output& out);
    void on(time_point now, const session_broken& what, proxy_output& out);
    void on(time_point now, const session_closed& what, proxy_output& out);
    void on_admission(time_point now, const admission& decision, proxy_output& out);
    /// @brief Opens the sessions that wait for the first configuration once it is known, and
    /// rejects those that have waited for `configuration_wait`.
    void open_pending_sessions(time_point now, proxy_output& out);
    /// @brief Handles the results of attempts and sends the waiting statements.
    void settle(time_point now, proxy_output& out);
    void tick(time_point now, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const noexcept { return next_tick_; }

    /// @brief Begins the graceful shutdown.
    ///
    /// Once the load balancer opens no more connections, a session ends when it is idle or its
    /// operation has ended. After half of the grace time no operation begins. At `exit_time` every
    /// statement without an answer gets its final one, and all sessions end.
    void leave(time_point now);
    /// @brief Whether the graceful shutdown is complete: all sessions have ended.
    [[nodiscard]] bool left(time_point now) const noexcept;
    /// @brief When the graceful shutdown ends at the latest; `no_deadline` before `leave`.
    [[nodiscard]] time_point exit_time() const noexcept;
    /// @brief Rejects new sessions from now on: the process is about to exit, and an accepted
    /// caller would get no answer.
    void close() noexcept { closed_ = true; }
    [[nodiscard]] std::size_t sessions() const noexcept { return sessions_.size(); }
    /// @brief Statements that wait for a backend server.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

  private:
    struct refusal {
        statement_error problem;
        std::string detail;
    };
    /// Route of the current operation; a newer configuration applies from the next operation on.
    struct operation_route {
        std::shared_ptr<const configuration_document> configuration;
        const route_row* row{nullptr};
        group_id group;
        region_policy regions;
    };
    /// Session that waits for the first configuration. Holds the digest of the key, not the key.
    struct pending_session {
        route_name database;
        key_digest key;
        time_point since{};
    };
    using queue_key = std::tuple<std::uint32_t, time_point, session_id>;

    void open_session(time_point now, session_id id, const route_name& database,
                      const key_digest& key, proxy_output& out);

    // Sessions and statements that need no backend server.
    void start_next(time_point now, caller_session& session, proxy_output& out);
    void start(time_point now, caller_session& session, statement next, proxy_output& out);
    void start_local(time_point now, caller_session& session, const statement& next,
                     proxy_output& out);
    [[nodiscard]] bool reserve_state(caller_session& session, const statement& next);
    void start_ending(time_point now, caller_session& session, statement next, proxy_output& out);
    void start_operation(time_point now, caller_session& session, statement next,
                         proxy_output& out);
    void start_in_transaction(time_point now, caller_session& session, statement next,
                              proxy_output& out);
    void on_admitted(time_point now, caller_session& session, proxy_output& out);
    [[nodiscard]] std::optional<refusal> select_route(caller_session& session);
    [[nodiscard]] bool writes(const caller_session& session, const statement& next) const;
    void end_transaction(time_point now, caller_session& session, proxy_output& out);

    // Placement.
    void place_waiting(time_point now, proxy_output& out);
    void enqueue(caller_session& session);
    void dequeue(caller_session& session);
    [[nodiscard]] bool place(time_point now, caller_session& session, proxy_output& out);
    [[nodiscard]] bool place_on_primary(time_point now, caller_session& session, proxy_output& out);
    [[nodiscard]] bool place_read(time_point now, caller_session& session, proxy_output& out);
    [[nodiscard]] bool place_in_transaction(time_point now, caller_session& session,
                                            proxy_output& out);
    [[nodiscard]] std::optional<log_point> required_point(time_point now, caller_session& session);
    [[nodiscard]] bool may_stop_soon(time_point now, const backend_directory::entry& backend) const;
    [[nodiscard]] std::vector<read_candidate> candidates(time_point now,
                                                         const caller_session& session,
                                                         const std::optional<log_point>& required);
    [[nodiscard]] bool send(time_point now, caller_session& session,
                            const backend_server_id& backend, std::optional<log_point> after,
                            proxy_output& out);
    [[nodiscard]] std::optional<backend_server_id> choose_read(time_point now,
                                                               caller_session& session,
                                                               std::vector<read_candidate> found,
                                                               proxy_output& out);
    [[nodiscard]] std::optional<backend_server_id> apply_health(time_point now,
                                                                const caller_session& session,
                                                                std::vector<read_candidate>& found,
                                                                proxy_output& out);
    void apply_spillover(time_point now, const group_id& group, std::vector<read_candidate>& found,
                         proxy_output& out);
    [[nodiscard]] read_reach reach_of(const read_candidate& candidate) const;
    [[nodiscard]] spillover_input spillover_costs(time_point now,
                                                  const std::vector<read_candidate>& found) const;
    void log_spillover(const group_id& group, const spillover_input& costs, proxy_output& out);
    void log_health_changes(proxy_output& out);
    [[nodiscard]] std::uint64_t draw();
    void log_use_of_leaving(time_point now, const caller_session& session,
                            const backend_server_id& backend, proxy_output& out) const;
    void send_attempt(time_point now, caller_session& session, const backend_server_id& backend,
                      connection_id lease, const std::optional<log_point>& after, bool opens,
                      proxy_output& out);
    [[nodiscard]] duration distance_to(const backend_registration& backend) const;

    // Requests that no backend server can run, and evacuated domains.
    [[nodiscard]] bool may_run_at(const caller_session& session,
                                  const backend_directory::entry& backend) const;
    [[nodiscard]] bool may_read_at(time_point now, const caller_session& session,
                                   const backend_directory::entry& backend) const;
    [[nodiscard]] std::optional<std::string> unservable_reason(const caller_session& session);
    [[nodiscard]] bool refuse_if_unservable(time_point now, caller_session& session,
                                            proxy_output& out);
    [[nodiscard]] bool abort_if_evacuated(time_point now, caller_session& session,
                                          proxy_output& out);

    // Results.
    void handle_result(time_point now, const attempt_result& result, proxy_output& out);
    void handle_reply(time_point now, caller_session& session, const attempt_result& result,
                      proxy_output& out);
    void handle_success(time_point now, caller_session& session, const attempt_result& result,
                        proxy_output& out);
    void handle_error(time_point now, caller_session& session, const attempt_result& result,
                      proxy_output& out);
    void handle_connection_loss(time_point now, caller_session& session,
                                const attempt_result& result, proxy_output& out);
    void check_confirmation(time_point now, caller_session& session, proxy_output& out);
    void give_up_confirmation(time_point now, caller_session& session, const char* why,
                              proxy_output& out);
    void deliver(time_point now, caller_session& session, const attempt_result& result,
                 proxy_output& out);
    void retry(time_point now, caller_session& session, const attempt_result& result,
               proxy_output& out);
    void give_up(time_point now, caller_session& session, const char* why, proxy_output& out);
    void abandon_attempts(time_point now, caller_session& session, bool discard, proxy_output& out);
    void finish(time_point now, caller_session& session, statement_reply reply, proxy_output& out);
    void refuse(time_point now, caller_session& session, statement_error problem,
                std::string detail, proxy_output& out);
    void check_progress(time_point now, caller_session& session, proxy_output& out);
    void check_idle(time_point now, caller_session& session, proxy_output& out);

    // Graceful shutdown.
    [[nodiscard]] bool ends_sessions(time_point now) const noexcept;
    [[nodiscard]] bool refuses_operations(time_point now) const noexcept;
    [[nodiscard]] bool may_end(time_point now, const caller_session& session) const noexcept;
    void end_after_operation(time_point now, session_id id, proxy_output& out);
    void end_unanswered(time_point now, caller_session& session, proxy_output& out);
    void end_all_sessions(time_point now, proxy_output& out);
    void close(time_point now, session_id id, proxy_output& out);
    [[nodiscard]] std::string leadership_evidence(time_point now,
                                                  const caller_session& session) const;
    [[nodiscard]] std::string unavailable_reason(time_point now,
                                                 const caller_session& session) const;
    void log_statement(const caller_session& session, const char* outcome,
                       const std::string& details, log_level level, proxy_output& out) const;

    fleet_state& state_;
    statement_forwarder& forwarder_;
    admission_service& limits_;
    executor_settings settings_;
    id_sequence<attempt_id> attempt_ids_;
    std::map<session_id, caller_session> sessions_;
    std::map<session_id, pending_session> pending_sessions_;
    std::map<session_id, operation_route> routes_;
    std::map<attempt_id, session_id> attempts_;
    std::set<queue_key> waiting_;
    struct group_spillover {
        zone_spillover shares;
        double logged_domain{0}; ///< Share that was logged last.
        double logged_region{0};
    };
    std::map<group_id, group_spillover> spillovers_;
    std::uint64_t draws_{0};
    std::size_t state_bytes_{0};           ///< Of all sessions.
    std::set<session_id> active_sessions_; ///< Sessions with a current statement.
    time_point next_tick_{};
    time_point next_idle_check_{};
    std::optional<time_point> leaving_since_;
    bool closed_{false};
};

} // namespace jackdawvane
