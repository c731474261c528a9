#include "jackdawvane/adapters/process_identity.hpp"

#include <chrono>
#include <random>

namespace jackdawvane {

vm_incarnation current_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return vm_incarnation{static_cast<std::uint64_t>(milliseconds.count())};
}

std::uint64_t random_seed() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>{}(device);
}

} // namespace jackdawvane
