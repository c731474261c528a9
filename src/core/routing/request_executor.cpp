#include "jackdawvane/routing/request_executor.hpp"

#include "jackdawvane/routing/session_token.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace jackdawvane {

namespace {

/// Limit of new plans without a retry delay. Owners on this VM answer at once, so two of them that
/// report different primaries would otherwise redirect a request forever without time passing.
constexpr std::uint32_t max_replans = 2;

/// Errors of an attempt after which another backend server or a later attempt may succeed.
constexpr std::array retryable_kinds{
    error_kind::replica_behind,  error_kind::staleness_unproved,
    error_kind::wrong_owner,     error_kind::no_primary,
    error_kind::fenced,          error_kind::term_unconfirmed,
    error_kind::connection_lost, error_kind::no_backend_server,
    error_kind::leaving,         error_kind::token_ahead,
};

bool is_retryable(error_kind kind) {
    return std::find(retryable_kinds.begin(), retryable_kinds.end(), kind) != retryable_kinds.end();
}

std::string fingerprint_of(const caller_request& request) {
    const auto text =
        request.route.str() + '\n' + request.partition + '\n' + write_json(request.statements);
    const auto digest = XXH3_128bits(text.data(), text.size());
    return std::to_string(digest.high64) + "-" + std::to_string(digest.low64);
}

/// Prefixes the request name, so that equal names of two organisations do not collide.
request_name scoped_name(const organisation_id& organisation, const request_name& name) {
    return name.empty() ? name : request_name{organisation.str() + ":" + name.str()};
}

} // namespace

request_executor::request_executor(request_services& services, id_sequence<request_id>& ids,
                                   request_executor_settings settings)
    : services_{services}, ids_{ids}, settings_{settings} {}

const pool_row* request_executor::pool_of(const pending_request& r) const {
    const auto& pools = services_.configuration()->pools;
    const auto found = pools.find(r.route.pool);
    return found == pools.end() ? nullptr : &found->second;
}

void request_executor::on_caller(time_point now, caller_request request, actions& out) {
    const auto caller = request.caller;
    auto& r = requests_[caller];
    r.request = std::move(request);
    r.received = now;
    if (auto problem = run_filters(now, r)) {
        refuse(r, outcome::not_run, std::move(*problem), out);
        return;
    }
    admit(now, r, out);
}

void request_executor::admit(time_point now, pending_request& r, actions& out) {
    // Ending a transaction frees a connection, so it is exempt from the rate limit.
    const bool ends_transaction =
        r.request.kind == request_kind::commit || r.request.kind == request_kind::rollback;
    if (r.organisation.empty() || ends_transaction) {
        plan(now, r);
        try_next(now, r, out);
        return;
    }
    const auto caller = r.request.caller;
    set_timer(r, r.deadline);
    const auto verdict = services_.admit(now, caller, r.organisation, r.deadline, out);
    if (verdict.state != admission_state::pending) {
        on_admission(now, caller, verdict, out);
    }
}

void request_executor::on_admission(time_point now, caller_id caller, const admission& verdict,
                                    actions& out) {
    const auto found = requests_.find(caller);
    if (found == requests_.end() || found->second.state != phase::admission) {
        return;
    }
    auto& r = found->second;
    if (verdict.state == admission_state::refused) {
        refuse(r, outcome::not_run, verdict.problem, out);
        return;
    }
    plan(now, r);
    try_next(now, r, out);
}

void request_executor::plan(time_point now, pending_request& r) {
    r.next_target = 0;
    r.targets.clear();
    if (r.pinned) {
        r.targets.push_back(r.pinned->backend);
        return;
    }
    if (const auto* pool = pool_of(r)) {
        r.targets =
            services_.plan(now, routing_query{*pool, r.group, r.request.mode, r.request.partition});
    }
}

void request_executor::try_next(time_point now, pending_request& r, actions& out) {
    while (r.next_target < r.targets.size()) {
        const auto backend = r.targets[r.next_target++];
        if (send_attempt(now, r, backend, out)) {
            return;
        }
    }
    if (r.pinned) {
        // An earlier commit of the same transaction may have run at the VM that was lost.
        const bool may_have_run = r.request.kind == request_kind::commit;
        refuse(r, may_have_run ? outcome::unknown : outcome::not_run,
               error{error_kind::unknown_transaction,
                     "the VM that held the transaction is no longer live",
                     {}},
               out);
        return;
    }
    retry_later(now, r, out);
}

