#include "jackdawvane/backends/backend_owner.hpp"
#include "jackdawvane/routing/transaction_handle.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Rolled-back transactions that are remembered, so that a late commit is answered with `not_run`.
constexpr std::size_t max_remembered_rollbacks = 1000;

/// Whether a request may have changed data once it was sent to a backend server.
bool may_change_data(const forward_request& request) {
    const bool applies =
        request.kind == request_kind::single || request.kind == request_kind::commit;
    return applies && request.mode == access_mode::write;
}

/// Outcome of a request that was sent and got no answer.
outcome outcome_without_answer(const forward_request& request) {
    // A transaction without a commit is rolled back when its connection closes.
    const bool rolled_back = request.kind == request_kind::begin ||
                             request.kind == request_kind::statements ||
                             request.kind == request_kind::rollback;
    return rolled_back ? outcome::not_run : outcome::unknown;
}

} // namespace

bool backend_owner::on_connected(time_point now, connection_id id, actions& out) {
    if (!pool_.on_connected(now, id)) {
        return false;
    }
    dispatch(now, out);
    return true;
}

bool backend_owner::on_disconnected(time_point now, connection_id id, actions& out) {
    if (!pool_.on_disconnected(now, id)) {
        return false;
    }
    fail_running(now, id, error_kind::connection_lost, out);
    const auto pinned =
        std::find_if(transactions_.begin(), transactions_.end(),
                     [id](const auto& entry) { return entry.second.connection == id; });
    if (pinned != transactions_.end()) {
        end_transaction(now, transaction_id{pinned->first}, false, out);
    }
    if (is_primary()) {
        monitor_.suspect(now, out);
    }
    dispatch(now, out);
    return true;
}

bool backend_owner::on_answer(time_point now, connection_id id, const backend_answer& answer,
                              actions& out) {
    if (!pool_.owns(id)) {
        return false;
    }
    if (pool_.on_answer(now, id, answer, out)) {
        return true;
    }
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.id != answer.id) {
        log(out, "connections", log_level::warning,
            "closed connection to " + backend_.str() + ": received an answer to another request");
        fail_running(now, id, error_kind::connection_lost, out);
        pool_.discard(id, out);
        dispatch(now, out);
        return true;
    }
    auto done = std::move(found->second);
    running_.erase(found);
    monitor_.on_status(now, answer.status, done.sent, out);
    complete(now, id, std::move(done), answer, out);
    dispatch(now, out);
    return true;
}

void backend_owner::complete(time_point now, connection_id connection, running_request done,
                             const backend_answer& answer, actions& out) {
    auto& job = done.job;
    const auto kind = job.request.kind;
    const bool failed = answer.problem.kind != error_kind::none;
    if (kind == request_kind::begin && !failed) {
        complete_begin(now, connection, job, answer, out);
        return;
    }
    if (done.transaction) {
        const bool ends = failed || kind != request_kind::statements;
        if (ends) {
            end_transaction(now, *done.transaction, true, out);
        } else if (auto found = transactions_.find(*done.transaction);
                   found != transactions_.end()) {
            found->second.busy = false;
            found->second.last_use = now;
        }
    } else {
        pool_.release(now, connection, out);
    }
    if (failed) {
        log(out, "queue", log_level::info,
            backend_.str() + " refused a request: " + answer.problem.message());
        reply_problem(now, job, outcome::not_run, answer.problem);
    } else if (may_change_data(job.request)) {
        complete_write(now, std::move(job), answer, out);
    } else if (exceeds_staleness(now, done)) {
        reply_problem(now, job, outcome::unknown,
                      error{error_kind::staleness_unproved,
                            "the answer took too long for the staleness limit",
                            {}});
    } else {
        complete_read(now, std::move(job), answer, out);
    }
}

bool backend_owner::exceeds_staleness(time_point now, const running_request& done) {
    const auto& limit = done.job.request.max_staleness;
    return limit && done.data_age + (now - done.sent) > *limit;
}

void backend_owner::complete_begin(time_point now, connection_id connection,
                                   const owner_request& job, const backend_answer& answer,
                                   actions& out) {
    const auto id = encode_transaction({settings_.self, settings_.incarnation, next_transaction_++,
                                        job.request.mode, group_, backend_, job.request.route});
    pinned_transaction opened;
    opened.organisation = job.request.organisation;
    opened.mode = job.request.mode;
    opened.fencing = job.request.fencing;
    opened.connection = connection;
    opened.last_use = now;
    transactions_.emplace(id, std::move(opened));
    reply_done(now, job, answer, id, out);
}

void backend_owner::complete_write(time_point now, owner_request job, const backend_answer& answer,
                                   actions& out) {
    const auto& view = monitor_.view();
    const auto answered_term = answer.status.accepted_term;
    if (policy(job.request.fencing).acknowledged(view, answered_term, answer.written)) {
        reply_done(now, job, answer, {}, out);
        return;
    }
    if (view.known_term() > answered_term) {
        log(out, "failover", log_level::warning,
            "outcome unknown at " + backend_.str() +
                ": primary replaced before a majority had the write");
        reply_problem(now, job, outcome::unknown,
                      error{error_kind::commit_unconfirmed,
                            "the primary was replaced before a majority had the write",
                            {}});
        return;
    }
    monitor_.await_position(now, answer.written, out);
    waiting_writes_.push_back({std::move(job), answer});
}

