#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <utility>

#include <optional>
#include <string>
#include <vector>

namespace jackdawvane::standin {

/// @brief Load of one organisation.
struct organisation_load {
    organisation_id id;
    std::vector<std::string> keys;  ///< API keys in plain text, assigned to its sessions in turn.
    double arrivals_per_second{10}; ///< Offered requests, open loop.
    double rate{0};                 ///< Configured rate limit; 0 disables the check.
    double burst{0};
    double overload_factor{1}; ///< Factor on the arrivals during the overload.
    std::uint32_t overload_from_ms{0};
    std::uint32_t overload_to_ms{0};
    std::vector<double> vm_weights; ///< Distribution over the VMs; empty for uniform.

    static constexpr auto fields() {
        using self = organisation_load;
        return std::tuple{field("id", &self::id),
                          field("keys", &self::keys),
                          field("arrivals_per_second", &self::arrivals_per_second),
                          field("rate", &self::rate),
                          field("burst", &self::burst),
                          field("overload_factor", &self::overload_factor),
                          field("overload_from_ms", &self::overload_from_ms),
                          field("overload_to_ms", &self::overload_to_ms),
                          field("vm_weights", &self::vm_weights)};
    }
};

/// @brief Backend server whose log is read after the run.
struct inspected_backend {
    backend_server_id id;
    group_id group;
    jackdawvane::endpoint endpoint;

    static constexpr auto fields() {
        return std::tuple{field("id", &inspected_backend::id),
                          field("group", &inspected_backend::group),
                          field("endpoint", &inspected_backend::endpoint)};
    }
};

/// @brief Settings of a load run.
struct load_settings {
    route_name route;
    std::string address;       ///< Source address of the clients; it determines their location.
    std::vector<endpoint> vms; ///< Caller endpoints of the entry VMs.
    std::vector<inspected_backend> backends; ///< Logs to check; empty skips the check.
    std::vector<organisation_load> organisations;
    std::optional<endpoint> control; ///< Listens for `POST /mark` and other control requests.
    std::uint32_t duration_ms{10'000};
    std::uint64_t max_requests{100'000};
    std::uint32_t think_ms{1000}; ///< Mean pause of a session between two requests.
    std::uint32_t deadline_ms{2000};
    std::uint32_t give_up_ms{10'000}; ///< Retries of one request end after this time.
    std::uint32_t max_attempts{50};   ///< Attempts of one request.
    std::uint32_t partitions{12};     ///< Partition keys in use.
    double write_share{0.1};          ///< Share of writes among the requests.
    double transaction_share{0.01};   ///< Share of interactive transactions.
    std::uint32_t roam_every{5};      ///< Requests of a session before it switches to another VM.
    std::optional<std::uint32_t> max_staleness_ms; ///< Staleness bound of reads without a session.
    double sessionless_share{0};                   ///< Share of reads without a session.
    std::uint64_t seed{1};

    static constexpr auto fields() {
        using self = load_settings;
        return std::tuple{field("route", &self::route),
                          field("address", &self::address),
                          field("vms", &self::vms),
                          field("backends", &self::backends),
                          field("organisations", &self::organisations),
                          field("control", &self::control),
                          field("duration_ms", &self::duration_ms),
                          field("max_requests", &self::max_requests),
                          field("think_ms", &self::think_ms),
                          field("deadline_ms", &self::deadline_ms),
                          field("give_up_ms", &self::give_up_ms),
                          field("max_attempts", &self::max_attempts),
                          field("partitions", &self::partitions),
                          field("write_share", &self::write_share),
                          field("transaction_share", &self::transaction_share),
                          field("roam_every", &self::roam_every),
                          field("max_staleness_ms", &self::max_staleness_ms),
                          field("sessionless_share", &self::sessionless_share),
                          field("seed", &self::seed)};
    }
};

} // namespace jackdawvane::standin
