#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/ports.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Limits of the connections to backend servers.
struct backend_session_settings {
    /// Part of a backend server's connections that its owner opens at most. The server keeps those
    /// of a VM that has lost power for some seconds, and the next owner needs some meanwhile.
    double open_part{0.6};
    /// Part of a backend server's connections that the owner keeps idle. A new one costs a slot
    /// for some milliseconds only.
    double idle_part{0.2};
    /// Statements in hand at one backend server, in slots of the server. More would wait in the
    /// server's queue, where organisations are not served in turn.
    std::uint32_t window_per_slot{2};
    /// An idle connection is closed after this; backend servers close them after a minute.
    duration idle_limit{std::chrono::seconds{12}};
    /// A connection that was silent for longer is checked before a write is sent on it.
    duration trusted_for{std::chrono::milliseconds{1500}};
    /// A connection that is not open after this is given up.
    duration connect_limit{std::chrono::milliseconds{600}};
    /// A statement that nobody waits for any more is given this long to end.
    duration abandoned_limit{std::chrono::seconds{3}};
    /// After a refusal for lack of capacity nothing more is sent for this long.
    duration busy_pause{std::chrono::milliseconds{25}};
    /// After a refusal for too many connections no more are opened than were open then, for this
    /// long. A server keeps those of a VM that has lost power for some seconds.
    duration ceiling_memory{std::chrono::seconds{1}};
    /// After a failed connection attempt the server is passed over for this long.
    duration failure_pause{std::chrono::milliseconds{250}};
};

/// @brief What a statement needs of its connection.
struct session_needs {
    organisation_id organisation;
    const std::map<std::string, std::string>* values{nullptr};
    const prepared_statement* prepared{nullptr}; ///< Null when the statement is not prepared.
    bool writes{false};
    time_point deadline{no_deadline}; ///< The statement's entry gives it up then.
};

/// @brief Connections of this VM to backend servers, with the state of their sessions.
///
/// A connection is open on behalf of one organisation. One caller's session uses it at a time;
/// a session's values and prepared statements are laid onto it when they differ.
class backend_sessions {
  public:
    backend_sessions(fleet_state& state, backend_session_settings settings,
                     id_sequence<connection_id>& ids);

    /// @brief Whether a statement could be sent to @a backend now.
    [[nodiscard]] bool has_room(time_point now, const backend_server_id& backend) const;
    /// @brief Takes an idle connection or opens one.
    [[nodiscard]] std::optional<connection_id> acquire(time_point now,
                                                       const backend_server_id& backend,
                                                       const session_needs& needs,
                                                       proxy_output& out);
    /// @brief Sends @a main on a connection that was acquired.
    /// @param begin `begin` or `begin_read` to open a transaction before it, or nothing; the
    /// statement is sent only after the transaction is open
    ///
    /// The connection is closed when there is no answer by the statement's deadline: its entry may
    /// have tried it elsewhere, and what a cut holds up must not run later.
    void send(time_point now, connection_id connection, attempt_id attempt,
              const session_needs& needs, std::optional<backend_command> begin,
              backend_command main, proxy_output& out);
    /// @brief Whether the connection is still there.
    [[nodiscard]] bool holds(connection_id connection) const {
        return sessions_.contains(connection);
    }
    /// @brief Gives a connection back; rolls an open transaction back first.
    void release(time_point now, connection_id connection, bool in_transaction, proxy_output& out);
    /// @brief Closes a connection whose state is in doubt.
    void discard(connection_id connection, proxy_output& out);

    /// @return whether the connection belongs to this part
    bool on_ready(time_point now, const member_ready& ready, proxy_output& out);
    bool on_closed(time_point now, const member_closed& closed, proxy_output& out);
    bool on_reply(time_point now, const member_replied& replied, proxy_output& out);
    void tick(time_point now, proxy_output& out);

    /// @brief Attempts that have ended since the last call.
    [[nodiscard]] std::vector<attempt_result> take_results();

    /// @brief Whether connections to @a backend fail.
    [[nodiscard]] bool avoided(time_point now, const backend_server_id& backend) const;
    [[nodiscard]] std::size_t size() const noexcept { return sessions_.size(); }
    /// @brief Closes the idle connections to @a backend.
    void close_idle(const backend_server_id& backend, proxy_output& out);
    /// @brief Closes all idle connections.
    void leave(proxy_output& out);

  private:
    enum class expected_kind { preparation, begin, main, rollback };
    struct expected {
        expected_kind kind{expected_kind::preparation};
        attempt_id attempt;
        time_point sent{};
    };
    struct session {
        backend_server_id backend;
        group_id group;
        organisation_id organisation;
        bool open{false};
        bool in_use{false};
        bool release_when_quiet{false};
        time_point opened_at{};
        time_point heard{};
        time_point deadline{no_deadline}; ///< Of the statement in hand.
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        std::deque<expected> waiting;
        std::optional<backend_command> held_main; ///< Waits for an answer or for the opening.
        attempt_id held_attempt;
        bool main_waits_for_open{false};
    };
    struct load {
        std::uint32_t open{0};    ///< Those that are being opened included.
        std::uint32_t opening{0}; ///< Each takes a slot of the server for some milliseconds.
        std::uint32_t running{0};
        std::uint32_t ceiling{0}; ///< Connections that the server accepts, until `ceiling_until`.
        time_point ceiling_until{time_point::min()};
        time_point busy_until{time_point::min()};
        time_point failed_until{time_point::min()};
    };

    void lay_values(time_point now, session& own, const session_needs& needs, bool afresh,
                    std::vector<backend_command>& commands);
    void expect(time_point now, session& own, expected_kind kind, attempt_id attempt);
    void finish_running(const session& own, const expected& ended);
    [[nodiscard]] static bool overdue(time_point now, const session& own);
    void become_idle(time_point now, connection_id id, proxy_output& out);
    void erase(connection_id id);
    void fail_open_attempts(connection_id id, session& own, const member_closed& closed);
    [[nodiscard]] std::uint32_t connection_part(const backend_registration& backend,
                                                double part) const;
    [[nodiscard]] std::uint32_t open_limit(time_point now,
                                           const backend_registration& backend) const;
    [[nodiscard]] std::uint32_t window(const backend_registration& backend) const noexcept;
    void lower_ceiling(time_point now, load& own) const;
    void trim_idle(const backend_registration& backend, proxy_output& out);
    [[nodiscard]] std::uint64_t fit(const session& own, const session_needs& needs) const;

    fleet_state& state_;
    backend_session_settings settings_;
    id_sequence<connection_id>& ids_;
    std::map<connection_id, session> sessions_;
    std::map<backend_server_id, load> loads_;
    std::vector<attempt_result> results_;
    time_point next_sweep_{};
};

} // namespace jackdawvane
