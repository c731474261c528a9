#pragma once

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "standins/common/http_client.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-backend/database.hpp"
#include <boost/core/noncopyable.hpp>

namespace jackdawvane::standin {

/// @brief Settings of a backend server stand-in.
struct backend_settings {
    backend_server_id id;
    endpoint listen;
    std::optional<endpoint> advertised; ///< Address for replicas; `listen` by default.
    std::uint32_t connection_limit{20};
    std::uint32_t connect_ms{10};            ///< Duration of opening a session.
    std::uint32_t slots{3};                  ///< Transactions executed concurrently.
    std::uint32_t service_us{500};           ///< Execution time of one statement.
    std::uint32_t lag_ms{0};                 ///< Replication lag of this server as a replica.
    std::uint64_t record_bytes{0};           ///< Limit of the bytes recorded for `/inspect?record`.
    std::string data_file;                   ///< Journal that survives a restart; empty for none.
    jackdawvane::term initial_term;          ///< Initial term; 0 leaves it to a promotion.
    std::optional<endpoint> initial_primary; ///< Primary of the initial term.

    static constexpr auto fields() {
        using self = backend_settings;
        return std::tuple{field("id", &self::id),
                          field("listen", &self::listen),
                          field("advertised", &self::advertised),
                          field("connection_limit", &self::connection_limit),
                          field("connect_ms", &self::connect_ms),
                          field("slots", &self::slots),
                          field("service_us", &self::service_us),
                          field("lag_ms", &self::lag_ms),
                          field("record_bytes", &self::record_bytes),
                          field("data_file", &self::data_file),
                          field("initial_term", &self::initial_term),
                          field("initial_primary", &self::initial_primary)};
    }
};

/// @brief Body of `POST /fault`.
struct backend_fault {
    std::optional<std::uint32_t> lag_ms;    ///< Replication lag from now on.
    std::optional<std::uint32_t> delay_ms;  ///< Delay of every answer from now on.
    std::optional<std::uint32_t> freeze_ms; ///< Stops answers and replication; 0 ends it.
    std::uint32_t refuse_ms{0};             ///< Refuses new connections for this time.
    std::uint32_t crossed{0};               ///< Next answers replaced by the previous one.
    bool silence{false};                    ///< Makes the other open connections unresponsive.
    bool stop{false};                       ///< Ends the process.

    static constexpr auto fields() {
        using self = backend_fault;
        return std::tuple{field("lag_ms", &self::lag_ms),
                          field("delay_ms", &self::delay_ms),
                          field("freeze_ms", &self::freeze_ms),
                          field("refuse_ms", &self::refuse_ms),
                          field("crossed", &self::crossed),
                          field("silence", &self::silence),
                          field("stop", &self::stop)};
    }
};

/// @brief Backend server of a database group with asynchronous replication, over HTTP.
class backend_server : private boost::noncopyable {
  public:
    backend_server(asio::io_context& io, backend_settings settings);

    [[nodiscard]] const endpoint& local() const noexcept { return server_.local(); }
    [[nodiscard]] database& data() noexcept { return *database_; }

  private:
    struct client_session {
        std::optional<open_transaction> transaction;
    };
    using session_ptr = std::shared_ptr<client_session>;
    using connection_ptr = http_server::connection_ptr;
    using operation = awaitable<void> (backend_server::*)(session_ptr, const backend_request&,
                                                          backend_answer&);

    static operation operation_of(backend_operation kind);

    awaitable<http_reply> handle(connection_ptr connection, const http_request& request);
    awaitable<http_reply> connect(connection_ptr connection);
    awaitable<http_reply> run_request(connection_ptr connection, const http_request& request);
    awaitable<http_reply> serve_log(const http_request& request);
    http_reply fault(const connection_ptr& connection, const http_request& request);
    [[nodiscard]] http_reply inspect(const http_request& request) const;
    [[nodiscard]] Json::Value log_json() const;

    awaitable<void> answer_status(session_ptr session, const backend_request& request,
                                  backend_answer& answer);
    awaitable<void> execute(session_ptr session, const backend_request& request,
                            backend_answer& answer);
    awaitable<void> begin(session_ptr session, const backend_request& request,
                          backend_answer& answer);
    awaitable<void> statements(session_ptr session, const backend_request& request,
                               backend_answer& answer);
    awaitable<void> commit(session_ptr session, const backend_request& request,
                           backend_answer& answer);
    awaitable<void> rollback(session_ptr session, const backend_request& request,
                             backend_answer& answer);
    awaitable<void> accept_term(session_ptr session, const backend_request& request,
                                backend_answer& answer);
    awaitable<void> promote(session_ptr session, const backend_request& request,
                            backend_answer& answer);
    awaitable<void> follow(session_ptr session, const backend_request& request,
                           backend_answer& answer);

    [[nodiscard]] backend_status status() const;
    bool has_transaction(client_session& session, const backend_request& request,
                         backend_answer& answer);
    bool is_interleaved(const client_session& session, backend_answer& answer);
    awaitable<void> simulate_service_time(const Json::Value& statements);
    awaitable<void> wait_while_frozen();
    void record(const std::string& raw);
    void open_journal();
    void start_initial_term();
    awaitable<void> replicate();
    awaitable<void> pull(http_client& primary);

    asio::io_context& io_;
    backend_settings settings_;
    notifier changed_;
    notifier freeze_changed_;
    semaphore slots_;
    std::map<std::uint64_t, session_ptr> sessions_;
    steady_clock::time_point frozen_until_;
    microseconds lag_;
    milliseconds answer_delay_{0};
    std::uint32_t crossed_answers_left_{0};
    std::string previous_answer_;
    std::string recorded_;
    std::uint64_t highest_connections_{0};
    std::uint64_t refused_connections_{0};
    std::uint64_t interleavings_{0};
    std::ofstream journal_;
    http_server server_;
    std::unique_ptr<database> database_;
    std::optional<http_client> replication_; ///< Connection to the primary for log pulls.
};

} // namespace jackdawvane::standin
