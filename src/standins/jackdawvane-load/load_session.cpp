#include "standins/jackdawvane-load/load_session.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

constexpr milliseconds default_retry_delay{20};
constexpr milliseconds min_retry_delay{2};
// Allows for the network's delay; an answer later than this after the deadline counts as late.
constexpr milliseconds deadline_tolerance{100};

std::string kind_text(const caller_reply& reply) {
    return std::string{to_string(reply.kind)};
}

/// @brief Whether a retry of a request that was refused with @a kind can succeed.
bool is_temporary(error_kind kind) {
    static const std::vector<error_kind> lasting{
        error_kind::malformed_request,   error_kind::unknown_route,
        error_kind::unknown_transaction, error_kind::missing_key,
        error_kind::unknown_key,         error_kind::organisation_not_allowed,
        error_kind::malformed_token,     error_kind::history_lost,
        error_kind::name_required,       error_kind::name_reused,
        error_kind::statement_failed};
    return std::find(lasting.begin(), lasting.end(), kind) == lasting.end();
}

} // namespace

load_session::load_session(load_context& context, const organisation_load& organisation,
                           std::string name, std::string key)
    : context_{context}, organisation_{organisation}, name_{std::move(name)}, key_{std::move(key)} {
    switch_vm();
}

void load_session::switch_vm() {
    const auto& vms = context_.settings.vms;
    auto weights = organisation_.vm_weights;
    weights.resize(vms.size(), weights.empty() ? 1 : 0);
    std::discrete_distribution<std::size_t> choose{weights.begin(), weights.end()};
    client_.emplace(context_.io, vms.at(choose(context_.random)), context_.settings.address);
    requests_on_vm_ = 0;
}

session_view& load_session::choose_view() {
    std::uniform_int_distribution<std::uint32_t> choose{
        0, std::max(1U, context_.settings.partitions) - 1};
    const auto partition = "part-" + std::to_string(choose(context_.random));
    return views_.try_emplace(partition, context_.run_id + "/" + name_, partition).first->second;
}

std::string load_session::next_order_name() {
    return order_prefix + context_.run_id + "-" + std::to_string(++context_.orders);
}

caller_call load_session::route_call(const session_view& view, access_mode mode,
                                     const Json::Value& statements) const {
    caller_call call;
    call.target = "/v1/routes/" + context_.settings.route.str();
    call.api_key = key_;
    call.session = session_token_;
    call.deadline_ms = context_.settings.deadline_ms;
    call.body = route_body(view.partition(), mode, statements);
    return call;
}

awaitable<void> load_session::run_request() {
    if (++requests_on_vm_ > context_.settings.roam_every) {
        switch_vm();
    }
    ++context_.measured.of(organisation_.id).offered;
    const auto& settings = context_.settings;
    const double choice = std::uniform_real_distribution<double>{0, 1}(context_.random);
    auto& view = choose_view();
    if (choice < settings.transaction_share) {
        co_await transaction(view);
    } else if (choice < settings.transaction_share + settings.write_share) {
        co_await write(view);
    } else {
        co_await read(view);
    }
}

awaitable<caller_reply> load_session::send_once(const caller_call& call, bool retried) {
    auto& measured = context_.measured.of(organisation_.id);
    ++measured.attempts;
    last_sent_ = steady_clock::now();
    const bool within_rate = measured.bucket.take(last_sent_);
    auto reply = co_await send_call(*client_, call);
    if (steady_clock::now() - last_sent_ > milliseconds{call.deadline_ms} + deadline_tolerance) {
        context_.measured.count("late_answers");
    }
    if (!reply.session.empty()) {
        session_token_ = reply.session;
    }
    if (reply.result == outcome::not_run) {
        count_refusal(reply, within_rate);
    } else if (reply.result == outcome::unknown) {
        ++measured.unknowns[kind_text(reply)];
    }
    if (reply.repeated && !retried) {
        record_violation("repeated_without_a_retry", call.idempotency_key);
    }
    co_return reply;
}

void load_session::count_refusal(const caller_reply& reply, bool within_rate) {
    auto& measured = context_.measured.of(organisation_.id);
    ++measured.refusals[kind_text(reply)];
    if (measured.limited && within_rate && reply.kind == error_kind::rate_exceeded) {
        ++measured.wrongful;
    }
}

awaitable<load_session::request_result> load_session::send_with_retries(caller_call call) {
    const auto& settings = context_.settings;
    const auto give_up = steady_clock::now() + milliseconds{settings.give_up_ms};
    request_result result;
    for (std::uint32_t attempts = 0; attempts < settings.max_attempts; ++attempts) {
        // After "not run" a retry is safe, and the server must not report it as a repeated request.
        result.reply = co_await send_once(call, result.may_have_run);
        const auto& reply = result.reply;
        if (reply.result == outcome::done) {
            result.may_have_run = false;
            co_return result;
        }
        const bool unknown = reply.result == outcome::unknown;
        result.may_have_run = result.may_have_run || unknown;
        if (!unknown && !is_temporary(reply.kind)) {
            co_return result;
        }
        const auto pause =
            std::max(reply.retry_after.value_or(default_retry_delay), min_retry_delay);
        if (steady_clock::now() + pause > give_up) {
            co_return result;
        }
        co_await sleep_for(pause);
        if (!reply.answered || reply.kind == error_kind::leaving) {
            switch_vm();
        }
    }
    co_return result;
}

