#include "jackdawvane/backends/backend_owner.hpp"

#include "jackdawvane/failover/term_history.hpp"
#include "jackdawvane/routing/session_token.hpp"
#include "jackdawvane/routing/transaction_handle.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Retry delay of requests that a retired owner rejects; the new owner can be asked at once.
constexpr duration retry_at_once{0};

bool needs_free_connection(request_kind kind) {
    return kind == request_kind::single || kind == request_kind::begin;
}

} // namespace

backend_owner::backend_owner(group_id group, backend_server_id backend, group_monitor& monitor,
                             id_sequence<connection_id>& connections,
                             id_sequence<request_id>& requests, backend_owner_settings settings)
    : group_{std::move(group)}, backend_{std::move(backend)}, monitor_{monitor},
      request_ids_{requests}, settings_{std::move(settings)},
      pool_{backend_, connections, requests, settings_.pool}, queue_{settings_.queue_limit} {}

void backend_owner::configure(const backend_server_row& row) {
    row_ = row;
    pool_.configure(row.endpoint, row.connection_limit, row.slots);
}

bool backend_owner::is_primary() const {
    return monitor_.view().primary() == backend_;
}

const backend_status& backend_owner::own_status() const {
    static const backend_status unknown;
    const auto* status = monitor_.view().status(backend_);
    return status == nullptr ? unknown : *status;
}

const fencing_policy& backend_owner::policy(fencing_mode mode) const {
    return fencing_policy_for(mode);
}

bool backend_owner::idle() const noexcept {
    return running_.empty() && transactions_.empty() && waiting_writes_.empty() &&
           waiting_reads_.empty() && queue_.empty();
}

std::vector<owner_reply> backend_owner::take_replies() {
    return std::exchange(replies_, {});
}

void backend_owner::submit(time_point now, owner_request request, actions& out) {
    if (!needs_free_connection(request.request.kind)) {
        submit_to_transaction(now, std::move(request), out);
        return;
    }
    if (retired_) {
        reply_problem(
            now, request, outcome::not_run,
            error{error_kind::wrong_owner, backend_.str() + " has a new owner", retry_at_once});
        return;
    }
    if (!check_before_run(now, request, out)) {
        return;
    }
    enqueue(now, std::move(request), out);
    dispatch(now, out);
}

void backend_owner::enqueue(time_point now, owner_request job, actions& out) {
    const auto organisation = job.request.organisation;
    const auto weight = job.request.weight;
    const auto deadline = job.deadline;
    if (queue_.size_of(organisation) >= settings_.queue_limit) {
        log(out, "queue", log_level::info,
            "refused " + organisation.str() + " at " + backend_.str() + ": queue full");
        reply_problem(now, job, outcome::not_run,
                      error{error_kind::queue_full, backend_.str(), from_milliseconds(100)});
        return;
    }
    constexpr std::uint32_t cost = 1;
    const bool queued =
        queue_.push(request_ids_.next(), organisation, weight, cost, deadline, std::move(job));
    assert(queued);
    static_cast<void>(queued);
}

void backend_owner::submit_to_transaction(time_point now, owner_request job, actions& out) {
    const auto found = transactions_.find(job.request.transaction);
    const bool known =
        found != transactions_.end() && found->second.organisation == job.request.organisation;
    if (!known) {
        reply_unknown_transaction(now, job);
        return;
    }
    job.request.mode = found->second.mode;
    job.request.fencing = found->second.fencing;
    found->second.waiting.push_back(std::move(job));
    dispatch(now, out);
}

void backend_owner::reply_unknown_transaction(time_point now, const owner_request& job) {
    // A repeated commit must not be answered with `not_run` when the first one may have run.
    const bool known_rolled_back = std::find(rolled_back_.begin(), rolled_back_.end(),
                                             job.request.transaction) != rolled_back_.end();
    const bool may_have_run = job.request.kind == request_kind::commit && !known_rolled_back;
    reply_problem(now, job, may_have_run ? outcome::unknown : outcome::not_run,
                  error{error_kind::unknown_transaction, {}, {}});
}

