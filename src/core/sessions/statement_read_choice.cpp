#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

/// @file
/// @brief Statement executor: health, distance and load in the choice of a server for a read.

namespace jackdawvane {

namespace {

/// A share is logged when it has changed by this much since the last line.
constexpr double logged_change = 0.1;

/// A replica that answers a read without an extra delay.
bool fit(const read_candidate& candidate) {
    return !candidate.lagging && !candidate.warming_up && !candidate.leaving;
}

/// Keeps the lesser cost; of an unmeasured server, the age of the evidence is not known.
void keep_least(std::optional<zone_cost>& least, const zone_cost& cost) {
    if (!least || cost.expected < least->expected) {
        least = cost;
    }
}

std::string percent(double share) {
    return std::to_string(std::lround(share * 100)) + "%";
}

std::string expected_ms(const std::optional<zone_cost>& cost) {
    return cost ? std::to_string(to_milliseconds(cost->expected)) : "-";
}

std::string age_ms(const std::optional<zone_cost>& cost) {
    return cost && cost->evidence_age != duration::max()
               ? std::to_string(to_milliseconds(cost->evidence_age))
               : "-";
}

} // namespace

/// Pseudo-random number by SplitMix64 of a counter; VMs differ by their ids.
std::uint64_t statement_executor::draw() {
    auto value = std::hash<std::string>{}(state_.self.vm.str()) + ++draws_ * 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::optional<backend_server_id> statement_executor::choose_read(time_point now,
                                                                 caller_session& session,
                                                                 std::vector<read_candidate> found,
                                                                 proxy_output& out) {
    if (!settings_.placement_by_load) {
        std::erase_if(found, [](const auto& candidate) { return candidate.refusing; });
        return choose_backend(found, settings_.choice);
    }
    if (auto probe = apply_health(now, session, found, out)) {
        return probe;
    }
    const bool available = std::any_of(found.begin(), found.end(),
                                       [](const auto& candidate) { return !candidate.refusing; });
    if (!available) {
        return {};
    }
    apply_spillover(now, routes_.at(session.id).group, found, out);
    std::erase_if(found, [](const auto& candidate) { return candidate.refusing; });
    if (found.empty()) {
        // Only servers of other regions are available, and this read is to stay.
        session.work->retry_at = now + settings_.retry_delay;
        return {};
    }
    return choose_backend(found, settings_.choice, draw());
}

/// Removes ejected servers.
/// @return the server that this read goes to as a probe, if one is due
std::optional<backend_server_id>
statement_executor::apply_health(time_point now, const caller_session& session,
                                 std::vector<read_candidate>& found, proxy_output& out) {
    std::vector<backend_server_id> servers;
    for (const auto& candidate : found) {
        if (!candidate.refusing) {
            servers.push_back(candidate.backend);
        }
    }
    const auto verdict = forwarder_.health().judge(now, servers);
    const auto probed = std::find_if(found.begin(), found.end(), [&](const auto& candidate) {
        return candidate.backend == verdict.probe && fit(candidate);
    });
    // A read that has failed once is not put at risk again.
    const bool may_probe = session.transaction.state == transaction_state::idle &&
                           session.work->tries == 0 && servers.size() > 1;
    if (may_probe && probed != found.end()) {
        forwarder_.health().on_probe_sent(now, probed->backend);
        count(out.common, "health_probes_total", "backend_server", probed->backend.str());
        return probed->backend;
    }
    std::erase_if(
        found, [&](const auto& candidate) { return verdict.ejected.contains(candidate.backend); });
    return {};
}

read_reach statement_executor::reach_of(const read_candidate& candidate) const {
    if (candidate.distance <= settings_.same_domain_round_trip) {
        return read_reach::domain;
    }
    return candidate.distance <= settings_.same_region_round_trip ? read_reach::region
                                                                  : read_reach::remote;
}

spillover_input
statement_executor::spillover_costs(time_point now,
                                    const std::vector<read_candidate>& found) const {
    spillover_input costs;
    for (auto candidate : found) {
        if (!fit(candidate)) {
            continue;
        }
        candidate.last_used = false; // A property of the session, not of the distance.
        // A refused statement is tried again after `retry_delay`.
        const auto backoff = candidate.refusing ? settings_.retry_delay : duration{0};
        const zone_cost cost{read_cost(candidate, settings_.choice) + backoff,
                             forwarder_.evidence_age(now, candidate.backend)};
        const auto reach = reach_of(candidate);
        keep_least(reach == read_reach::remote ? costs.remote : costs.own_region, cost);
        if (!candidate.primary && reach != read_reach::remote) {
            keep_least(reach == read_reach::domain ? costs.own_domain : costs.own_zones, cost);
        }
    }
    return costs;
}

/// Removes the servers that are farther away than this read may run.
void statement_executor::apply_spillover(time_point now, const group_id& group,
                                         std::vector<read_candidate>& found, proxy_output& out) {
    if (found.empty()) {
        return;
    }
    constexpr double draw_range = 0x1p64;
    const auto costs = spillover_costs(now, found);
    auto& spillover =
        spillovers_.try_emplace(group, group_spillover{zone_spillover{settings_.spillover}})
            .first->second;
    spillover.shares.update(now, costs);
    log_spillover(group, costs, out);
    auto reach = spillover.shares.reach(costs, static_cast<double>(draw()) / draw_range);
    const bool domain_available =
        std::any_of(found.begin(), found.end(), [&](const auto& candidate) {
            return !candidate.refusing && reach_of(candidate) == read_reach::domain;
        });
    if (reach == read_reach::domain && !domain_available) {
        reach = read_reach::region; // 1 ms more is less than the wait for the end of a refusal.
    }
    std::erase_if(found, [&](const auto& candidate) { return reach_of(candidate) > reach; });
    count(out.common, "reads_by_reach_total", "reach", to_string(reach));
}

void statement_executor::log_spillover(const group_id& group, const spillover_input& costs,
                                       proxy_output& out) {
    auto& spillover = spillovers_.at(group);
    const auto domain = spillover.shares.domain_share();
    const auto region = spillover.shares.region_share();
    const auto noticeable = [](double share, double logged) {
        return std::abs(share - logged) >= logged_change || (share == 0 && logged != 0);
    };
    if (!noticeable(domain, spillover.logged_domain) &&
        !noticeable(region, spillover.logged_region)) {
        return;
    }
    spillover.logged_domain = domain;
    spillover.logged_region = region;
    log(out.common, "spillover", log_level::info,
        "share group=" + group.str() + " out_of_domain=" + percent(domain) +
            " out_of_region=" + percent(region) + " domain_ms=" + expected_ms(costs.own_domain) +
            " zones_ms=" + expected_ms(costs.own_zones) + " region_ms=" +
            expected_ms(costs.own_region) + " remote_ms=" + expected_ms(costs.remote) +
            " domain_age_ms=" + age_ms(costs.own_domain) +
            " region_age_ms=" + age_ms(costs.own_region));
    for (const auto& [name, share] : std::array<std::pair<const char*, double>, 2>{
             {{"spillover_domain_share", domain}, {"spillover_region_share", region}}}) {
        out.common.emplace_back(measurement{metric_kind::gauge, name, "group", group.str(), share});
    }
}

void statement_executor::log_health_changes(proxy_output& out) {
    for (const auto& change : forwarder_.health().take_changes()) {
        const char* what = change.ejected ? "ejected" : "returned";
        log(out.common, "health", change.ejected ? log_level::warning : log_level::info,
            std::string{what} + " backend=" + change.backend.str() +
                " failures=" + std::to_string(std::lround(change.failures)) +
                " successes=" + std::to_string(std::lround(change.successes)) +
                " probe_in_ms=" + std::to_string(to_milliseconds(change.pause)));
        count(out.common, "health_changes_total", "change", what);
    }
}

} // namespace jackdawvane
