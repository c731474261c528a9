#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/limits/admission.hpp"
#include "jackdawvane/sessions/backend_chooser.hpp"
#include "jackdawvane/sessions/caller_session.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/member_gateway.hpp"
#include "jackdawvane/sessions/ports.hpp"

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

    [[nodiscard]] virtual admission admit(time_point now, session_id session,
                                          const organisation_id& organisation, time_point deadline,
                                          actions& out) = 0;
    virtual void withdraw(session_id session) = 0;
};

/// @brief Times of the statement executor.
struct executor_settings {
    chooser_settings choice;
    /// A read without an answer is also sent elsewhere after this part of its timeout.
    int hedge_divisor{3};
    /// A statement that cannot be placed is refused this long before its timeout, so that the
    /// refusal arrives in time.
    duration refusal_margin{std::chrono::milliseconds{60}};
    /// Nothing is sent to a primary that no VM has heard for this long: what a silent server is
    /// sent ends as unknown, what waits can be refused as not run. Above the status interval, the
    /// question to the observer and the round trips.
    duration primary_silence{std::chrono::milliseconds{700}};
    /// A leaving backend server gets new work for this long after the last reading that listed it
    /// as staying. It serves on for 7 s at least after it has said that it leaves, and a statement
    /// may wait up to 850 ms for a connection.
    duration leaving_use{std::chrono::milliseconds{4500}};
    /// Evidence older than this is asked for again with the next statement that needs it, before
    /// it runs out.
    duration evidence_refresh{std::chrono::milliseconds{400}};
    /// Between two tries of a statement that a backend server had no room for.
    duration retry_pause{std::chrono::milliseconds{20}};
    /// Longest wait for proof that the primary of an answered write was not replaced.
    duration confirmation_limit{std::chrono::milliseconds{700}};
    /// What a refused caller is told to wait when nothing better is known.
    duration default_retry_after{std::chrono::milliseconds{200}};
    duration domain_round_trip{std::chrono::milliseconds{1}};
    duration region_round_trip{std::chrono::milliseconds{2}};
    duration far_round_trip{std::chrono::milliseconds{17}};
    /// A session that starts before the first configuration is known waits this long for it;
    /// callers wait two seconds for the greeting.
    duration start_wait{std::chrono::milliseconds{1700}};
    /// Statements that a session may have sent ahead.
    std::size_t pipeline_limit{32};
    /// The balancer sends no new connections this long after the first failed readiness check.
    duration balancer_delay{std::chrono::milliseconds{2300}};
    duration grace{std::chrono::seconds{6}}; ///< From the stop signal to the kill.
    duration exit_margin{std::chrono::milliseconds{1200}};
};

/// @brief Runs the statements of callers' sessions on backend servers.
///
/// Filters before a statement is placed: session state, route, key, rate. Reads go to the server
/// that is expected to answer first and can prove to be new enough; writes and transactions that
/// may write go to the primary while its leadership is proved.
class statement_executor {
  public:
    /// @param last_attempt attempts are numbered after this one
    statement_executor(fleet_state& state, member_gateway& gateway, admission_service& limits,
                       executor_settings settings, attempt_id last_attempt = {});

