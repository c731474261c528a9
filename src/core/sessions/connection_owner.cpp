#include "jackdawvane/sessions/connection_owner.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

session_needs needs_of(const forwarded_statement& statement) {
    session_needs needs;
    needs.organisation = statement.organisation;
    needs.values = &statement.values;
    needs.prepared = statement.prepared ? &*statement.prepared : nullptr;
    needs.writes = statement.writes;
    return needs;
}

/// Messages that the network received during a pause are read within this time after it.
constexpr duration backlog_time = std::chrono::milliseconds{200};

} // namespace

connection_owner::connection_owner(fleet_state& state, backend_sessions& backends,
                                   owner_settings settings)
    : state_{state}, backends_{backends}, settings_{settings}, warm_up_{settings.warm_up} {}

void connection_owner::submit(time_point now, const vm_id& entry, forwarded_statement statement,
                              proxy_output& out) {
    present_ = now;
    const auto entry_deadline = now + statement.remaining;
    auto bound = leases_.find({entry, statement.lease});
    if (bound != leases_.end() && !backends_.holds(bound->second.connection)) {
        leases_.erase(bound); // The connection was lost while it ran no statement.
        bound = leases_.end();
    }
    if (state_.evacuation_blocks(now, statement.backend)) {
        refuse_evacuated(now, {entry, std::move(statement), entry_deadline}, out);
        return;
    }
    if (bound != leases_.end()) {
        bound->second.used = now;
        if (warm_up_refuses(now, statement)) {
            refuse_warming_up(now, {entry, std::move(statement), entry_deadline}, out);
            return;
        }
        start(now, {entry, std::move(statement), entry_deadline}, bound->second.connection, out);
        return;
    }
    if (statement.continues_transaction) {
        // The connection was lost; on another one the statement would run outside its transaction.
        attempt_result lost;
        lost.attempt = statement.attempt;
        lost.lease = statement.lease;
        lost.backend = statement.backend;
        report(entry, std::move(lost));
        return;
    }
    if (now < backlog_until_) {
        log(out.common, "owner", log_level::info,
            "not_run request=" + statement.main.id.str() + " entry=" + entry.str() +
                " backend=" + statement.backend.str() + " reason=backlog_of_a_pause");
        report_not_run({entry, std::move(statement), entry_deadline}, statement_error::busy);
        return;
    }
    const auto& backend = statement.backend;
    const auto& after = statement.begin ? statement.begin->after : statement.main.after;
    if (after && backends_.lags(now, backend, *after)) {
        report_not_run({entry, std::move(statement), entry_deadline}, statement_error::lagging);
        return;
    }
    auto& queue = queues_.try_emplace(backend, settings_.queue_limit).first->second;
    std::uint32_t weight = 1;
    if (state_.configuration) {
        const auto row = state_.configuration->organisations.find(statement.organisation);
        weight = row == state_.configuration->organisations.end() ? 1 : row->second.weight;
    }
    const auto deadline = now + std::min(statement.remaining, settings_.queue_timeout);
    const auto organisation = statement.organisation;
    queued waiting{entry, std::move(statement), entry_deadline};
    if (!queue.push(queue_ids_.next(), organisation, weight, 1, deadline, waiting)) {
        report_not_run(waiting, statement_error::busy);
        return;
    }
    drain(now, waiting.statement.backend, queue, out);
}

void connection_owner::drain(time_point now, const backend_server_id& backend,
                             fair_queue<queued>& queue, proxy_output& out) {
    expire(now, queue);
    if (backends_.recently_failed(now, backend)) {
        while (auto next = queue.pop(now)) {
            report_not_run(next->item, statement_error::none);
        }
        return;
    }
    while (!queue.empty() && backends_.has_capacity(now, backend)) {
        auto next = queue.pop(now);
        if (!next) {
            return;
        }
        if (state_.evacuation_blocks(now, backend)) {
            refuse_evacuated(now, next->item, out);
            continue;
        }
        if (warm_up_refuses(now, next->item.statement)) {
            refuse_warming_up(now, next->item, out);
            continue;
        }
        const auto connection =
            backends_.acquire(now, backend, needs_of(next->item.statement), out);
        if (!connection) {
            report_not_run(next->item, statement_error::busy);
            continue;
        }
        leases_[{next->item.entry, next->item.statement.lease}] = {*connection, backend, now};
        start(now, std::move(next->item), *connection, out);
    }
}

void connection_owner::start(time_point now, queued next, connection_id connection,
                             proxy_output& out) {
    const auto attempt = attempt_ids_.next();
    auto& statement = next.statement;
    running_[attempt] = {{next.entry, statement.lease}, statement.attempt, now};
    auto needs = needs_of(statement);
    needs.deadline = next.deadline;
    backends_.send(now, connection, attempt, needs, std::move(statement.begin),
                   std::move(statement.main), out);
}

void connection_owner::expire(time_point now, fair_queue<queued>& queue) {
    for (const auto& each : queue.expire(now)) {
        report_not_run(each.item, statement_error::busy);
    }
}

void connection_owner::report_not_run(const queued& entry, statement_error problem) {
    attempt_result result;
    result.attempt = entry.statement.attempt;
    result.lease = entry.statement.lease;
    result.backend = entry.statement.backend;
    result.reply.problem = problem;
    result.answered = problem != statement_error::none;
    result.unreachable = problem == statement_error::none;
    report(entry.entry, std::move(result));
}

void connection_owner::report(const vm_id& entry, attempt_result result) {
    result.load = due_load(entry, result.backend);
    results_.push_back({entry, std::move(result)});
}