void backend_owner::complete_read(time_point now, owner_request job, const backend_answer& answer,
                                  actions& out) {
    if (!check_session(now, job, answer.status, out)) {
        return;
    }
    reply_done(now, job, answer, {}, out);
}

void backend_owner::fail_running(time_point now, connection_id connection, error_kind kind,
                                 actions& out) {
    const auto found = running_.find(connection);
    if (found == running_.end()) {
        return;
    }
    const auto failed = std::move(found->second);
    running_.erase(found);
    const auto result = outcome_without_answer(failed.job.request);
    log(out, "queue", log_level::warning,
        "no answer from " + backend_.str() + ": " + std::string{to_string(kind)});
    reply_problem(now, failed.job, result, error{kind, backend_.str(), {}});
    if (failed.transaction) {
        end_transaction(now, *failed.transaction, false, out);
    }
}

void backend_owner::end_transaction(time_point now, const transaction_id& id, bool clean,
                                    actions& out) {
    const auto found = transactions_.find(id);
    if (found == transactions_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    transactions_.erase(found);
    for (const auto& job : ended.waiting) {
        reply_problem(now, job, outcome::not_run, error{error_kind::unknown_transaction, {}, {}});
    }
    if (clean) {
        pool_.release(now, ended.connection, out);
    } else {
        pool_.discard(ended.connection, out);
    }
}

void backend_owner::expire_running(time_point now, actions& out) {
    std::vector<connection_id> expired;
    for (auto& [connection, entry] : running_) {
        if (now >= entry.job.deadline) {
            expired.push_back(connection);
        } else if (!entry.reported_slow && now >= entry.sent + settings_.slow_after) {
            entry.reported_slow = true;
            if (is_primary()) {
                monitor_.suspect(now, out);
            }
        }
    }
    for (const auto connection : expired) {
        fail_running(now, connection, error_kind::deadline_exceeded, out);
        pool_.discard(connection, out);
    }
}

void backend_owner::expire_waiting(time_point now, actions& out) {
    auto writes = std::exchange(waiting_writes_, {});
    for (auto& write : writes) {
        if (now < write.job.deadline) {
            waiting_writes_.push_back(std::move(write));
            continue;
        }
        log(out, "failover", log_level::warning,
            "outcome unknown at " + backend_.str() +
                ": no majority had the write within the deadline");
        reply_problem(now, write.job, outcome::unknown,
                      error{error_kind::commit_unconfirmed,
                            "no majority had the write within the deadline",
                            {}});
    }
    auto reads = std::exchange(waiting_reads_, {});
    for (auto& read : reads) {
        if (now < read.give_up) {
            waiting_reads_.push_back(std::move(read));
            continue;
        }
        const auto kind = is_primary() ? error_kind::token_ahead : error_kind::replica_behind;
        reply_problem(now, read.job, outcome::not_run, error{kind, backend_.str(), {}});
    }
}

void backend_owner::expire_transactions(time_point now, actions& out) {
    std::vector<transaction_id> expired;
    for (const auto& [id, entry] : transactions_) {
        if (!entry.busy && now >= entry.last_use + settings_.transaction_idle) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        log(out, "queue", log_level::info, "rolled back an idle transaction at " + backend_.str());
        rolled_back_.push_back(id);
        if (rolled_back_.size() > max_remembered_rollbacks) {
            rolled_back_.pop_front();
        }
        end_transaction(now, id, false, out);
    }
}

void backend_owner::reply_done(time_point now, const owner_request& job,
                               const backend_answer& answer, const transaction_id& opened,
                               actions& out) {
    forward_reply reply;
    reply.id = job.request.id;
    reply.result = outcome::done;
    reply.results = answer.results;
    reply.transaction = opened;
    reply.backend = backend_;
    reply.from_replica = answer.status.role == backend_role::replica;
    reply.repeated = answer.repeated;
    reply.summary = monitor_.view().summary(now);
    if (answer.status.position > log_position{0}) {
        reply.seen =
            session_position{group_, answer.status.last_entry_term, answer.status.position};
    }
    out.emplace_back(measurement{metric_kind::histogram, "owner_latency", "backend_server",
                                 backend_.str(), static_cast<double>((now - job.arrived).count())});
    replies_.push_back({job.from, std::move(reply)});
}

void backend_owner::reply_problem(time_point now, const owner_request& job, outcome result,
                                  error problem) {
    forward_reply reply;
    reply.id = job.request.id;
    reply.result = result;
    reply.problem = std::move(problem);
    reply.backend = backend_;
    reply.summary = monitor_.view().summary(now);
    replies_.push_back({job.from, std::move(reply)});
}

} // namespace jackdawvane
