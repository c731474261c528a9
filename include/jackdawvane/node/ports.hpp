#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/caller.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/store.hpp"

#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Events that a host passes to a node, actions that the node returns, and the four ports
/// that execute the actions.

namespace jackdawvane {

/// @brief A caller stopped waiting, or its connection closed, before the answer.
struct caller_disconnected {
    caller_id caller;
};

/// @brief A connection to a backend server has been established.
struct backend_connected {
    connection_id connection;
};

/// @brief A connection failed to open or has closed. Pending requests on it get no answer.
struct backend_disconnected {
    connection_id connection;
    std::string reason;
};

/// @brief An answer arrived on a connection.
struct backend_answered {
    connection_id connection;
    backend_answer answer;
};

/// @brief A message from another VM arrived.
struct peer_received {
    vm_id from;
    vm_incarnation from_incarnation;
    peer_message message;
};

/// @brief The reliable channel to a VM failed; messages sent on it may be lost.
struct peer_disconnected {
    vm_id vm;
};

/// @brief The host was told to stop gracefully.
struct stop_requested {};

/// @brief Reports the current time; due at the node's next deadline at the latest.
struct timer_tick {};

/// @brief Any event that a host reports to a node.
using event = std::variant<caller_request, caller_disconnected, backend_connected,
                           backend_disconnected, backend_answered, store_answer, peer_received,
                           peer_disconnected, stop_requested, timer_tick>;

/// @brief Open a connection to a backend server.
struct open_connection {
    connection_id connection; ///< Chosen by the node.
    backend_server_id backend;
    jackdawvane::endpoint endpoint;
};

/// @brief Send a request on an open connection.
struct send_to_backend {
    connection_id connection;
    backend_request request;
};

/// @brief Close a connection at once; the host reports no event for it afterwards.
struct close_connection {
    connection_id connection;
};

/// @brief Transport of a peer message.
enum class peer_channel {
    stream,   ///< Reliable and ordered while the channel is open.
    datagram, ///< May be lost.
};

/// @brief Send a message to another VM.
struct send_to_peer {
    vm_id vm;
    jackdawvane::endpoint endpoint;
    peer_channel channel{peer_channel::stream};
    peer_message message;
};

/// @brief Severity of a log line.
enum class log_level { debug, info, warning, error };

/// @brief One line of the log.
struct log_record {
    const char* part{""}; ///< Fixed prefix, for example `router`; static storage.
    log_level level{log_level::info};
    std::string text;
};

/// @brief Type of a metric, which determines how its values are combined.
enum class metric_kind { counter, gauge, histogram };

/// @brief One observation of a metric. A histogram's values are in microseconds.
struct measurement {
    metric_kind kind{metric_kind::counter};
    const char* name{""};  ///< Metric name without the product prefix; static storage.
    const char* label{""}; ///< Label name; empty without a label; static storage.
    std::string label_value;
    double value{1};
};

/// @brief The node has finished its graceful shutdown; the host may exit.
struct stopped {};

/// @brief Any action that a node requests from its host.
using action = std::variant<caller_answer, open_connection, send_to_backend, close_connection,
                            store_request, send_to_peer, log_record, measurement, stopped>;

/// @brief Actions in the order in which the host has to execute them.
using actions = std::vector<action>;

/// @brief Appends a log line to @a out.
inline void log(actions& out, const char* part, log_level level, std::string text) {
    out.emplace_back(log_record{part, level, std::move(text)});
}

/// @brief Appends an increment of a counter to @a out.
inline void count(actions& out, const char* name, const char* label = "",
                  std::string label_value = {}) {
    out.emplace_back(measurement{metric_kind::counter, name, label, std::move(label_value), 1});
}

/// @brief Delivers answers to callers.
class caller_port {
  public:
    caller_port() = default;
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    caller_port(caller_port&&) = delete;
    caller_port& operator=(caller_port&&) = delete;
    virtual ~caller_port() = default;

    /// @brief Delivers @a answer to its caller; ignored if that caller has disconnected.
    virtual void answer(const caller_answer& answer) = 0;
};

/// @brief Connections to backend servers.
///
/// Results are reported as `backend_connected`, `backend_disconnected` and `backend_answered`
/// events, never from within these calls.
class backend_port {
  public:
    backend_port() = default;
    backend_port(const backend_port&) = delete;
    backend_port& operator=(const backend_port&) = delete;
    backend_port(backend_port&&) = delete;
    backend_port& operator=(backend_port&&) = delete;
    virtual ~backend_port() = default;

    virtual void open(const open_connection& request) = 0;
    virtual void send(const send_to_backend& request) = 0;
    virtual void close(const close_connection& request) = 0;
};

/// @brief Calls to the platform's store. Exactly one `store_answer` event answers each call.
class store_port {
  public:
    store_port() = default;
    store_port(const store_port&) = delete;
    store_port& operator=(const store_port&) = delete;
    store_port(store_port&&) = delete;
    store_port& operator=(store_port&&) = delete;
    virtual ~store_port() = default;

    virtual void call(const store_request& request) = 0;
};

/// @brief Sends messages to other VMs.
class peer_port {
  public:
    peer_port() = default;
    peer_port(const peer_port&) = delete;
    peer_port& operator=(const peer_port&) = delete;
    peer_port(peer_port&&) = delete;
    peer_port& operator=(peer_port&&) = delete;
    virtual ~peer_port() = default;

    virtual void send(const send_to_peer& request) = 0;
};

} // namespace jackdawvane