bool request_executor::send_attempt(time_point now, pending_request& r,
                                    const backend_server_id& backend, actions& out) {
    const auto request = make_forward(now, r, backend);
    const auto vm = services_.forward(now, request, r.pinned ? &r.pinned->owner : nullptr, out);
    if (!vm) {
        return false;
    }
    r.state = phase::attempt;
    r.attempt = request.id;
    r.attempt_vm = *vm;
    attempts_[request.id] = r.request.caller;
    r.attempt_deadline = r.deadline;
    const bool more_targets = r.next_target < r.targets.size();
    if (r.request.mode == access_mode::read && !r.pinned && more_targets) {
        // If the owner does not answer, there must be time left for another backend server.
        r.attempt_deadline = now + (r.deadline - now) / 3;
    }
    set_timer(r, r.attempt_deadline);
    log(out, "router", log_level::info,
        std::string{to_json(r.request.mode).asString()} + " forwarded for group " + r.group.str() +
            " to " + backend.str() + " via " + vm->str());
    return true;
}

forward_request request_executor::make_forward(time_point now, const pending_request& r,
                                               const backend_server_id& backend) const {
    forward_request request;
    request.id = ids_.next();
    request.kind = r.request.kind;
    request.organisation = r.organisation;
    request.route = r.request.route;
    request.group = r.group;
    request.backend = backend;
    request.transaction = r.request.transaction;
    request.name = scoped_name(r.organisation, r.request.name);
    if (!request.name.empty()) {
        request.fingerprint = fingerprint_of(r.request);
    }
    request.mode = r.request.mode;
    request.statements = r.request.statements;
    for (const auto& position : r.session) {
        if (position.group == r.group) {
            request.session.push_back(position);
        }
    }
    request.max_staleness = r.request.max_staleness;
    const auto remaining = r.deadline - now;
    // The owner's deadline is earlier, so that its answer, which says whether the request ran,
    // arrives before this VM's deadline.
    request.remaining = remaining - std::min(settings_.reply_margin, remaining / 4);
    request.fencing = r.route.fencing;
    const auto& organisations = services_.configuration()->organisations;
    if (const auto row = organisations.find(r.organisation); row != organisations.end()) {
        request.weight = row->second.weight;
    }
    return request;
}

void request_executor::retry_later(time_point now, pending_request& r, actions& out) {
    const auto retry_until = std::min(r.received + settings_.failover_wait, r.deadline);
    const auto retry_at = now + settings_.retry_delay;
    if (!is_retryable(r.last_problem.kind) || retry_at >= retry_until) {
        refuse(r, r.may_have_run ? outcome::unknown : outcome::not_run, r.last_problem, out);
        return;
    }
    r.state = phase::retry;
    set_timer(r, retry_at);
}

void request_executor::on_reply(time_point now, const forward_reply& reply, actions& out) {
    if (!reply.summary.group.empty()) {
        services_.learn(reply.summary);
    }
    const auto attempt = attempts_.find(reply.id);
    if (attempt == attempts_.end()) {
        return; // For an earlier attempt, or its caller has disconnected.
    }
    auto& r = requests_.at(attempt->second);
    if (reply.result == outcome::done) {
        finish(r, reply, out);
        return;
    }
    attempt_failed(now, r, reply.result, reply.problem, &reply.summary, out);
}

void request_executor::attempt_failed(time_point now, pending_request& r, outcome result,
                                      const error& problem, const group_summary* summary,
                                      actions& out) {
    end_attempt(r);
    r.last_problem = problem;
    r.may_have_run = r.may_have_run || result == outcome::unknown;
    const bool may_repeat = result == outcome::not_run || r.request.mode == access_mode::read;
    if (r.pinned || !may_repeat || !is_retryable(problem.kind)) {
        refuse(r, result, problem, out);
        return;
    }
    log(out, "router", log_level::info,
        "attempt failed, trying the next backend server for group " + r.group.str() + ": " +
            std::string{to_string(problem.kind)});
    const auto& tried = r.targets[r.next_target - 1];
    if (r.request.mode == access_mode::read) {
        const bool behind = problem.kind == error_kind::replica_behind ||
                            problem.kind == error_kind::staleness_unproved;
        services_.avoid(now, tried,
                        behind ? routing_failure::behind : routing_failure::unreachable);
    } else if (summary != nullptr && !summary->primary.empty() && summary->primary != tried &&
               r.replans < max_replans) {
        ++r.replans;
        plan(now, r);
    }
    try_next(now, r, out);
}

