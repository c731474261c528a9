#pragma once

#include "jackdawvane/node/caller.hpp"

#include <string>

#include "standins/jackdawvane-load/latency.hpp"
#include "standins/jackdawvane-load/load_settings.hpp"
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Settings of a paired comparison of direct and proxied requests.
struct direct_settings {
    route_name route;
    std::string key;
    std::string partition; ///< Must belong to the backend server's group.
    std::string address;   ///< Source address of both connections.
    endpoint backend;      ///< Backend server for the direct requests.
    endpoint vm;           ///< Caller endpoint of an entry VM in the same failure domain.
    access_mode mode{access_mode::read};
    std::uint32_t pairs{1000};
    std::uint32_t warm_up{50}; ///< Pairs that are not measured.

    static constexpr auto fields() {
        using self = direct_settings;
        return std::tuple{field("route", &self::route),         field("key", &self::key),
                          field("partition", &self::partition), field("address", &self::address),
                          field("backend", &self::backend),     field("vm", &self::vm),
                          field("mode", &self::mode),           field("pairs", &self::pairs),
                          field("warm_up", &self::warm_up)};
    }
};

/// @brief Sends the same request alternately to the backend server and through the proxy.
/// @return latencies of both connections and quantiles of the paired differences, in microseconds
awaitable<Json::Value> run_direct(asio::io_context& io, direct_settings settings);

} // namespace jackdawvane::standin
