#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/caller.hpp"

#include <utility>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Tables and rows of the configuration document. Keys ending in `_ms` hold milliseconds.

namespace jackdawvane {

/// @brief Condition for acknowledging a write: a majority of the group has it, or its primary has.
enum class fencing_mode { majority, primary_alone };

template <>
struct enum_names<fencing_mode> {
    static constexpr std::array<std::pair<fencing_mode, const char*>, 2> table{
        {{fencing_mode::majority, "majority"}, {fencing_mode::primary_alone, "primary_alone"}}};
};

/// @brief Whether a route accepts API keys while the VM's failure domain is isolated.
enum class isolation_mode { serve, refuse };

template <>
struct enum_names<isolation_mode> {
    static constexpr std::array<std::pair<isolation_mode, const char*>, 2> table{
        {{isolation_mode::serve, "serve"}, {isolation_mode::refuse, "refuse"}}};
};

/// @brief Which state of the database a read on a route has to see.
enum class consistency_mode {
    read_your_writes,  ///< The session's own commits, and no state older than the route's age.
    bounded_staleness, ///< No state older than the route's age.
    primary,           ///< Every acknowledged commit.
};

template <>
struct enum_names<consistency_mode> {
    static constexpr std::array<std::pair<consistency_mode, const char*>, 3> table{
        {{consistency_mode::read_your_writes, "read_your_writes"},
         {consistency_mode::bounded_staleness, "bounded_staleness"},
         {consistency_mode::primary, "primary"}}};
};

/// @brief Row of the routes table.
struct route_row {
    pool_name pool;
    bool open{false};                              ///< Requires no API key.
    bool writes{true};                             ///< Accepts requests in write mode.
    std::vector<organisation_id> organisations;    ///< Allowed organisations; empty allows all.
    std::uint32_t deadline_ms{2000};               ///< Maximum, and default, request deadline.
    std::optional<std::uint32_t> max_staleness_ms; ///< Default for reads without a session.
    fencing_mode fencing{fencing_mode::majority};
    isolation_mode keys_when_isolated{isolation_mode::serve};
    consistency_mode consistency{consistency_mode::read_your_writes};
    std::uint32_t target_latency_ms{1000};    ///< Latency objective of an operation.
    std::uint32_t priority{1};                ///< 0 is the highest, for queued statements.
    std::uint32_t transaction_idle_ms{3000};  ///< An idle transaction is rolled back after this.
    std::vector<region_id> allowed_regions{}; ///< Regions that may run requests; empty allows all.

    static constexpr auto fields() {
        return std::tuple{field("pool", &route_row::pool),
                          field("open", &route_row::open),
                          field("writes", &route_row::writes),
                          field("organisations", &route_row::organisations),
                          field("deadline_ms", &route_row::deadline_ms),
                          field("max_staleness_ms", &route_row::max_staleness_ms),
                          field("fencing", &route_row::fencing),
                          field("keys_when_isolated", &route_row::keys_when_isolated),
                          field("consistency", &route_row::consistency),
                          field("target_latency_ms", &route_row::target_latency_ms),
                          field("priority", &route_row::priority),
                          field("transaction_idle_ms", &route_row::transaction_idle_ms),
                          field("allowed_regions", &route_row::allowed_regions)};
    }
    friend bool operator==(const route_row&, const route_row&) = default;
};

/// @brief State of a backend server in its pool.
enum class backend_state { active, leaving };

template <>
struct enum_names<backend_state> {
    static constexpr std::array<std::pair<backend_state, const char*>, 2> table{
        {{backend_state::active, "active"}, {backend_state::leaving, "leaving"}}};
};

/// @brief One backend server of a database group.
struct backend_server_row {
    jackdawvane::endpoint endpoint;
    location place;
    std::uint32_t slots{1};             ///< Maximum number of concurrent statements.
    std::uint32_t connection_limit{20}; ///< Maximum number of connections from all VMs.
    backend_state state{backend_state::active};

