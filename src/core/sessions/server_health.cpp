#include "jackdawvane/sessions/server_health.hpp"

#include <utility>

#include <algorithm>
#include <cmath>

namespace jackdawvane {

namespace {

/// Outcomes that are older than this many half-lives are discarded.
constexpr int kept_half_lives = 30;

double ratio(double failures, double successes) {
    const auto total = failures + successes;
    return total > 0 ? failures / total : 0;
}

} // namespace

void server_health::decay(time_point now, record& server) const {
    const auto age = std::chrono::duration<double>(now - server.updated);
    const auto half_life = std::chrono::duration<double>(settings_.half_life);
    const auto factor = std::exp2(-std::max(0.0, age / half_life));
    server.failures *= factor;
    server.successes *= factor;
    server.updated = now;
}

void server_health::on_outcome(time_point now, time_point sent, const backend_server_id& backend,
                               bool failed) {
    prune(now);
    auto& server = records_[backend];
    decay(now, server);
    (failed ? server.failures : server.successes) += 1;
    if (server.ejected) {
        on_ejected_outcome(now, sent, backend, server, failed);
        return;
    }
    if (server.probation == 0 || sent < server.returned) {
        return;
    }
    server.failed_in_probation = failed;
    server.probation -= failed ? 0 : 1;
}

void server_health::on_ejected_outcome(time_point now, time_point sent,
                                       const backend_server_id& backend, record& server,
                                       bool failed) {
    if (!server.probe_sent || sent < *server.probe_sent) {
        return;
    }
    if (failed) {
        eject(now, backend, server);
    } else {
        take_back(now, backend, server);
    }
}

void server_health::eject(time_point now, const backend_server_id& backend, record& server) {
    const bool again =
        server.ejected || (server.returned && now - *server.returned <= settings_.flap_window);
    server.pause =
        again ? std::min(server.pause * 2, settings_.longest_pause) : settings_.first_pause;
    server.ejected = true;
    server.failed_in_probation = false;
    server.probe_at = now + server.pause;
    server.probe_sent.reset();
    changes_.push_back({backend, true, server.failures, server.successes, server.pause});
}

void server_health::take_back(time_point now, const backend_server_id& backend, record& server) {
    changes_.push_back({backend, false, server.failures, server.successes, duration{0}});
    server.ejected = false;
    server.probe_sent.reset();
    server.returned = now;
    server.probation = settings_.probation;
    server.failures = 0;
    server.successes = 1;
}

bool server_health::unhealthy(const backend_server_id& backend, const record& server,
                              const std::vector<backend_server_id>& servers) const {
    if (server.failed_in_probation) {
        return true;
    }
    if (server.failures < settings_.min_failures) {
        return false;
    }
    double failures = 0;
    double successes = 0;
    for (const auto& other : servers) {
        const auto found = records_.find(other);
        if (other != backend && found != records_.end() && !found->second.ejected) {
            failures += found->second.failures;
            successes += found->second.successes;
        }
    }
    const auto threshold =
        std::max(settings_.failure_ratio, settings_.excess * ratio(failures, successes));
    return ratio(server.failures, server.successes) >= threshold;
}

bool server_health::probe_due(time_point now, const record& server) const {
    return now >= server.probe_at &&
           (!server.probe_sent || now - *server.probe_sent > settings_.probe_timeout);
}

health_verdict server_health::judge(time_point now, const std::vector<backend_server_id>& servers) {
    std::vector<std::pair<double, backend_server_id>> ejected;
    for (const auto& backend : servers) {
        const auto found = records_.find(backend);
        if (found != records_.end()) {
            decay(now, found->second);
        }
    }
    auto count = static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [&](const auto& backend) {
            const auto found = records_.find(backend);
            return found != records_.end() && found->second.ejected;
        }));
    health_verdict verdict;
    for (const auto& backend : servers) {
        const auto found = records_.find(backend);
        if (found == records_.end()) {
            continue;
        }
        auto& server = found->second;
        const bool room = (count + 1) * 2 <= servers.size();
        if (!server.ejected && room && unhealthy(backend, server, servers)) {
            eject(now, backend, server);
            ++count;
        }
        if (server.ejected) {
            ejected.emplace_back(-ratio(server.failures, server.successes), backend);
            if (!verdict.probe && probe_due(now, server)) {
                verdict.probe = backend;
            }
        }
    }
    std::sort(ejected.begin(), ejected.end());
    ejected.resize(std::min(ejected.size(), servers.size() / 2));
    for (auto& [order, backend] : ejected) {
        verdict.ejected.insert(std::move(backend));
    }
    return verdict;
}

void server_health::on_probe_sent(time_point now, const backend_server_id& backend) {
    records_[backend].probe_sent = now;
}

std::vector<health_change> server_health::take_changes() {
    return std::exchange(changes_, {});
}

/// Removes the records of servers that get no statements any more.
void server_health::prune(time_point now) {
    if (now - pruned_ < settings_.flap_window) {
        return;
    }
    pruned_ = now;
    std::erase_if(records_, [&](const auto& each) {
        return now - each.second.updated > settings_.half_life * kept_half_lives;
    });
}

} // namespace jackdawvane
