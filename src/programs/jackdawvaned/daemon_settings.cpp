#include "daemon_settings.hpp"

#include <utility>

#include <array>

#include <boost/asio/ip/address.hpp>

namespace jackdawvane {

namespace {

constexpr std::size_t min_secret_length = 16; // characters

struct interval_entry {
    const char* key;
    std::uint32_t interval_settings::*in_settings;
    duration node_settings::*in_node;
};

constexpr std::array interval_table{
    interval_entry{"status_wait_ms", &interval_settings::status_wait_ms,
                   &node_settings::status_wait},
    interval_entry{"probe_timeout_ms", &interval_settings::probe_timeout_ms,
                   &node_settings::probe_timeout},
    interval_entry{"promotion_rank_delay_ms", &interval_settings::promotion_rank_delay_ms,
                   &node_settings::promotion_rank_delay},
    interval_entry{"lease_renewal_ms", &interval_settings::lease_renewal_ms,
                   &node_settings::lease_renewal},
    interval_entry{"lease_duration_ms", &interval_settings::lease_duration_ms,
                   &node_settings::lease_duration},
    interval_entry{"token_wait_ms", &interval_settings::token_wait_ms, &node_settings::token_wait},
    interval_entry{"drain_timeout_ms", &interval_settings::drain_timeout_ms,
                   &node_settings::drain_timeout}};

bool is_ip_address(const std::string& text) {
    boost::system::error_code failure;
    boost::asio::ip::make_address(text, failure);
    return !failure;
}

void check_endpoint(const char* key, const endpoint& value, decode_problems& problems) {
    if (!value.address.empty() && !is_ip_address(value.address)) {
        problems.push_back({key, "must have an IP address, not a host name", 0});
    }
}

} // namespace

interval_settings::interval_settings() {
    const node_settings defaults;
    for (const auto& entry : interval_table) {
        this->*entry.in_settings =
            static_cast<std::uint32_t>(to_milliseconds(defaults.*entry.in_node));
    }
}

std::vector<const char*> daemon_settings::required() {
    return {"vm",          "region",    "failure_domain", "address",
            "caller_port", "peer_port", "store",          "peer_secret"};
}

void daemon_settings::check(decode_problems& problems) const {
    if (!address.empty() && !is_ip_address(address)) {
        problems.push_back({"address", "must be an IP address of this VM", 0});
    }
    if (!peer_secret.empty() && peer_secret.size() < min_secret_length) {
        problems.push_back({"peer_secret", "must have at least 16 characters", 0});
    }
    if (intervals.lease_duration_ms < 2 * intervals.lease_renewal_ms) {
        problems.push_back({"intervals.lease_duration_ms",
                            "must be at least twice lease_renewal_ms, so that one lost renewal "
                            "does not end the lease",
                            0});
    }
    for (const auto& entry : interval_table) {
        if (intervals.*entry.in_settings == 0) {
            problems.push_back({std::string{"intervals."} + entry.key, "must be above 0", 0});
        }
    }
    check_endpoint("store", store, problems);
    for (const auto& seed : seeds) {
        check_endpoint("seeds", seed, problems);
    }
}

node_settings make_node_settings(const daemon_settings& settings, const endpoint& caller,
                                 const endpoint& peer, vm_incarnation incarnation,
                                 std::uint64_t seed) {
    node_settings node;
    node.self.vm = settings.vm;
    node.self.caller = settings.advertised_caller.value_or(caller);
    node.self.peer = settings.advertised_peer.value_or(peer);
    node.self.place = {settings.region, settings.failure_domain};
    node.incarnation = incarnation;
    node.seeds = settings.seeds;
    node.random_seed = seed;
    node.holders_per_domain = settings.holders_per_domain;
    for (const auto& entry : interval_table) {
        node.*entry.in_node = from_milliseconds(settings.intervals.*entry.in_settings);
    }
    return node;
}

} // namespace jackdawvane