    static constexpr auto fields() {
        return std::tuple{field("endpoint", &backend_server_row::endpoint),
                          field("place", &backend_server_row::place),
                          field("slots", &backend_server_row::slots),
                          field("connection_limit", &backend_server_row::connection_limit),
                          field("state", &backend_server_row::state)};
    }
    friend bool operator==(const backend_server_row&, const backend_server_row&) = default;
};

/// @brief One database group: a primary and its replicas.
struct group_row {
    std::map<backend_server_id, backend_server_row> backend_servers;
    /// Maximum number of connections from all VMs to each backend server of the group that
    /// registers itself and has no row.
    std::uint32_t connection_limit{20};
    std::uint32_t sync_replicas{0}; ///< Replicas that must have a commit before it is acknowledged.
    double warm_up_rate{0}; ///< Requests per second to a server that is warming up; 0: no limit.

    static constexpr auto fields() {
        return std::tuple{field("backend_servers", &group_row::backend_servers),
                          field("connection_limit", &group_row::connection_limit),
                          field("sync_replicas", &group_row::sync_replicas),
                          field("warm_up_rate", &group_row::warm_up_rate)};
    }
    friend bool operator==(const group_row&, const group_row&) = default;
};

/// @brief Row of the pools table.
struct pool_row {
    std::map<group_id, group_row> groups; ///< Group ids are unique over all pools.

    static constexpr auto fields() { return std::tuple{field("groups", &pool_row::groups)}; }
    friend bool operator==(const pool_row&, const pool_row&) = default;
};

/// @brief Row of the organisations table.
struct organisation_row {
    double rate{0};          ///< Requests per second over the whole fleet.
    double burst{0};         ///< Maximum burst of requests above the rate.
    std::uint32_t weight{1}; ///< Share of a backend server's slots under contention.
    std::vector<region_id> allowed_regions{}; ///< Regions that may run requests; empty allows all.

    static constexpr auto fields() {
        return std::tuple{field("rate", &organisation_row::rate),
                          field("burst", &organisation_row::burst),
                          field("weight", &organisation_row::weight),
                          field("allowed_regions", &organisation_row::allowed_regions)};
    }
    friend bool operator==(const organisation_row&, const organisation_row&) = default;
};

/// @brief Row of the keys table; the row's name is the digest of the API key.
struct key_row {
    organisation_id organisation;
    std::string label; ///< Operators' note, for example the office that uses the key.

    static constexpr auto fields() {
        return std::tuple{field("organisation", &key_row::organisation),
                          field("label", &key_row::label)};
    }
    friend bool operator==(const key_row&, const key_row&) = default;
};

/// @brief Change of one row; an absent `before` creates it, an absent `after` deletes it.
struct row_change {
    std::string table; ///< `routes`, `pools`, `organisations` or `keys`.
    std::string row;
    std::optional<Json::Value> before;
    std::optional<Json::Value> after;

    static constexpr auto fields() {
        return std::tuple{field("table", &row_change::table), field("row", &row_change::row),
                          field("before", &row_change::before), field("after", &row_change::after)};
    }
};

/// @brief One accepted edit of the configuration.
struct configuration_edit {
    edit_id id;
    jackdawvane::revision revision; ///< Revision created by the edit.
    std::string operator_name;
    std::vector<row_change> changes;

    static constexpr auto fields() {
        return std::tuple{field("id", &configuration_edit::id),
                          field("revision", &configuration_edit::revision),
                          field("operator", &configuration_edit::operator_name),
                          field("changes", &configuration_edit::changes)};
    }
};

/// @brief The complete configuration, stored under one key of the platform's store.
struct configuration_document {
    jackdawvane::revision revision;
    std::map<route_name, route_row> routes;
    std::map<pool_name, pool_row> pools;
    std::map<organisation_id, organisation_row> organisations;
    std::map<key_digest, key_row> keys;
    std::vector<configuration_edit> recent_edits; ///< Oldest first.

    static constexpr auto fields() {
        return std::tuple{field("revision", &configuration_document::revision),
                          field("routes", &configuration_document::routes),
                          field("pools", &configuration_document::pools),
                          field("organisations", &configuration_document::organisations),
                          field("keys", &configuration_document::keys),
                          field("recent_edits", &configuration_document::recent_edits)};
    }
};

} // namespace jackdawvane
