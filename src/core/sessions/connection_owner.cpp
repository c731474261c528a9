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

/// Statements that are returned because of the load are logged together, once in this time.
constexpr duration log_interval = std::chrono::seconds{1};
constexpr double microseconds_per_second = 1e6;

std::string class_name(std::uint32_t priority) {
    return std::to_string(admission_queue::class_of(priority));
}

} // namespace

connection_owner::connection_owner(fleet_state& state, backend_sessions& backends,
                                   owner_settings settings)
    : state_{state}, backends_{backends}, settings_{settings} {}

void connection_owner::submit(time_point now, const vm_id& entry, forwarded_statement statement,
                              proxy_output& out) {
    const auto entry_deadline = now + statement.remaining;
    auto bound = leases_.find({entry, statement.lease});
    if (bound != leases_.end() && !backends_.holds(bound->second.connection)) {
        leases_.erase(bound); // The connection was lost while it ran no statement.
        bound = leases_.end();
    }
    if (bound != leases_.end()) {
        bound->second.used = now;
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
    auto& queue = queue_of(now, backend);
    const auto entry_in_queue = entry_of(now, statement);
    const bool at_once = queue.order.empty() && backends_.has_capacity(now, backend);
    // What can't reach the server is answered as unreachable, whatever its time.
    const bool in_time = at_once || backends_.recently_failed(now, backend) ||
                         queue.order.can_serve(now, entry_in_queue);
    queued waiting{entry, std::move(statement), entry_deadline};
    if (!in_time || !queue.order.push(entry_in_queue)) {
        refuse(now, waiting, in_time ? "queue_full" : "no_slot_in_time", out);
        return;
    }
    if (!at_once) {
        count(out.common, "statement_waits_total", "class", class_name(waiting.statement.priority));
    }
    const auto server = waiting.statement.backend;
    queue.statements.emplace(entry_in_queue.id, std::move(waiting));
    drain(now, server, queue, out);
}

connection_owner::server_queue& connection_owner::queue_of(time_point now,
                                                           const backend_server_id& backend) {
    const admission_queue_settings settings{settings_.queue_limit};
    auto& queue =
        queues_.try_emplace(backend, server_queue{admission_queue{settings}, {}}).first->second;
    const auto mean = service_time(now, backend);
    const double rate = mean <= duration{0}
                            ? 0
                            : backends_.concurrency(backend) * microseconds_per_second /
                                  static_cast<double>(mean.count());
    queue.order.set_service_rate(rate);
    return queue;
}

/// Mean service time, or the mean time that the running statements have taken so far, if that is
/// longer: a server that has become slow is recognised before its statements end.
duration connection_owner::service_time(time_point now, const backend_server_id& backend) const {
    const auto measured = service_times_.find(backend);
    if (measured == service_times_.end()) {
        return duration{0};
    }
    duration sum{0};
    int number{0};
    for (const auto& [attempt, each] : running_) {
        if (each.backend == backend) {
            sum += now - each.started;
            ++number;
        }
    }
    return number == 0 ? measured->second : std::max(measured->second, sum / number);
}

admission_entry connection_owner::entry_of(time_point now, const forwarded_statement& statement) {
    admission_entry entry;
    entry.id = queue_ids_.next();
    entry.organisation = statement.organisation;
    entry.priority = statement.priority;
    if (state_.configuration) {
        const auto row = state_.configuration->organisations.find(statement.organisation);
        entry.weight = row == state_.configuration->organisations.end() ? 1 : row->second.weight;
    }
    // A statement has to end within its time limit, not only to start.
    const auto useful =
        std::max(duration{0}, statement.remaining - service_time(now, statement.backend));
    entry.deadline =
        now + (statement.alternative ? std::min(useful, settings_.queue_timeout) : useful);
    entry.time_limit = now + statement.remaining;
    return entry;
}

void connection_owner::drain(time_point now, const backend_server_id& backend, server_queue& queue,
                             proxy_output& out) {
    expire(now, queue, out);
    if (backends_.recently_failed(now, backend)) {
        while (const auto next = queue.order.pop(now)) {
            report_not_run(queue.statements.extract(next->id).mapped(), statement_error::none);
        }
        return;
    }
    while (!queue.order.empty() && backends_.has_capacity(now, backend)) {
        const auto next = queue.order.pop(now);
        if (!next) {
            return;
        }
        auto statement = queue.statements.extract(next->id).mapped();
        const auto connection = backends_.acquire(now, backend, needs_of(statement.statement), out);
        if (!connection) {
            report_not_run(statement, statement_error::busy);
            continue;
        }
        leases_[{statement.entry, statement.statement.lease}] = {*connection, backend, now};
        start(now, std::move(statement), *connection, out);
    }
}

void connection_owner::start(time_point now, queued next, connection_id connection,
                             proxy_output& out) {
    const auto attempt = attempt_ids_.next();
    auto& statement = next.statement;
    running_[attempt] = {{next.entry, statement.lease}, statement.attempt, statement.backend, now};
    auto needs = needs_of(statement);
    needs.deadline = next.deadline;
    backends_.send(now, connection, attempt, needs, std::move(statement.begin),
                   std::move(statement.main), out);
}

void connection_owner::expire(time_point now, server_queue& queue, proxy_output& out) {
    for (const auto& each : queue.order.expire(now)) {
        refuse(now, queue.statements.extract(each.id).mapped(), "queue_timeout", out);
    }
}

/// Returns a statement as not run because of the load of its server.
void connection_owner::refuse(time_point now, const queued& entry, const char* reason,
                              proxy_output& out) {
    report_not_run(entry, statement_error::busy);
    count(out.common, "statement_refusals_total", "reason", reason);
    ++unlogged_;
    if (now < next_log_at_) {
        return;
    }
    next_log_at_ = now + log_interval;
    const auto& statement = entry.statement;
    const auto load = load_of(statement.backend);
    log(out.common, "owner", log_level::info,
        "not_run request=" + statement.main.id.str() + " entry=" + entry.entry.str() +
            " backend=" + statement.backend.str() + " reason=" + reason +
            " class=" + class_name(statement.priority) +
            " remaining_ms=" + std::to_string(to_milliseconds(entry.deadline - now)) +
            " alternative=" + (statement.alternative ? "1" : "0") + " waiting=" +
            std::to_string(load.waiting) + " running=" + std::to_string(load.running) +
            " service_ms=" + std::to_string(to_milliseconds(service_time(now, statement.backend))) +
            " refusals=" + std::to_string(std::exchange(unlogged_, 0)));
}

/// Reports the waiting statements by class when their number has changed.
void connection_owner::report_queues(proxy_output& out) {
    for (std::size_t i = 0; i < admission_queue::classes; ++i) {
        std::size_t waiting{0};
        for (const auto& [backend, queue] : queues_) {
            waiting += queue.order.size_of_class(i);
        }
        if (std::exchange(reported_waiting_.at(i), waiting) != waiting) {
            out.common.emplace_back(measurement{metric_kind::gauge, "statements_waiting", "class",
                                                std::to_string(i), static_cast<double>(waiting)});
        }
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
    result.load = load_of(result.backend);
    results_.push_back({entry, std::move(result)});
}

void connection_owner::measure(const backend_server_id& backend, duration service_time) {
    const auto [mean, first] = service_times_.try_emplace(backend, service_time);
    if (!first) {
        mean->second += (service_time - mean->second) / settings_.service_time_divisor;
    }
}

server_load connection_owner::load_of(const backend_server_id& backend) const {
    server_load load;
    const auto queue = queues_.find(backend);
    load.waiting =
        queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.order.size());
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
        return;
    }
    const auto connection = bound->second.connection;
    leases_.erase(bound);
    if (release.discard) {
        backends_.discard(connection, out);
    } else {
        backends_.release(now, connection, release.in_transaction, out);
    }
}

