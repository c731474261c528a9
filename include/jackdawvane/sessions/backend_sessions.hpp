#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/ports.hpp"
#include "jackdawvane/sessions/reply_matcher.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Limits of the connections to backend servers.
struct backend_session_settings {
    /// Largest fraction of a backend server's connection limit that its owner opens. The server
    /// still counts the connections of a VM that has lost power for some seconds, and the next
    /// owner needs connections in that time.
    double max_open_fraction{0.6};
    /// Largest fraction of a backend server's connection limit that the owner keeps idle. It can be
    /// small because opening a connection occupies a slot for only some milliseconds.
    double max_idle_fraction{0.2};
    /// Concurrent statements at one backend server, per slot of the server. More would wait in the
    /// server's queue, where organisations are not served in turn.
    std::uint32_t concurrency_per_slot{2};
    /// Time after which an idle connection is closed; backend servers close idle connections after
    /// a minute.
    duration idle_timeout{std::chrono::seconds{12}};
    /// A connection that has received nothing for longer than this is validated with a reset before
    /// a write is sent on it.
    duration validate_after_inactivity{std::chrono::milliseconds{1500}};
    /// Time within which a connection has to open.
    duration connect_timeout{std::chrono::milliseconds{600}};
    /// A released connection is closed when its oldest command has had no reply for this long.
    duration abandoned_timeout{std::chrono::seconds{3}};
    /// Time for which no new statement is started on a backend server that has refused a connection
    /// because it has too many.
    duration busy_backoff{std::chrono::milliseconds{25}};
    /// For this long after a refusal for too many connections, no more connections are opened than
    /// were open at the refusal. A server still counts the connections of a VM that has lost power
    /// for some seconds.
    duration accepted_limit_ttl{std::chrono::seconds{1}};
    /// For this long after a server has refused a statement because its log is behind, statements
    /// that need a later position than it had are refused without asking it again.
    duration lagging_backoff{std::chrono::milliseconds{20}};
    /// Time for which a server is not used after a failed connection attempt.
    duration failure_backoff{std::chrono::milliseconds{250}};
};

/// @brief What a statement requires of its connection.
struct session_needs {
    organisation_id organisation;
    const std::map<std::string, std::string>* values{nullptr};
    const prepared_statement* prepared{nullptr}; ///< Null if the statement is not prepared.
    bool writes{false};
    time_point deadline{no_deadline}; ///< The entry VM gives up the statement at this time.
};

/// @brief Pool of this VM's connections to backend servers, with the state of their sessions.
///
/// A connection belongs to one organisation and is used by one caller's session at a time. Before
/// a statement, the caller's session variables and prepared statement are set on the connection
/// unless it has them already. The statement is sent once the server has confirmed all of them:
/// with another state it would run with another caller's values.
class backend_sessions {
  public:
    backend_sessions(fleet_state& state, backend_session_settings settings,
                     id_sequence<connection_id>& ids);

    /// @brief Whether a statement can be started on @a backend now.
    [[nodiscard]] bool has_capacity(time_point now, const backend_server_id& backend) const;
    /// @brief Whether the log of @a backend has recently been found to be before @a required.
    [[nodiscard]] bool lags(time_point now, const backend_server_id& backend,
                            const log_point& required) const;
    /// @brief Takes an idle connection of the organisation or opens a new one.
    /// @return nothing when the backend server is not registered, or when the connection limit is
    /// reached and no idle connection of another organisation can be closed
    [[nodiscard]] std::optional<connection_id> acquire(time_point now,
                                                       const backend_server_id& backend,
                                                       const session_needs& needs,
                                                       proxy_output& out);
    /// @brief Sends @a main on an acquired connection.
    /// @param begin `begin` or `begin_read` to open a transaction first, or nothing; the statement
    /// is sent only after the session state is set and the transaction is open
    ///
    /// The connection is closed when there is no answer by the statement's deadline: the entry VM
    /// may have retried the statement elsewhere, and one that is delayed by a network partition
    /// must not run later.
    void send(time_point now, connection_id connection, attempt_id attempt,
              const session_needs& needs, std::optional<backend_command> begin,
              backend_command main, proxy_output& out);
    /// @brief Whether the connection exists and has not been closed.
    [[nodiscard]] bool holds(connection_id connection) const {
        return sessions_.contains(connection);
    }
    /// @brief Returns a connection to the pool; rolls back an open transaction first.
    void release(time_point now, connection_id connection, bool in_transaction, proxy_output& out);
    /// @brief Closes a connection, for example because its session state is unknown.
    void discard(connection_id connection, proxy_output& out);

    /// @return whether the connection belongs to this pool, as for `on_closed` and `on_reply`
    bool on_ready(time_point now, const server_connected& ready, proxy_output& out);
    bool on_closed(time_point now, const server_disconnected& closed, proxy_output& out);
    bool on_reply(time_point now, const server_replied& replied, proxy_output& out);
    void tick(time_point now, proxy_output& out);