void load_session::record_violation(const char* check, const std::optional<std::string>& problem) {
    if (problem) {
        context_.measured.add_violation(check, name_ + ": " + *problem);
    }
}

void load_session::count_outcome(const caller_reply& reply, time started) {
    auto& measured = context_.measured.of(organisation_.id);
    if (reply.succeeded()) {
        ++measured.done;
        measured.latency.add(steady_clock::now() - started);
    } else if (reply.result == outcome::done || !is_temporary(reply.kind)) {
        ++measured.rejected;
        context_.measured.count("rejected_" + kind_text(reply));
    } else {
        ++measured.abandoned;
    }
}

void load_session::handle_lost_history(const caller_reply& reply) {
    if (reply.kind == error_kind::history_lost) {
        session_token_.clear();
        for (auto& [partition, view] : views_) {
            view.forget_unacknowledged();
        }
    }
}

awaitable<void> load_session::read(session_view& view) {
    const auto started = steady_clock::now();
    auto call = route_call(view, access_mode::read, view.read());
    const bool in_session =
        !std::bernoulli_distribution{context_.settings.sessionless_share}(context_.random);
    if (!in_session) {
        call.session.clear();
        call.max_staleness_ms = context_.settings.max_staleness_ms;
    }
    const auto token = session_token_;
    const auto result = co_await send_with_retries(std::move(call));
    if (!in_session) {
        session_token_ = token; // The answer's token does not cover this session's history.
    }
    if (result.reply.succeeded()) {
        record_violation("session_consistency", view.check_read(result.reply.results, in_session));
        if (in_session) {
            context_.measured.count_read(result.reply.from_replica);
        }
        context_.measured.add_latency(in_session ? "read" : "read_without_session",
                                      steady_clock::now() - started);
    }
    handle_lost_history(result.reply);
    count_outcome(result.reply, started);
}

void load_session::acknowledge(const std::string& name, const caller_reply& reply) {
    auto& orders = context_.measured.orders();
    orders.record(name, order_result::acknowledged);
    const auto group = context_.group_of.find(reply.served_by);
    const auto id = group == context_.group_of.end() ? group_id{"unknown"} : group->second;
    orders.acknowledge(id, last_sent_, steady_clock::now());
}

void load_session::finish_order(session_view& view, const std::string& name,
                                const request_result& result, time started) {
    const auto& reply = result.reply;
    if (reply.succeeded()) {
        acknowledge(name, reply);
    } else {
        const auto final_result =
            result.may_have_run ? order_result::unknown : order_result::not_run;
        context_.measured.orders().record(name, final_result);
        view.abandon_key();
    }
    handle_lost_history(reply);
    count_outcome(reply, started);
}

awaitable<void> load_session::write(session_view& view) {
    const auto started = steady_clock::now();
    auto call = route_call(view, access_mode::write, view.next_write());
    const auto name = next_order_name();
    call.idempotency_key = name;
    const auto result = co_await send_with_retries(std::move(call));
    if (result.reply.succeeded()) {
        record_violation("own_answers", view.check_write(result.reply.results));
        context_.measured.add_latency("write", steady_clock::now() - started);
    }
    finish_order(view, name, result, started);
}

awaitable<caller_reply> load_session::send_transaction_step(const std::string& id,
                                                            const std::string& step,
                                                            const std::string& name,
                                                            const Json::Value& statements) {
    caller_call call;
    call.target = "/v1/transactions/" + id + "/" + step;
    call.api_key = key_;
    call.session = session_token_;
    call.idempotency_key = name;
    call.deadline_ms = context_.settings.deadline_ms;
    if (!statements.isNull()) {
        call.body["statements"] = statements;
    }
    auto reply = co_await send_call(*client_, std::move(call));
    if (!reply.session.empty()) {
        session_token_ = reply.session;
    }
    co_return reply;
}

awaitable<void> load_session::transaction(session_view& view) {
    const auto started = steady_clock::now();
    const auto name = next_order_name();
    auto call = route_call(view, access_mode::write, {});
    call.target += "/transactions";
    call.idempotency_key = name;
    auto result = co_await send_with_retries(std::move(call));
    // An open transaction that is never committed has no effect.
    result.may_have_run = false;
    if (result.reply.succeeded()) {
        const auto id = result.reply.transaction;
        result.reply = co_await send_transaction_step(id, "statements", name, view.next_write());
        if (result.reply.succeeded()) {
            const auto results = result.reply.results;
            last_sent_ = steady_clock::now();
            result.reply = co_await send_transaction_step(id, "commit", name, {});
            result.may_have_run = result.reply.result == outcome::unknown;
            if (result.reply.succeeded()) {
                record_violation("own_answers", view.check_write(results));
                context_.measured.add_latency("transaction", steady_clock::now() - started);
            }
        }
    }
    finish_order(view, name, result, started);
}

} // namespace jackdawvane::standin