void connection_owner::paused(time_point now) {
    backlog_until_ = now + backlog_time;
}

void connection_owner::forget(const vm_id& entry, proxy_output& out) {
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->first.entry == entry) {
            backends_.discard(it->second.connection, out);
            it = leases_.erase(it);
        } else {
            ++it;
        }
    }
}

void connection_owner::settle(time_point now, proxy_output& out) {
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
        if (!queue.order.empty()) {
            drain(now, backend, queue, out);
        }
    }
}

void connection_owner::tick(time_point now, proxy_output& out) {
    report_queues(out);
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (now - it->second.used > settings_.lease_timeout) {
            log(out.common, "owner", log_level::warning,
                "lease expired entry=" + it->first.entry.str() +
                    " backend=" + it->second.backend.str());
            backends_.discard(it->second.connection, out);
            it = leases_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto it = queues_.begin(); it != queues_.end();) {
        const bool gone = it->second.order.empty() && state_.directory.find(it->first) == nullptr;
        it = gone ? queues_.erase(it) : std::next(it);
    }
    std::erase_if(service_times_,
                  [&](const auto& each) { return state_.directory.find(each.first) == nullptr; });
}

bool connection_owner::busy() const {
    // The entry VM has given up a running statement whose lease it has released.
    return std::any_of(queues_.begin(), queues_.end(),
                       [](const auto& each) { return !each.second.order.empty(); }) ||
           std::any_of(running_.begin(), running_.end(),
                       [&](const auto& each) { return leases_.contains(each.second.key); });
}

std::vector<owner_result> connection_owner::take_results() {
    return std::exchange(results_, {});
}

} // namespace jackdawvane