    /// @brief Attempts that have ended since the last call.
    [[nodiscard]] std::vector<attempt_result> take_results();

    /// @brief Whether a connection attempt to @a backend failed within `failure_backoff`.
    [[nodiscard]] bool recently_failed(time_point now, const backend_server_id& backend) const;
    /// @brief Statements in progress at @a backend on connections of this VM.
    [[nodiscard]] std::uint32_t running(const backend_server_id& backend) const;
    [[nodiscard]] std::size_t size() const noexcept { return sessions_.size(); }
    /// @brief Closes the idle connections to @a backend.
    void close_idle(const backend_server_id& backend, proxy_output& out);
    /// @brief Closes all idle connections because this VM leaves the fleet.
    void leave(proxy_output& out);

  private:
    /// `setup` is the last of the preparations that a statement waits for.
    enum class reply_kind { preparation, setup, begin, main, rollback };
    struct expected_reply {
        reply_kind kind{reply_kind::preparation};
        reply_form form{reply_form::session_value};
        attempt_id attempt;
        time_point sent{};
    };
    struct pooled_session {
        backend_server_id backend;
        group_id group;
        organisation_id organisation;
        bool open{false};
        bool in_use{false};
        bool release_when_drained{false};
        bool replace_when_released{false}; ///< Closed instead of becoming idle.
        bool writes{false};                ///< Whether the current statement writes.
        time_point opened_at{};
        time_point last_received{};
        time_point deadline{no_deadline}; ///< Of the current statement.
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        /// Names are not used again after a reset: if a prepare failed unnoticed, its name would
        /// run an earlier statement.
        std::uint64_t last_prepared_name{0};
        reply_matcher matcher;
        std::deque<expected_reply> expected_replies;
        /// Sent after the reply to the last preparation.
        std::optional<backend_command> pending_begin;
        /// Statement that is sent after the reply to `begin` or to the last preparation, or after
        /// the connection has opened.
        std::optional<backend_command> pending_main;
        attempt_id pending_attempt;
        bool main_waits_for_open{false};
    };
    struct backend_load {
        std::uint32_t open{0};    ///< Connections, including those that are being opened.
        std::uint32_t opening{0}; ///< Each occupies a slot of the server for some milliseconds.
        std::uint32_t running{0};
        /// Connections that the server accepted at the last refusal; a limit until
        /// `accepted_limit_until`.
        std::uint32_t accepted_limit{0};
        time_point accepted_limit_until{time_point::min()};
        time_point busy_until{time_point::min()};
        time_point failed_until{time_point::min()};
        log_point lagging_position; ///< End of the log when it was last found behind.
        time_point lagging_until{time_point::min()};
    };

    void apply_session_state(time_point now, pooled_session& session, const session_needs& needs,
                             bool force_reset, std::vector<backend_command>& commands);
    void expect_reply(time_point now, pooled_session& session, reply_kind kind, reply_form form,
                      attempt_id attempt);
    void expect_main(time_point now, pooled_session& session, attempt_id attempt);
    /// Handles an answer that is not proved to belong to the oldest pending command.
    void on_foreign_reply(time_point now, const server_replied& replied, reply_verdict verdict,
                          proxy_output& out);
    void apply_reply(time_point now, const server_replied& replied, proxy_output& out);
    void send_pending(time_point now, connection_id id, attempt_id attempt, proxy_output& out);
    void finish_running(const pooled_session& session, const expected_reply& ended);
    [[nodiscard]] static bool overdue(time_point now, const pooled_session& session);
    void become_idle(time_point now, connection_id id, proxy_output& out);
    void erase(connection_id id);
    void fail_open_attempts(connection_id id, pooled_session& session,
                            const server_disconnected& closed);
    [[nodiscard]] std::uint32_t max_connections(const backend_registration& backend,
                                                double fraction) const;
    [[nodiscard]] std::uint32_t open_limit(time_point now,
                                           const backend_registration& backend) const;
    [[nodiscard]] std::uint32_t
    concurrency_limit(const backend_registration& backend) const noexcept;
    void lower_accepted_limit(time_point now, backend_load& load) const;
    void trim_idle(const backend_registration& backend, proxy_output& out);
    [[nodiscard]] std::uint64_t match_score(const pooled_session& session,
                                            const session_needs& needs) const;

    fleet_state& state_;
    backend_session_settings settings_;
    id_sequence<connection_id>& ids_;
    std::map<connection_id, pooled_session> sessions_;
    std::map<backend_server_id, backend_load> loads_;
    std::vector<attempt_result> results_;
    time_point next_sweep_{};
};

} // namespace jackdawvane
