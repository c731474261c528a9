// Cost and speed of the membership protocol in virtual time, by fleet size.

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
    auto& victim = fleet.of(size / 2);
    victim.up = false;
    const auto first = fleet.time_until(seconds{60}, [&] {
        return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
            return node->up && !membership_fleet::view(*node, victim.entry.vm);
        });
    });
    const auto rest =
        fleet.time_until(seconds{60}, [&] { return fleet.all_view(victim, std::nullopt); });
    auto& fresh = fleet.add(size);
    const auto join =
        fleet.time_until(seconds{60}, [&] { return fleet.all_view(fresh, vm_state::live); });
    fleet.run(seconds{5});
    std::cout << "  dead VM: first " << in_seconds(first) << " s, everywhere "
              << in_seconds(first + rest) << " s; new VM known everywhere: " << in_seconds(join)
              << " s; largest datagram " << fleet.largest_datagram << " B; settled "
              << fleet.settled() << std::endl;
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
