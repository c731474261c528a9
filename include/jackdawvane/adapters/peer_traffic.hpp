#pragma once

#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"
#include "jackdawvane/node/peer.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace jackdawvane {

/// @brief Reasons for which a received message is dropped.
enum class peer_drop_reason { wrong_mac, malformed };

/// @brief Counts the payload bytes of peer messages by method and by pair of regions.
///
/// The region of a VM is taken from membership updates; until one arrives it is `unknown`.
class peer_traffic {
  public:
    /// @brief Direction of a message as seen from this VM.
    enum class direction { sent, received };

    explicit peer_traffic(region_id own) : own_region_{std::move(own)} {}

    /// @brief Stores the regions of the VMs that the membership updates in @a message list.
    void update_regions(const peer_message& message);

    /// @brief Counts a message of @a bytes to or from @a vm.
    void add(direction way, peer_channel channel, const char* method, const vm_id& vm,
             std::size_t bytes);

    /// @brief Counts the time that encoding (`sent`), or decoding and handling (`received`), a
    /// message of @a method took on the thread that answers.
    void add_work(direction way, const char* method, std::chrono::microseconds spent);

    /// @brief Notes that @a bytes wait in the queue of one channel.
    void note_queue(std::size_t bytes) { largest_queue_ = std::max(largest_queue_, bytes); }

    /// @brief One line with the bytes and times of the messages of the configuration, and the
    /// largest queue of a channel; empty unless they changed since the last call but one and not
    /// since the last call.
    [[nodiscard]] std::string configuration_summary();

    /// @brief Counts a dropped message.
    void add_drop(peer_drop_reason reason) { ++drops_[reason]; }

    /// @brief Number of messages dropped for @a reason so far.
    [[nodiscard]] std::uint64_t drops(peer_drop_reason reason) const;

    /// @brief Number of bytes sent to or received from @a region so far.
    [[nodiscard]] std::uint64_t bytes(direction way, peer_channel channel,
                                      const region_id& region) const;

    /// @brief Reports the increments since the last report to @a out.
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

    region_id own_region_;
    std::unordered_map<vm_id, region_id> regions_;
    std::map<key, counter> by_method_;
    std::map<key, counter> by_region_;
    std::map<key, counter> work_;  ///< Microseconds.
    std::size_t largest_queue_{0}; ///< Bytes since the last report.
    std::size_t summary_queue_{0}; ///< Bytes since the last summary.
    std::string summary_;          ///< As of the last call.
    bool summary_printed_{true};
    std::map<peer_drop_reason, std::uint64_t> drops_;
    std::map<peer_drop_reason, std::uint64_t> reported_drops_;
};

} // namespace jackdawvane