std::optional<error> backend_owner::check_write(time_point now, const owner_request& job) const {
    const auto& view = monitor_.view();
    if (!is_primary()) {
        return error{error_kind::no_primary, backend_.str() + " is not the primary",
                     from_milliseconds(100)};
    }
    return policy(job.request.fencing).refuse_write(view, now, job.deadline - now);
}

bool backend_owner::check_before_run(time_point now, owner_request& job, actions& out) {
    if (now >= job.deadline) {
        reply_problem(now, job, outcome::not_run, error{error_kind::deadline_exceeded, {}, {}});
        return false;
    }
    if (job.request.mode == access_mode::write) {
        if (auto problem = check_write(now, job)) {
            log(out, "queue", log_level::info,
                "refused write to " + backend_.str() + ": " + problem->message());
            reply_problem(now, job, outcome::not_run, std::move(*problem));
            return false;
        }
    }
    if (job.request.mode == access_mode::read && job.request.max_staleness) {
        const auto age = monitor_.view().staleness(now, backend_);
        if (!age || *age > *job.request.max_staleness) {
            reply_problem(now, job, outcome::not_run,
                          error{error_kind::staleness_unproved, backend_.str(), {}});
            return false;
        }
    }
    return check_session(now, job, own_status(), out);
}

bool backend_owner::check_session(time_point now, owner_request& job, const backend_status& status,
                                  actions& out) {
    for (const auto& seen : job.request.session) {
        switch (check_prefix(status, seen)) {
        case prefix_check::contained:
            continue;
        case prefix_check::behind:
            wait_for_position(now, std::move(job), out);
            return false;
        case prefix_check::lost:
            // Only the primary's history is final; a replica may still follow an older term.
            if (is_primary()) {
                reply_problem(now, job, outcome::not_run, error{error_kind::history_lost, {}, {}});
                return false;
            }
            [[fallthrough]];
        case prefix_check::stale_branch:
            reply_problem(now, job, outcome::not_run,
                          error{error_kind::replica_behind,
                                backend_.str() + " has the log of an older term",
                                {}});
            return false;
        }
    }
    return true;
}

void backend_owner::wait_for_position(time_point now, owner_request job, actions& out) {
    const auto give_up = std::min(job.arrived + settings_.catch_up_wait, job.deadline);
    if (now >= give_up) {
        const auto kind = is_primary() ? error_kind::token_ahead : error_kind::replica_behind;
        reply_problem(now, job, outcome::not_run, error{kind, backend_.str(), {}});
        return;
    }
    if (!job.request.session.empty()) {
        monitor_.await_position(now, job.request.session.front().position, out);
    }
    waiting_reads_.push_back({std::move(job), give_up});
}

void backend_owner::dispatch(time_point now, actions& out) {
    for (auto& expired : queue_.expire(now)) {
        reply_problem(now, expired.item, outcome::not_run,
                      error{error_kind::deadline_exceeded, "still queued at its deadline", {}});
    }
    while (running_.size() < row_.slots) {
        if (!dispatch_transaction(now, out) && !dispatch_queued(now, out)) {
            break;
        }
    }
    if (!queue_.empty()) {
        pool_.grow(now, std::min<std::size_t>(queue_.size(), row_.slots), out);
    }
}

bool backend_owner::dispatch_transaction(time_point now, actions& out) {
    // The transaction that waited longest goes first; open transactions hold connections and
    // locks, so they go before queued requests.
    auto chosen = transactions_.end();
    for (auto it = transactions_.begin(); it != transactions_.end(); ++it) {
        const bool can_run = !it->second.busy && !it->second.waiting.empty();
        if (can_run &&
            (chosen == transactions_.end() || it->second.last_use < chosen->second.last_use)) {
            chosen = it;
        }
    }
    if (chosen == transactions_.end()) {
        return false;
    }
    auto job = std::move(chosen->second.waiting.front());
    chosen->second.waiting.pop_front();
    if (now >= job.deadline) {
        reply_problem(now, job, outcome::not_run, error{error_kind::deadline_exceeded, {}, {}});
        return true;
    }
    chosen->second.busy = true;
    run(now, chosen->second.connection, std::move(job), chosen->first, out);
    return true;
}

