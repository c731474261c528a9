#pragma once

#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/node/store.hpp"

#include <utility>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "programs/jackdawvane-limits/scenario.hpp"

namespace jackdawvane::limits {

/// @brief Discrete-event simulation that a mechanism runs in: virtual time, network, store and
/// presence of the VMs.
class simulation {
  public:
    /// @param chosen must outlive this object
    simulation(const scenario& chosen, std::uint64_t seed) : scenario_{chosen}, random_{seed} {}

    /// @brief Runs @a work after @a delay.
    void after(duration delay, std::function<void()> work);
    /// @brief Runs all scheduled work until the end of the scenario.
    void run();

    /// @brief Sends a message of @a bytes; @a on_arrival runs unless the slots are partitioned.
    void send(std::size_t from, std::size_t to, std::size_t bytes,
              std::function<void()> on_arrival);

    /// @brief Calls the store from the slot @a from.
    void call(std::size_t from, const store_request& request,
              std::function<void(const store_answer&)> on_answer);

    /// @brief Whether @a slot has a running VM.
    [[nodiscard]] bool present(std::size_t slot) const noexcept { return present_.at(slot); }
    void set_present(std::size_t slot, bool present) { present_.at(slot) = present; }
    /// @brief Returns @a slot or, while it has no VM, the next slot that has one.
    [[nodiscard]] std::size_t serving_slot(std::size_t slot) const noexcept;

    [[nodiscard]] time_point now() const noexcept { return now_; }
    [[nodiscard]] const scenario& load() const noexcept { return scenario_; }
    [[nodiscard]] random_engine& random() noexcept { return random_; }

    std::uint64_t store_calls{0};
    std::uint64_t messages{0};
    std::uint64_t bytes{0};

  private:
    struct value {
        std::string text;
        std::uint64_t version{0};
    };
    struct lease {
        std::string text;
        time_point end;
    };

    [[nodiscard]] store_answer perform(const store_request& request);
    void access(const store_request& request, store_answer& answer);
    [[nodiscard]] duration latency(std::size_t from, std::size_t to);
    [[nodiscard]] bool partitioned(std::size_t from, std::size_t to) const noexcept;

    const scenario& scenario_;
    random_engine random_;
    time_point now_{};
    std::uint64_t sequence_{0};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> queue_;
    std::map<std::string, value> values_;
    std::map<std::string, lease> leases_;
    std::array<bool, vm_count> present_{true, true, true, true, true, true, true, true, true};
};

} // namespace jackdawvane::limits
