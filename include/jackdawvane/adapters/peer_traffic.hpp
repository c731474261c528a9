#pragma once

#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"
#include "jackdawvane/node/peer.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace jackdawvane {

/// @brief Reasons for which a received message is dropped.
enum class peer_drop { wrong_mac, malformed };

/// @brief Counts the payload bytes of peer messages by method and by pair of regions.
///
/// The region of a VM is learnt from membership news; until then it counts as `unknown`.
class peer_traffic {
  public:
    /// @brief Whether a message came or went.
    enum class direction { sent, received };

    explicit peer_traffic(region_id own) : own_{std::move(own)} {}

    /// @brief Learns where the VMs are that @a message has news of.
    void learn(const peer_message& message);

    /// @brief Counts a message of @a bytes to or from @a vm.
    void add(direction way, peer_channel channel, const char* method, const vm_id& vm,
             std::size_t bytes);

    /// @brief Counts a dropped message.
    void add_drop(peer_drop reason) { ++drops_[reason]; }

    /// @brief Dropped messages so far.
    [[nodiscard]] std::uint64_t drops(peer_drop reason) const;

    /// @brief Bytes sent to or received from @a region so far.
    [[nodiscard]] std::uint64_t bytes(direction way, peer_channel channel,
                                      const region_id& region) const;

    /// @brief Sends what was counted since the last report to @a out.
    void report(diagnostics_port& out);

  private:
    struct key {
        direction way;
        peer_channel channel;
        std::string name;
        friend auto operator<=>(const key&, const key&) = default;
    };
    struct counter {
        std::uint64_t total{0};
        std::uint64_t reported{0};
    };

    [[nodiscard]] const std::string& region_of(const vm_id& vm) const;
    [[nodiscard]] std::string path_label(const key& counted) const;

    region_id own_;
    std::unordered_map<vm_id, region_id> regions_;
    std::map<key, counter> by_method_;
    std::map<key, counter> by_region_;
    std::map<peer_drop, std::uint64_t> drops_;
    std::map<peer_drop, std::uint64_t> reported_drops_;
};

} // namespace jackdawvane
