// Measures the traffic and CPU use of the membership protocol and the time in which it detects
// failures and new VMs, in virtual time and by fleet size.

#include <ctime>
#include <iostream>

#include "core/membership_fleet.hpp"

using namespace jackdawvane;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 42;
constexpr std::size_t failure_domains = 4;

double in_seconds(duration value) {
    return static_cast<double>(value.count()) / 1e6;
}

struct detection_times {
    duration first{0};
    duration everywhere{0};
};

detection_times measure_failure_detection(membership_fleet& fleet,
                                          membership_fleet::node& failed_vm) {
    failed_vm.up = false;
    const auto begin = fleet.now;
    fleet.time_until(seconds{60}, [&] {
        return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
            return node->up && !membership_fleet::view(*node, failed_vm.entry.vm);
        });
    });
    const auto first = fleet.now - begin;
    fleet.time_until(seconds{60}, [&] { return fleet.all_view(failed_vm, std::nullopt); });
    return {first, fleet.now - begin};
}

/// Measures the detection of 5 VM failures one after the other, then of a new VM.
void measure_changes(membership_fleet& fleet, std::size_t size) {
    constexpr std::size_t failures = 5;
    detection_times sum;
    detection_times longest;
    for (std::size_t i = 0; i < failures; ++i) {
        const auto found = measure_failure_detection(fleet, fleet.of(i * size / failures));
        sum = {sum.first + found.first, sum.everywhere + found.everywhere};
        longest = {std::max(longest.first, found.first),
                   std::max(longest.everywhere, found.everywhere)};
        fleet.run(seconds{3});
    }
    auto& new_vm = fleet.add(size);
    const auto join =
        fleet.time_until(seconds{60}, [&] { return fleet.all_view(new_vm, vm_state::live); });
    std::cout << "  " << failures << " deaths: first noticed after "
              << in_seconds(sum.first) / failures << " s (mean), " << in_seconds(longest.first)
              << " s (longest); known everywhere " << in_seconds(sum.everywhere) / failures
              << " s, " << in_seconds(longest.everywhere)
              << " s\n  new VM known everywhere: " << in_seconds(join)
              << " s; largest datagram with headers " << fleet.largest_datagram
              << " B; suspicions raised " << fleet.suspicions << std::endl;
}

void study(std::size_t size) {
    membership_fleet fleet{size, failure_domains, seed};
    fleet.run(seconds{30});
    for (auto& node : fleet.nodes) {
        node->messages = node->bytes = 0;
    }
    fleet.store_calls = 0;
    const auto length = seconds{30};
    const auto cpu_begin = std::clock();
    fleet.run(length);
    const auto cpu = static_cast<double>(std::clock() - cpu_begin) / CLOCKS_PER_SEC;
    std::uint64_t messages{0};
    std::uint64_t bytes{0};
    for (const auto& node : fleet.nodes) {
        messages += node->messages;
        bytes += node->bytes;
    }
    const auto node_seconds = static_cast<double>(size) * in_seconds(length);
    const auto per_message = static_cast<double>(bytes) / static_cast<double>(messages);
    std::cout << size << " VMs: " << static_cast<double>(messages) / node_seconds
              << " messages/s sent per node, " << static_cast<double>(bytes) / node_seconds
              << " B/s, all-to-all at " << per_message
              << " B each: " << per_message * static_cast<double>(size - 1)
              << " B/s, CPU with harness " << 100 * cpu / node_seconds
              << "% of a core per node, store calls "
              << static_cast<double>(fleet.store_calls) / in_seconds(length) << "/s\n";
    measure_changes(fleet, size);
}

} // namespace

int main(int argc, char** argv) {
    std::cout << "seed " << seed << ", " << failure_domains << " failure domains in 2 regions\n";
    std::vector<std::size_t> sizes{9, 50, 200, 790};
    if (argc > 1) {
        sizes = {std::stoul(argv[1])};
    }
    for (const auto size : sizes) {
        study(size);
    }
}
