#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Part of the network: a failure domain, the store's network or the clients.
struct place_settings {
    std::string prefix;  ///< Address prefix of the place.
    std::string region;  ///< Region of a failure domain or of the store.
    bool clients{false}; ///< Network of the clients, outside all regions.

    static constexpr auto fields() {
        return std::tuple{field("prefix", &place_settings::prefix),
                          field("region", &place_settings::region),
                          field("clients", &place_settings::clients)};
    }
};

/// @brief One-way network delays.
struct delay_settings {
    duration within{0};     ///< Within a place.
    duration domains{500};  ///< Between places of one region.
    duration regions{8000}; ///< Between regions.
    duration clients{3000}; ///< Between the clients and any other place.

    static constexpr auto fields() {
        return std::tuple{field("within_us", &delay_settings::within),
                          field("domains_us", &delay_settings::domains),
                          field("regions_us", &delay_settings::regions),
                          field("clients_us", &delay_settings::clients)};
    }
};

/// @brief Pair of place names; `*` matches every place except the clients.
using place_pair = std::pair<std::string, std::string>;

/// @brief Model of the delays, shared bandwidth and partitions ("cuts") between places. No I/O;
/// calls are passed the current time.
class network {
  public:
    using time = steady_clock::time_point;

    network(std::map<std::string, place_settings> places, const delay_settings& delays,
            double region_bits_per_second);

    /// @brief Name of the place of @a address; empty when no prefix matches.
    [[nodiscard]] std::string place_of(const std::string& address) const;
    /// @brief One-way propagation delay, without the wait for shared bandwidth.
    [[nodiscard]] duration delay(const std::string& from, const std::string& to) const;
    /// @brief Computes the arrival time of @a bytes sent at @a now and adds them to the counts.
    ///
    /// All traffic from one region to another shares one FIFO link of limited bandwidth.
    /// @return arrival time of the last byte
    time send(const std::string& from, const std::string& to, std::size_t bytes, time now);

    void cut(const place_pair& pair) { cuts_.insert(pair); }
    /// @brief Removes the cut between the places of @a pair, in either order.
    void heal(const place_pair& pair);
    void heal_all() { cuts_.clear(); }
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;
    /// @brief Whether @a pair matches the places @a from and @a to in either order.
    [[nodiscard]] bool matches(const place_pair& pair, const std::string& from,
                               const std::string& to) const;

    /// @brief Active cuts, and bytes sent per pair of regions.
    [[nodiscard]] Json::Value inspect() const;

  private:
    [[nodiscard]] const place_settings* find(const std::string& place) const;
    [[nodiscard]] bool matches_name(const std::string& name, const std::string& place) const;

    std::map<std::string, place_settings> places_;
    delay_settings delays_;
    double region_bits_per_second_;
    std::set<place_pair> cuts_;
    std::map<std::pair<std::string, std::string>, time> pipe_free_at_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> bytes_;
};

} // namespace jackdawvane::standin