    void on(time_point now, const session_started& what, proxy_output& out);
    void on(time_point now, const statement_received& what, proxy_output& out);
    void on(time_point now, const session_broken& what, proxy_output& out);
    void on(time_point now, const session_closed& what, proxy_output& out);
    void on_admission(time_point now, const admission& decision, proxy_output& out);
    /// @brief Starts the sessions that wait for a configuration, or refuses those that waited long.
    void start_waiting(time_point now, proxy_output& out);
    /// @brief Handles ended attempts and places what waits.
    void settle(time_point now, proxy_output& out);
    void tick(time_point now, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const noexcept { return due_; }

    /// @brief Ends sessions as they become idle.
    void leave(time_point now);
    /// @brief Whether all sessions have ended or the time for it is over.
    [[nodiscard]] bool left(time_point now) const noexcept;
    /// @brief Refuses sessions from now on: the process ends within a moment, and a caller that is
    /// let in would get no answer.
    void close() noexcept { closed_ = true; }
    [[nodiscard]] std::size_t sessions() const noexcept { return sessions_.size(); }
    /// @brief Statements that wait for a backend server.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

  private:
    struct refusal {
        statement_error problem;
        std::string detail;
    };
    /// Route of the operation in hand; a newer configuration applies from the next one.
    struct operation_route {
        std::shared_ptr<const configuration_document> configuration;
        const route_row* row{nullptr};
        group_id group;
    };
    /// Session that waits for the first configuration; the key's digest is kept, not the key.
    struct waiting_start {
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
    void start_ending(time_point now, caller_session& session, statement next, proxy_output& out);
    void start_operation(time_point now, caller_session& session, statement next,
                         proxy_output& out);
    void start_in_transaction(time_point now, caller_session& session, statement next);
    void admitted(time_point now, caller_session& session, proxy_output& out);
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
    [[nodiscard]] bool ends_soon(time_point now, const backend_directory::entry& backend) const;
    [[nodiscard]] std::vector<read_candidate> candidates(time_point now,
                                                         const caller_session& session,
                                                         const std::optional<log_point>& wanted);
    [[nodiscard]] bool send(time_point now, caller_session& session,
                            const backend_server_id& backend, std::optional<log_point> after,
                            proxy_output& out);
    void note_leaving(time_point now, const caller_session& session,
                      const backend_server_id& backend, proxy_output& out) const;
    void send_on(time_point now, caller_session& session, const backend_server_id& backend,
                 connection_id lease, const std::optional<log_point>& after, bool opens,
                 proxy_output& out);
    [[nodiscard]] duration distance_to(const backend_registration& backend) const;

    // Results.
    void take_result(time_point now, const attempt_result& result, proxy_output& out);
    void take_answer(time_point now, caller_session& session, const attempt_result& result,
                     proxy_output& out);
    void take_success(time_point now, caller_session& session, const attempt_result& result,
                      proxy_output& out);
    void take_problem(time_point now, caller_session& session, const attempt_result& result,
                      proxy_output& out);
    void take_loss(time_point now, caller_session& session, const attempt_result& result,
                   proxy_output& out);
    void check_confirmation(time_point now, caller_session& session, proxy_output& out);
    void deliver(time_point now, caller_session& session, const attempt_result& result,
                 proxy_output& out);
    void retry(time_point now, caller_session& session, const attempt_result& result,
               proxy_output& out);
    void give_up(time_point now, caller_session& session, const char* why, proxy_output& out);
    void abandon_attempts(time_point now, caller_session& session, bool discard, proxy_output& out);
    void finish(time_point now, caller_session& session, statement_reply reply, proxy_output& out);
    void refuse(time_point now, caller_session& session, statement_error problem,
                std::string detail, proxy_output& out);
    void check_work(time_point now, caller_session& session, proxy_output& out);
    void check_idle(time_point now, caller_session& session, proxy_output& out);
    void close(time_point now, session_id id, proxy_output& out);
    [[nodiscard]] std::string evidence(time_point now, const caller_session& session) const;
    [[nodiscard]] std::string unavailable(time_point now, const caller_session& session) const;
    void note(const caller_session& session, const char* outcome, const std::string& more,
              log_level level, proxy_output& out) const;

    fleet_state& state_;
    member_gateway& gateway_;
    admission_service& limits_;
    executor_settings settings_;
    id_sequence<attempt_id> attempt_ids_;
    std::map<session_id, caller_session> sessions_;
    std::map<session_id, waiting_start> starts_;
    std::map<session_id, operation_route> routes_;
    std::map<attempt_id, session_id> attempts_;
    std::set<queue_key> waiting_;
    std::set<session_id> working_; ///< Sessions with a statement in hand.
    time_point due_{};
    time_point next_idle_check_{};
    std::optional<time_point> leaving_since_;
    bool closed_{false};
};

} // namespace jackdawvane
