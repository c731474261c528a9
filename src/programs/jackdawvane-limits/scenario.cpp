#include "programs/jackdawvane-limits/scenario.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace jackdawvane::limits {

namespace {

using std::chrono::seconds;

constexpr double mean_load = 0.8;
/// Callers per VM follow 1 / rank^exponent; 1.5 gives the first of 9 VMs half of all callers.
constexpr double skew_exponent = 1.5;
/// Interval at which the callers are redistributed over the VMs.
constexpr seconds reshuffle_interval{40};
constexpr double burst_interval_seconds = 6;
constexpr double burst_fraction = 0.4;
constexpr duration burst_length = std::chrono::milliseconds{100};
constexpr double microseconds_per_second = 1e6;

std::vector<double> slot_weights(bool uneven, random_engine& random) {
    std::vector<double> weights(vm_count, 1);
    if (!uneven) {
        return weights;
    }
    for (std::size_t i = 0; i < vm_count; ++i) {
        weights[i] = std::pow(static_cast<double>(i + 1), -skew_exponent);
    }
    std::shuffle(weights.begin(), weights.end(), random);
    return weights;
}

duration from_seconds(double value) {
    return duration{static_cast<duration::rep>(value * microseconds_per_second)};
}

void add_arrivals(const scenario& chosen, std::size_t organisation, random_engine& random,
                  std::vector<arrival>& all) {
    const auto limits = organisation_limits()[organisation];
    const double rate =
        limits.rate *
        (organisation == 0 && chosen.overload_factor > 1 ? chosen.overload_factor : mean_load);
    std::exponential_distribution<double> interarrival_time{rate};
    std::exponential_distribution<double> burst_interval{1 / burst_interval_seconds};
    std::uniform_int_distribution<duration::rep> burst_offset{0, burst_length.count()};
    const auto end = time_point{chosen.length};
    auto next_burst = time_point{} + from_seconds(burst_interval(random));
    auto next_shuffle = time_point{};
    std::discrete_distribution<std::size_t> slot;
    for (auto at = time_point{}; at < end; at += from_seconds(interarrival_time(random))) {
        if (at >= next_shuffle && (chosen.load_changes || at == time_point{})) {
            const auto weights = slot_weights(chosen.uneven, random);
            slot = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
            next_shuffle += reshuffle_interval;
        }
        all.push_back({at, slot(random), organisation});
        if (at >= next_burst && chosen.load_changes) {
            next_burst = at + from_seconds(burst_interval(random));
            const auto target = slot(random);
            for (int i = 0; i < static_cast<int>(limits.burst * burst_fraction); ++i) {
                all.push_back({at + duration{burst_offset(random)}, target, organisation});
            }
        }
    }
}

} // namespace

std::vector<scenario> all_scenarios() {
    scenario even{"even callers"};
    even.uneven = false;
    scenario uneven{"uneven callers"};
    scenario steady{"uneven callers, no change"};
    steady.load_changes = false;
    steady.warm_up = seconds{60};
    scenario outage{"uneven, store outage"};
    outage.store_outage = {seconds{30}, seconds{90}};
    scenario partition{"uneven, domain cut"};
    partition.domain_partition = {seconds{45}, seconds{75}};
    scenario replaced{"uneven, VM replaced every 20 s"};
    replaced.replacement_interval = seconds{20};
    scenario overloaded{"uneven, one organisation at 5x"};
    overloaded.overload_factor = 5;
    return {even, uneven, steady, outage, partition, replaced, overloaded};
}

const std::vector<share_limits>& organisation_limits() {
    static const std::vector<share_limits> limits{{300, 150}, {200, 100}, {120, 60}, {80, 40},
                                                  {60, 30},   {40, 20},   {30, 15},  {20, 10}};
    return limits;
}

organisation_id organisation_name(std::size_t index) {
    return organisation_id{"organisation-" + std::to_string(index)};
}

std::vector<arrival> make_arrivals(const scenario& chosen, std::uint64_t seed) {
    std::vector<arrival> all;
    for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
        random_engine random{seed * 1000 + i};
        add_arrivals(chosen, i, random, all);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return all;
}

} // namespace jackdawvane::limits