void connection_owner::measure(const backend_server_id& backend, duration service_time) {
    const auto [mean, first] = service_times_.try_emplace(backend, service_time);
    if (!first) {
        mean->second += (service_time - mean->second) / settings_.service_time_divisor;
    }
}

std::optional<server_load> connection_owner::due_load(const vm_id& entry,
                                                      const backend_server_id& backend) {
    if (!settings_.reports_load) {
        return {};
    }
    return reporter_.due(present_, entry, backend, load_of(backend));
}

server_load connection_owner::load_of(const backend_server_id& backend) const {
    server_load load;
    const auto queue = queues_.find(backend);
    load.waiting = queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
    load.running = backends_.running(backend);
    const auto* entry = state_.directory.find(backend);
    load.slots = entry == nullptr ? 1 : entry->registration.slots;
    const auto measured = service_times_.find(backend);
    load.service_time = measured == service_times_.end() ? duration{0} : measured->second;
    return load;
}

void connection_owner::release(time_point now, const vm_id& entry, const lease_release& release,
                               proxy_output& out) {
    const auto bound = leases_.find({entry, release.lease});
    if (bound == leases_.end()) {
        withdraw(entry, release);
        return;
    }
    const auto connection = bound->second.connection;
    // A rollback or reset would be a request to the evacuated domain; closing has the same effect.
    const bool evacuated = state_.evacuation_blocks(now, bound->second.backend);
    leases_.erase(bound);
    if (release.discard) {
        discard({entry, release.lease}, connection, out);
    } else if (evacuated) {
        end_statements({entry, release.lease}, release.backend);
        discard({entry, release.lease}, connection, out);
    } else {
        backends_.release(now, connection, release.in_transaction, out);
    }
}

void connection_owner::withdraw(const vm_id& entry, const lease_release& release) {
    const auto queue = queues_.find(release.backend);
    if (queue == queues_.end()) {
        return;
    }
    const auto removed = queue->second.remove_matching([&](const queued& each) {
        return each.entry == entry && each.statement.lease == release.lease;
    });
    if (removed && !release.discard) { // The entry VM still counts the attempt.
        attempt_result withdrawn;
        withdrawn.attempt = removed->item.statement.attempt;
        withdrawn.lease = release.lease;
        withdrawn.backend = release.backend;
        report(entry, std::move(withdrawn));
    }
}

void connection_owner::end_statements(const lease_key& key, const backend_server_id& backend) {
    for (const auto& [id, statement] : running_) {
        if (statement.key == key) {
            attempt_result lost;
            lost.attempt = statement.attempt;
            lost.lease = key.lease;
            lost.backend = backend;
            lost.sent = true;
            report(key.entry, std::move(lost));
        }
    }
}

void connection_owner::discard(const lease_key& key, connection_id connection, proxy_output& out) {
    std::erase_if(running_, [&](const auto& each) { return each.second.key == key; });
    backends_.discard(connection, out);
}

void connection_owner::paused(time_point now) {
    backlog_until_ = now + backlog_time;
}

void connection_owner::forget(const vm_id& entry, proxy_output& out) {
    reporter_.forget(entry);
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->first.entry == entry) {
            discard(it->first, it->second.connection, out);
            it = leases_.erase(it);
        } else {
            ++it;
        }
    }
    // The VM may have retried them elsewhere.
    for (auto& [backend, queue] : queues_) {
        const auto is_of_entry = [&](const queued& each) { return each.entry == entry; };
        while (queue.remove_matching(is_of_entry)) {
        }
    }
}

void connection_owner::settle(time_point now, proxy_output& out) {
    present_ = now;
    for (auto& result : backends_.take_results()) {
        const auto found = running_.find(result.attempt);
        if (found == running_.end()) {
            continue;
        }
        const auto started = found->second;
        running_.erase(found);
        if (!result.answered) {
            leases_.erase(started.key);
        } else if (result.sent && result.reply.problem == statement_error::none) {
            measure(result.backend, now - started.started);
        }
        result.attempt = started.attempt;
        result.lease = started.key.lease;
        report(started.key.entry, std::move(result));
    }
    for (auto& [backend, queue] : queues_) {
        if (!queue.empty()) {
            drain(now, backend, queue, out);
        }
    }
}

void connection_owner::tick(time_point now, proxy_output& out) {
    reporter_.prune(now);
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (now - it->second.used > settings_.lease_timeout) {
            log(out.common, "owner", log_level::warning,
                "lease expired entry=" + it->first.entry.str() +
                    " backend=" + it->second.backend.str());
            discard(it->first, it->second.connection, out);
            it = leases_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto it = queues_.begin(); it != queues_.end();) {
        const bool gone = it->second.empty() && state_.directory.find(it->first) == nullptr;
        it = gone ? queues_.erase(it) : std::next(it);
    }
    std::erase_if(warm_up_reported_at_,
                  [&](const auto& each) { return state_.directory.find(each.first) == nullptr; });
    std::erase_if(service_times_,
                  [&](const auto& each) { return state_.directory.find(each.first) == nullptr; });
}

bool connection_owner::busy() const {
    // The entry VM has given up a running statement whose lease it has released.
    return std::any_of(queues_.begin(), queues_.end(),
                       [](const auto& each) { return !each.second.empty(); }) ||
           std::any_of(running_.begin(), running_.end(),
                       [&](const auto& each) { return leases_.contains(each.second.key); });
}

std::vector<owner_result> connection_owner::take_results() {
    return std::exchange(results_, {});
}

} // namespace jackdawvane
