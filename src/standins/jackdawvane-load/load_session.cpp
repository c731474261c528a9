#include "standins/jackdawvane-load/load_session.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

constexpr milliseconds default_retry{20};
constexpr milliseconds shortest_retry{2};
// Answers later than this past the deadline count as late; it covers the network's delay.
constexpr milliseconds deadline_grace{100};

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
    move();
}

void load_session::move() {
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
    return views_.try_emplace(partition, context_.run + "/" + name_, partition).first->second;
}

std::string load_session::next_order_name() {
    return order_prefix + context_.run + "-" + std::to_string(++context_.orders);
}

caller_call load_session::route_call(const session_view& view, access_mode mode,
                                     const Json::Value& statements) const {
    caller_call call;
    call.target = "/v1/routes/" + context_.settings.route.str();
    call.key = key_;
    call.session = token_;
    call.deadline_ms = context_.settings.deadline_ms;
    call.body = route_body(view.partition(), mode, statements);
    return call;
}

awaitable<void> load_session::run_request() {
    if (++requests_on_vm_ > context_.settings.roam_every) {
        move();
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

awaitable<caller_reply> load_session::attempt_once(const caller_call& call, bool retried) {
    auto& measured = context_.measured.of(organisation_.id);
    ++measured.attempts;
    last_sent_ = steady_clock::now();
    const bool within_rate = measured.bucket.take(last_sent_);
    auto reply = co_await send_call(*client_, call);
    if (steady_clock::now() - last_sent_ > milliseconds{call.deadline_ms} + deadline_grace) {
        context_.measured.count("late_answers");
    }
    if (!reply.session.empty()) {
        token_ = reply.session;
    }
    if (reply.result == outcome::not_run) {
        count_refusal(reply, within_rate);
    } else if (reply.result == outcome::unknown) {
        ++measured.unknowns[kind_text(reply)];
    }
    if (reply.repeated && !retried) {
        check("repeated_without_a_retry", call.name);
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

awaitable<load_session::ending> load_session::attempt(caller_call call) {
    const auto& settings = context_.settings;
    const auto give_up = steady_clock::now() + milliseconds{settings.give_up_ms};
    ending ended;
    for (std::uint32_t attempts = 0; attempts < settings.max_attempts; ++attempts) {
        // A retry is harmless after "not run", and has to find nothing that ran.
        ended.reply = co_await attempt_once(call, ended.may_have_run);
        const auto& reply = ended.reply;
        if (reply.result == outcome::done) {
            ended.may_have_run = false;
            co_return ended;
        }
        const bool unknown = reply.result == outcome::unknown;
        ended.may_have_run = ended.may_have_run || unknown;
        if (!unknown && !is_temporary(reply.kind)) {
            co_return ended;
        }
        const auto pause = std::max(reply.retry_after.value_or(default_retry), shortest_retry);
        if (steady_clock::now() + pause > give_up) {
            co_return ended;
        }
        co_await sleep_for(pause);
        if (!reply.answered || reply.kind == error_kind::leaving) {
            move();
        }
    }
    co_return ended;
}

void load_session::check(const char* name, const std::optional<std::string>& problem) {
    if (problem) {
        context_.measured.violation(name, name_ + ": " + *problem);
    }
}

void load_session::count_ending(const caller_reply& reply, time started) {
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
        token_.clear();
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
    const auto token = token_;
    const auto ended = co_await attempt(std::move(call));
    if (!in_session) {
        token_ = token; // The answer's token knows nothing of this session.
    }
    if (ended.reply.succeeded()) {
        check("session_consistency", view.check_read(ended.reply.results, in_session));
        if (in_session) {
            context_.measured.count_read(ended.reply.from_replica);
        }
        context_.measured.add_latency(in_session ? "read" : "read_without_session",
                                      steady_clock::now() - started);
    }
    handle_lost_history(ended.reply);
    count_ending(ended.reply, started);
}

void load_session::acknowledge(const std::string& name, const caller_reply& reply) {
    auto& orders = context_.measured.orders();
    orders.record(name, order_fate::acknowledged);
    const auto group = context_.group_of.find(reply.served_by);
    const auto id = group == context_.group_of.end() ? group_id{"unknown"} : group->second;
    orders.acknowledge(id, last_sent_, steady_clock::now());
}

void load_session::finish_order(session_view& view, const std::string& name, const ending& ended,
                                time started) {
    const auto& reply = ended.reply;
    if (reply.succeeded()) {
        acknowledge(name, reply);
    } else {
        const auto fate = ended.may_have_run ? order_fate::unknown : order_fate::not_run;
        context_.measured.orders().record(name, fate);
        view.abandon_key();
    }
    handle_lost_history(reply);
    count_ending(reply, started);
}

awaitable<void> load_session::write(session_view& view) {
    const auto started = steady_clock::now();
    auto call = route_call(view, access_mode::write, view.next_write());
    const auto name = next_order_name();
    call.name = name;
    const auto ended = co_await attempt(std::move(call));
    if (ended.reply.succeeded()) {
        check("own_answers", view.check_write(ended.reply.results));
        context_.measured.add_latency("write", steady_clock::now() - started);
    }
    finish_order(view, name, ended, started);
}

awaitable<caller_reply> load_session::follow_up(const std::string& id, const std::string& step,
                                                const std::string& name,
                                                const Json::Value& statements) {
    caller_call call;
    call.target = "/v1/transactions/" + id + "/" + step;
    call.key = key_;
    call.session = token_;
    call.name = name;
    call.deadline_ms = context_.settings.deadline_ms;
    if (!statements.isNull()) {
        call.body["statements"] = statements;
    }
    auto reply = co_await send_call(*client_, std::move(call));
    if (!reply.session.empty()) {
        token_ = reply.session;
    }
    co_return reply;
}

awaitable<void> load_session::transaction(session_view& view) {
    const auto started = steady_clock::now();
    const auto name = next_order_name();
    auto call = route_call(view, access_mode::write, {});
    call.target += "/transactions";
    call.name = name;
    auto ended = co_await attempt(std::move(call));
    // An opened transaction that is never committed leaves nothing behind.
    ended.may_have_run = false;
    if (ended.reply.succeeded()) {
        const auto id = ended.reply.transaction;
        ended.reply = co_await follow_up(id, "statements", name, view.next_write());
        if (ended.reply.succeeded()) {
            const auto results = ended.reply.results;
            last_sent_ = steady_clock::now();
            ended.reply = co_await follow_up(id, "commit", name, {});
            ended.may_have_run = ended.reply.result == outcome::unknown;
            if (ended.reply.succeeded()) {
                check("own_answers", view.check_write(results));
                context_.measured.add_latency("transaction", steady_clock::now() - started);
            }
        }
    }
    finish_order(view, name, ended, started);
}

} // namespace jackdawvane::standin
