#include "standins/jackdawvane-link/network.hpp"

#include <algorithm>

namespace jackdawvane::standin {

network::network(std::map<std::string, place_settings> places, const delay_settings& delays,
                 double region_bits_per_second)
    : places_{std::move(places)}, delays_{delays}, region_bits_per_second_{region_bits_per_second} {
}

const place_settings* network::find(const std::string& place) const {
    const auto found = places_.find(place);
    return found == places_.end() ? nullptr : &found->second;
}

std::string network::place_of(const std::string& address) const {
    for (const auto& [name, place] : places_) {
        if (address.starts_with(place.prefix)) {
            return name;
        }
    }
    return {};
}

duration network::delay(const std::string& from, const std::string& to) const {
    const auto* const source = find(from);
    const auto* const target = find(to);
    if (source == nullptr || target == nullptr || source == target) {
        return delays_.within;
    }
    if (source->clients || target->clients) {
        return delays_.clients;
    }
    return source->region == target->region ? delays_.domains : delays_.regions;
}

network::time network::send(const std::string& from, const std::string& to, std::size_t bytes,
                            time now) {
    const auto* const source = find(from);
    const auto* const target = find(to);
    const auto propagation_delay = delay(from, to);
    if (source == nullptr || target == nullptr) {
        return now + propagation_delay;
    }
    const std::pair region_pair{source->clients ? "clients" : source->region,
                                target->clients ? "clients" : target->region};
    bytes_[region_pair] += bytes;
    const bool shared =
        region_pair.first != region_pair.second && !source->clients && !target->clients;
    if (!shared || region_bits_per_second_ <= 0) {
        return now + propagation_delay;
    }
    const std::chrono::duration<double> serialisation{static_cast<double>(bytes) * 8 /
                                                      region_bits_per_second_};
    auto& pipe_free_at = pipe_free_at_[region_pair];
    pipe_free_at = std::max(pipe_free_at, now) +
                   std::chrono::duration_cast<steady_clock::duration>(serialisation);
    return pipe_free_at + propagation_delay;
}

void network::heal(const place_pair& pair) {
    cuts_.erase(pair);
    cuts_.erase({pair.second, pair.first});
}

bool network::matches_name(const std::string& name, const std::string& place) const {
    if (name != "*") {
        return name == place;
    }
    const auto* const found = find(place);
    return found != nullptr && !found->clients;
}

bool network::matches(const place_pair& pair, const std::string& from,
                      const std::string& to) const {
    // A wildcard does not cut a place from itself.
    const bool wildcard = pair.first == "*" || pair.second == "*";
    if (wildcard && from == to) {
        return false;
    }
    return (matches_name(pair.first, from) && matches_name(pair.second, to)) ||
           (matches_name(pair.first, to) && matches_name(pair.second, from));
}

bool network::is_cut(const std::string& from, const std::string& to) const {
    return std::any_of(cuts_.begin(), cuts_.end(),
                       [&](const auto& pair) { return matches(pair, from, to); });
}

Json::Value network::inspect() const {
    Json::Value json;
    json["cuts"] = Json::arrayValue;
    json["bytes"] = Json::arrayValue;
    for (const auto& [first, second] : cuts_) {
        Json::Value cut;
        cut.append(first);
        cut.append(second);
        json["cuts"].append(cut);
    }
    for (const auto& [region_pair, count] : bytes_) {
        Json::Value entry;
        entry["from"] = region_pair.first;
        entry["to"] = region_pair.second;
        entry["bytes"] = Json::UInt64{count};
        json["bytes"].append(entry);
    }
    return json;
}

} // namespace jackdawvane::standin
