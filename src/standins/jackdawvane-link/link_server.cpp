#include "standins/jackdawvane-link/link_server.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

bool is_pair(const std::vector<std::string>& names) {
    return names.size() == 2;
}

bool are_pairs(const std::vector<std::vector<std::string>>& list) {
    return std::all_of(list.begin(), list.end(), is_pair);
}

} // namespace

link_server::link_server(asio::io_context& io, const link_settings& settings)
    : state_{io, network{settings.places, settings.delays, settings.region_bits_per_second}},
      server_{io, settings.control,
              [this](http_server::connection_ptr connection, const http_request& request) {
                  return handle(std::move(connection), request);
              }} {
    for (const auto& relay : settings.relays) {
        if (relay.tcp) {
            tcp_relays_.emplace_back(state_, relay.listen, relay.to);
        }
        if (relay.udp) {
            udp_relays_.emplace_back(state_, relay.listen, relay.to);
        }
    }
}

std::vector<endpoint> link_server::tcp_endpoints() const {
    std::vector<endpoint> endpoints;
    for (const auto& relay : tcp_relays_) {
        endpoints.push_back(relay.local());
    }
    return endpoints;
}

std::vector<endpoint> link_server::udp_endpoints() const {
    std::vector<endpoint> endpoints;
    for (const auto& relay : udp_relays_) {
        endpoints.push_back(relay.local());
    }
    return endpoints;
}

awaitable<http_reply> link_server::handle(http_server::connection_ptr /*connection*/,
                                          const http_request& request) {
    if (request.target == "/fault") {
        co_return fault(request);
    }
    if (request.target == "/inspect") {
        co_return inspect();
    }
    co_return error_reply(404, "unknown path");
}

http_reply link_server::fault(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<link_fault>(json.value()) : json.error();
    if (!decoded) {
        return error_reply(400, decoded.error().message());
    }
    const auto& fault = decoded.value();
    if (!are_pairs(fault.cut) || !are_pairs(fault.heal) || !are_pairs(fault.silence) ||
        !are_pairs(fault.reset)) {
        return error_reply(400, "a pair is a list of two place names");
    }
    if (fault.heal_all) {
        state_.net.heal_all();
        for (auto& relay : tcp_relays_) {
            relay.listen();
        }
    }
    for_each_to(fault.listen, &tcp_relay::listen);
    for (const auto& pair : fault.heal) {
        state_.net.heal({pair[0], pair[1]});
    }
    for (const auto& pair : fault.cut) {
        state_.net.cut({pair[0], pair[1]});
    }
    for_each_to(fault.refuse, &tcp_relay::refuse);
    for (const auto& pair : fault.reset) {
        for (auto& relay : tcp_relays_) {
            relay.reset({pair[0], pair[1]});
        }
    }
    for (const auto& pair : fault.silence) {
        for (auto& relay : tcp_relays_) {
            relay.silence({pair[0], pair[1]});
        }
    }
    state_.cuts_changed.notify();
    return json_reply(Json::objectValue);
}

void link_server::for_each_to(const std::vector<std::string>& places, void (tcp_relay::*change)()) {
    for (auto& relay : tcp_relays_) {
        if (std::find(places.begin(), places.end(), relay.place()) != places.end()) {
            (relay.*change)();
        }
    }
}

http_reply link_server::inspect() const {
    auto json = state_.net.inspect();
    std::size_t connections{0};
    for (const auto& relay : tcp_relays_) {
        connections += relay.connections();
    }
    json["connections"] = Json::UInt64{connections};
    return json_reply(json);
}

} // namespace jackdawvane::standin
