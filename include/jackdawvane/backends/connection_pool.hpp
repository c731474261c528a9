#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace jackdawvane {

/// @brief Connections reserved for the status polls and failover probes of all VMs.
inline constexpr std::uint32_t reserved_connections = 4;

/// @brief Settings of a connection pool.
struct connection_pool_settings {
    duration heartbeat_interval{std::chrono::seconds{2}}; ///< Idle time before a heartbeat.
    duration heartbeat_timeout{from_milliseconds(500)};   ///< Wait for the answer to a heartbeat.
    duration idle_timeout{std::chrono::seconds{10}};      ///< Before a surplus one is closed.
    duration connect_timeout{std::chrono::seconds{1}};
    duration retry_min{from_milliseconds(20)}; ///< First delay after a failed connect.
    duration retry_max{std::chrono::seconds{1}};
};

/// @brief The connections of one owner VM to one backend server.
///
/// A pool opens at most half of the backend server's connection limit less the reserve, so that two
/// VMs that both consider themselves the owner stay within the limit together.
class connection_pool {
  public:
    /// @param backend the backend server
    /// @param connections source of connection ids, shared by all components of a node
    /// @param requests source of request ids, shared by all components of a node
    connection_pool(backend_server_id backend, id_sequence<connection_id>& connections,
                    id_sequence<request_id>& requests, connection_pool_settings settings = {});

    /// @brief Sets the backend server's address, limit and number of slots.
    void configure(const endpoint& where, std::uint32_t connection_limit, std::uint32_t slots);

    /// @brief Sets the number of connections that the backend server counts from all VMs.
    void on_connection_count(std::uint32_t open_connections) noexcept;

    /// @brief Opens connections until @a wanted are free or a bound is reached.
    void grow(time_point now, std::size_t wanted, actions& out);

    /// @brief Takes a free connection, which the caller uses until @ref release or @ref discard.
    [[nodiscard]] std::optional<connection_id> acquire();

    /// @brief Returns a connection whose state is known to be clean.
    void release(time_point now, connection_id id, actions& out);

    /// @brief Closes a connection whose state is unknown.
    void discard(connection_id id, actions& out);

    /// @brief A connection is ready. @return whether it belongs to this pool
    bool on_connected(time_point now, connection_id id);

    /// @brief A connection failed or closed. @return whether it belonged to this pool
    bool on_disconnected(time_point now, connection_id id);

    /// @brief An answer on a connection that is checked by a heartbeat.
    /// @return whether the answer was to a heartbeat of this pool
    bool on_answer(time_point now, connection_id id, const backend_answer& answer, actions& out);

    /// @brief Sends heartbeats, closes silent and surplus connections.
    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Closes every free connection; those in use are closed when they are released.
    void retire(actions& out);

    [[nodiscard]] bool owns(connection_id id) const { return connections_.contains(id); }
    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }
    [[nodiscard]] std::size_t free() const noexcept;
    /// @brief Maximum number of connections that this pool may hold now.
    [[nodiscard]] std::size_t limit() const noexcept;

  private:
    enum class state { connecting, idle, checking, in_use };

    struct connection {
        state phase{state::connecting};
        time_point since;     ///< Start of the phase.
        time_point last_use;  ///< Last time that a request used it.
        request_id heartbeat; ///< Request id of the heartbeat in flight.
    };

    void open_one(time_point now, actions& out);
    void back_off(time_point now);
    void send_heartbeat(time_point now, connection_id id, connection& which, actions& out);
    [[nodiscard]] time_point due(const connection& which) const;
    [[nodiscard]] bool expired(time_point now, const connection& which) const;
    [[nodiscard]] std::size_t in_phase(state phase) const noexcept;

    backend_server_id backend_;
    id_sequence<connection_id>& connection_ids_;
    id_sequence<request_id>& request_ids_;
    connection_pool_settings settings_;
    endpoint endpoint_;
    std::uint32_t connection_limit_{0};
    std::size_t slots_{1};
    std::size_t other_connections_{0}; ///< Connections of other VMs, as last reported.
    bool retired_{false};
    duration retry_delay_{0};
    time_point retry_at_;
    std::map<connection_id, connection> connections_;
};

} // namespace jackdawvane