bool backend_owner::dispatch_queued(time_point now, actions& out) {
    if (queue_.empty() || pool_.free() == 0) {
        return false;
    }
    auto entry = queue_.pop(now);
    if (!entry) {
        return false;
    }
    auto job = std::move(entry->item);
    // The view may have changed while the request was queued.
    if (!check_before_run(now, job, out)) {
        return true;
    }
    const auto connection = pool_.acquire();
    run(now, *connection, std::move(job), std::nullopt, out);
    return true;
}

backend_request backend_owner::make_request(const owner_request& job) const {
    static const std::map<request_kind, backend_operation> operations{
        {request_kind::single, backend_operation::execute},
        {request_kind::begin, backend_operation::begin},
        {request_kind::statements, backend_operation::statements},
        {request_kind::commit, backend_operation::commit},
        {request_kind::rollback, backend_operation::rollback}};
    backend_request request;
    request.operation = operations.at(job.request.kind);
    request.mode = job.request.mode;
    if (job.request.mode == access_mode::write) {
        request.expected_term = monitor_.view().known_term();
        request.name = job.request.name;
        request.fingerprint = job.request.fingerprint;
    }
    request.statements = job.request.statements;
    return request;
}

void backend_owner::run(time_point now, connection_id connection, owner_request job,
                        std::optional<transaction_id> transaction, actions& out) {
    auto request = make_request(job);
    request.id = request_ids_.next();
    running_request entry{std::move(job), request.id, now, std::move(transaction)};
    if (entry.job.request.max_staleness) {
        entry.data_age = monitor_.view().staleness(now, backend_).value_or(duration{0});
    }
    running_.emplace(connection, std::move(entry));
    out.emplace_back(send_to_backend{connection, std::move(request)});
}

void backend_owner::on_view_change(time_point now, actions& out) {
    auto writes = std::exchange(waiting_writes_, {});
    for (auto& write : writes) {
        complete_write(now, std::move(write.job), write.answer, out);
    }
    auto reads = std::exchange(waiting_reads_, {});
    for (auto& read : reads) {
        if (check_before_run(now, read.job, out)) {
            enqueue(now, std::move(read.job), out);
        }
    }
    pool_.on_connection_count(own_status().connections);
    dispatch(now, out);
}

void backend_owner::retire(time_point now, actions& out) {
    retired_ = true;
    const error moved{error_kind::wrong_owner, backend_.str() + " has a new owner", retry_at_once};
    for (auto& queued : queue_.expire(no_deadline)) {
        reply_problem(now, queued.item, outcome::not_run, moved);
    }
    for (auto& read : std::exchange(waiting_reads_, {})) {
        reply_problem(now, read.job, outcome::not_run, moved);
    }
    pool_.retire(out);
}

void backend_owner::tick(time_point now, actions& out) {
    expire_running(now, out);
    expire_waiting(now, out);
    expire_transactions(now, out);
    pool_.tick(now, out);
    dispatch(now, out);
}

time_point backend_owner::next_deadline() const {
    auto next = std::min(pool_.next_deadline(), queue_.next_deadline());
    for (const auto& [connection, entry] : running_) {
        next = std::min(next, entry.job.deadline);
        if (!entry.reported_slow) {
            next = std::min(next, entry.sent + settings_.slow_after);
        }
    }
    for (const auto& write : waiting_writes_) {
        next = std::min(next, write.job.deadline);
    }
    for (const auto& read : waiting_reads_) {
        next = std::min(next, read.give_up);
    }
    for (const auto& [id, entry] : transactions_) {
        if (!entry.busy) {
            next = std::min(next, entry.last_use + settings_.transaction_idle);
        }
    }
    return next;
}

Json::Value backend_owner::describe() const {
    Json::Value json{Json::objectValue};
    json["backend_server"] = backend_.str();
    json["group"] = group_.str();
    json["queued"] = static_cast<Json::UInt64>(queue_.size());
    json["running"] = static_cast<Json::UInt64>(running_.size());
    json["transactions"] = static_cast<Json::UInt64>(transactions_.size());
    json["waiting_for_majority"] = static_cast<Json::UInt64>(waiting_writes_.size());
    json["connections"] = static_cast<Json::UInt64>(pool_.size());
    json["connection_limit"] = static_cast<Json::UInt64>(pool_.limit());
    return json;
}

} // namespace jackdawvane
