#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/ports.hpp"

#include <string>

namespace jackdawvane {

/// @brief Id sequences shared by all components of a node.
struct node_id_sequences {
    id_sequence<connection_id>& connections;
    id_sequence<request_id>& requests;
};

/// @brief Sends one request at a time on a dedicated connection, each with a time limit.
///
/// A failed call closes its connection. An answer without the id of the current request fails the
/// call, because the state of the connection is unknown.
class backend_call {
  public:
    enum class progress { idle, running, answered, failed };

    backend_call(backend_server_id backend, jackdawvane::endpoint endpoint, node_id_sequences ids);

    /// @brief Sends @a request once the connection is open; opens it first if needed.
    /// @param limit time for connecting and the answer together
    void send(time_point now, backend_request request, duration limit, actions& out);

    /// @brief Handles an event on a connection.
    /// @return whether the connection belongs to this call
    bool on_connected(connection_id connection, actions& out);
    bool on_disconnected(connection_id connection, const std::string& reason);
    bool on_answer(connection_id connection, const backend_answer& answer, actions& out);

    /// @brief Fails the call when its limit has passed.
    void tick(time_point now, actions& out);
    /// @brief Closes the connection; a running request fails.
    void close(actions& out);

    [[nodiscard]] progress state() const noexcept { return state_; }
    [[nodiscard]] time_point next_deadline() const noexcept;
    [[nodiscard]] const backend_server_id& backend() const noexcept { return backend_; }
    /// @brief When @ref send was called for the current request; its answer cannot be older.
    [[nodiscard]] time_point asked_at() const noexcept { return asked_at_; }
    /// @brief The answer; valid in the state `answered` only.
    [[nodiscard]] const backend_answer& answer() const noexcept { return answer_; }
    /// @brief Why the call failed.
    [[nodiscard]] const std::string& reason() const noexcept { return reason_; }

  private:
    enum class link { closed, opening, open };

    [[nodiscard]] bool owns(connection_id connection) const noexcept;
    void fail(std::string reason);

    backend_server_id backend_;
    jackdawvane::endpoint endpoint_;
    node_id_sequences ids_;
    progress state_{progress::idle};
    link link_{link::closed};
    connection_id connection_;
    backend_request request_;
    backend_answer answer_;
    time_point asked_at_;
    time_point deadline_{no_deadline};
    std::string reason_;
};

} // namespace jackdawvane
