#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "standins/common/http_server.hpp"
#include "standins/jackdawvane-link/relays.hpp"

namespace jackdawvane::standin {

/// @brief Settings of one relayed endpoint.
struct relay_settings {
    endpoint listen; ///< Address that clients use; its prefix determines the target's place.
    endpoint to;     ///< Address of the target process.
    bool tcp{true};
    bool udp{false};

    static constexpr auto fields() {
        return std::tuple{field("listen", &relay_settings::listen),
                          field("to", &relay_settings::to), field("tcp", &relay_settings::tcp),
                          field("udp", &relay_settings::udp)};
    }
};

/// @brief Settings of the network relay.
struct link_settings {
    endpoint control;
    std::map<std::string, place_settings> places;
    delay_settings delays;
    /// Bandwidth per direction between two regions; 0 for unlimited.
    double region_bits_per_second{30'000'000};
    std::vector<relay_settings> relays;

    static constexpr auto fields() {
        using self = link_settings;
        return std::tuple{field("control", &self::control), field("places", &self::places),
                          field("delays", &self::delays),
                          field("region_bits_per_second", &self::region_bits_per_second),
                          field("relays", &self::relays)};
    }
};

/// @brief Body of `POST /fault`. Each pair is a list of two place names. Healing and listening come
/// first, then cuts, refusals and the faults of open connections.
struct link_fault {
    std::vector<std::vector<std::string>> cut;
    std::vector<std::vector<std::string>> heal;
    std::vector<std::vector<std::string>> silence;
    std::vector<std::vector<std::string>> reset; ///< Open connections that receive a reset.
    std::vector<std::string> refuse;             ///< Places that refuse new connections.
    std::vector<std::string> listen;             ///< Places that accept connections again.
    bool heal_all{false}; ///< No cut is left, and all places accept connections.

    static constexpr auto fields() {
        return std::tuple{
            field("cut", &link_fault::cut),          field("heal", &link_fault::heal),
            field("silence", &link_fault::silence),  field("reset", &link_fault::reset),
            field("refuse", &link_fault::refuse),    field("listen", &link_fault::listen),
            field("heal_all", &link_fault::heal_all)};
    }
};

/// @brief All relays of a test deployment and their control endpoint.
class link_server : private boost::noncopyable {
  public:
    link_server(asio::io_context& io, const link_settings& settings);

    [[nodiscard]] const endpoint& control() const noexcept { return server_.local(); }
    /// @brief Listening addresses of the TCP relays, in the order of the settings.
    [[nodiscard]] std::vector<endpoint> tcp_endpoints() const;
    /// @brief Listening addresses of the UDP relays, in the order of the settings.
    [[nodiscard]] std::vector<endpoint> udp_endpoints() const;

  private:
    awaitable<http_reply> handle(http_server::connection_ptr connection,
                                 const http_request& request);
    http_reply fault(const http_request& request);
    /// Calls @a change on each TCP relay to one of @a places.
    void for_each_to(const std::vector<std::string>& places, void (tcp_relay::*change)());
    [[nodiscard]] http_reply inspect() const;

    link_state state_;
    std::list<tcp_relay> tcp_relays_;
    std::list<udp_relay> udp_relays_;
    http_server server_;
};

} // namespace jackdawvane::standin