void request_executor::attempt_unanswered(time_point now, pending_request& r, actions& out) {
    attempt_failed(now, r, outcome::unknown,
                   error{error_kind::connection_lost, "no answer from " + r.attempt_vm.str(), {}},
                   nullptr, out);
}

void request_executor::finish(pending_request& r, const forward_reply& reply, actions& out) {
    auto session = r.session;
    if (reply.seen) {
        merge(session, *reply.seen);
    }
    caller_answer answer;
    answer.caller = r.request.caller;
    answer.result = outcome::done;
    answer.results = reply.results;
    answer.session = session.empty() ? std::string{} : encode_token(session);
    answer.transaction = reply.transaction;
    answer.served_by = reply.backend;
    answer.from_replica = reply.from_replica;
    answer.repeated = reply.repeated;
    out.emplace_back(std::move(answer));
    count(out, "requests_total", "outcome", "done");
    if (r.request.mode == access_mode::read) {
        count(out, "reads_total", "served_by", reply.from_replica ? "replica" : "primary");
    }
    forget(r.request.caller);
}

void request_executor::refuse(pending_request& r, outcome result, error problem, actions& out) {
    const bool is_final = problem.kind == error_kind::malformed_request ||
                          problem.kind == error_kind::malformed_token ||
                          problem.kind == error_kind::history_lost;
    if (result == outcome::not_run && !problem.retry_after && !is_final) {
        problem.retry_after = settings_.default_retry_after;
    }
    log(out, "requests", log_level::info,
        to_json(result).asString() + ", route " + r.request.route.str() + ", organisation " +
            r.organisation.str() + ": " + problem.message());
    count(out, "requests_total", "outcome", to_json(result).asString());
    count(out, "refusals_total", "kind", std::string{to_string(problem.kind)});
    caller_answer answer;
    answer.caller = r.request.caller;
    answer.result = result;
    answer.problem = std::move(problem);
    answer.session = r.request.session;
    out.emplace_back(std::move(answer));
    forget(r.request.caller);
}

void request_executor::end_attempt(pending_request& r) {
    attempts_.erase(r.attempt);
    r.attempt = request_id{};
}

void request_executor::forget(caller_id caller) {
    const auto found = requests_.find(caller);
    if (found == requests_.end()) {
        return;
    }
    end_attempt(found->second);
    timers_.erase({found->second.timer_due, caller});
    requests_.erase(found);
}

void request_executor::on_caller_disconnected(caller_id caller) {
    forget(caller);
}

void request_executor::on_vm_lost(time_point now, const vm_id& vm, actions& out) {
    std::vector<caller_id> affected;
    for (const auto& [caller, r] : requests_) {
        if (r.state == phase::attempt && r.attempt_vm == vm) {
            affected.push_back(caller);
        }
    }
    for (const auto caller : affected) {
        attempt_unanswered(now, requests_.at(caller), out);
    }
}

void request_executor::set_timer(pending_request& r, time_point when) {
    timers_.erase({r.timer_due, r.request.caller});
    r.timer_due = when;
    timers_.emplace(when, r.request.caller);
}

void request_executor::expire(time_point now, pending_request& r, actions& out) {
    const error problem{error_kind::deadline_exceeded, "no answer within the deadline", {}};
    switch (r.state) {
    case phase::admission:
        refuse(r, outcome::not_run, problem, out);
        return;
    case phase::attempt:
        if (now < r.deadline) {
            attempt_unanswered(now, r, out);
        } else {
            refuse(r, outcome::unknown, problem, out);
        }
        return;
    case phase::retry:
        r.replans = 0;
        plan(now, r);
        try_next(now, r, out);
        return;
    }
}

void request_executor::tick(time_point now, actions& out) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto caller = timers_.begin()->second;
        timers_.erase(timers_.begin());
        expire(now, requests_.at(caller), out);
    }
}

time_point request_executor::next_deadline() const {
    return timers_.empty() ? no_deadline : timers_.begin()->first;
}

} // namespace jackdawvane
