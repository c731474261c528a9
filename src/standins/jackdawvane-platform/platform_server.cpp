#include "standins/jackdawvane-platform/platform_server.hpp"

#include <algorithm>
#include <memory>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t value_limit = std::size_t{1024} * 1024; // bytes
constexpr microseconds max_wait{60'000'000};

bool is_write(store_operation operation) {
    return operation == store_operation::compare_and_swap ||
           operation == store_operation::renew_lease || operation == store_operation::release_lease;
}

steady_clock::time_point wait_deadline(duration wait) {
    return steady_clock::now() + std::min(wait, max_wait);
}

} // namespace

bool rate_limiter::try_acquire(steady_clock::time_point now) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    tokens_ = std::min(rate_, tokens_ + passed.count() * rate_);
    refilled_at_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

platform_server::platform_server(asio::io_context& io, const platform_settings& settings)
    : io_{io}, changed_{io}, list_lag_{settings.list_lag_ms}, delay_{settings.delay_ms},
      random_{settings.seed}, writes_{settings.writes_per_second},
      reads_{settings.reads_per_second}, server_{io, settings.listen,
                                                 [this](connection_ptr connection,
                                                        const http_request& request) {
                                                     return handle(std::move(connection), request);
                                                 }} {}

awaitable<http_reply> platform_server::handle(connection_ptr /*connection*/,
                                              const http_request& request) {
    if (request.target == "/store") {
        co_return co_await call(request);
    }
    if (request.target == "/vms") {
        co_return change_vms(request);
    }
    if (request.target == "/fault") {
        co_return fault(request);
    }
    if (request.target == "/inspect") {
        co_return inspect();
    }
    co_return error_reply(404, "unknown path");
}

http_reply platform_server::outage_reply() const {
    auto reply = error_reply(503, "the store is unavailable");
    reply.dropped = outage_ == outage_kind::silent;
    return reply;
}

bool platform_server::loses_answer(store_operation operation) {
    if (operation != store_operation::compare_and_swap) {
        return false;
    }
    if (answers_to_lose_ > 0) {
        --answers_to_lose_;
        return true;
    }
    return std::bernoulli_distribution{lose_probability_}(random_);
}

awaitable<http_reply> platform_server::call(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<store_request>(json.value()) : json.error();
    if (!decoded) {
        co_return error_reply(400, decoded.error().message());
    }
    const auto& wanted = decoded.value();
    ++calls_[wanted.operation];
    if (wanted.value.size() > value_limit) {
        co_return error_reply(413, "the value is larger than 1 MB");
    }
    if (delay_.count() > 0) {
        co_await sleep_for(delay_);
    }
    if (in_outage()) {
        co_return outage_reply();
    }
    auto& limit = is_write(wanted.operation) ? writes_ : reads_;
    if (!limit.try_acquire(steady_clock::now())) {
        ++refused_calls_;
        co_return error_reply(429, "too many calls per second");
    }
    auto answer = co_await run(wanted);
    if (in_outage()) {
        co_return outage_reply();
    }
    if (loses_answer(wanted.operation)) {
        ++lost_answers_;
        co_return http_reply{200, {}, true};
    }
    answer.id = wanted.id;
    co_return json_reply(to_json(answer));
}

awaitable<store_answer> platform_server::run(const store_request& request) {
    const auto now = steady_clock::now();
    store_answer answer;
    switch (request.operation) {
    case store_operation::read:
        co_return store_.read(request.key, now);
    case store_operation::watch:
        co_return co_await watch(request);
    case store_operation::compare_and_swap:
        answer = store_.compare_and_swap(request, now);
        break;
    case store_operation::renew_lease:
        answer = store_.renew_lease(request, now);
        break;
    case store_operation::release_lease:
        answer = store_.release_lease(request, now);
        break;
    case store_operation::acquire_lease:
    case store_operation::keep_lease:
        answer = acquire_or_keep_lease(request, now);
        break;
    case store_operation::list_backends:
        answer.status = store_status::ok; // Backend servers do not register themselves here.
        co_return answer;
    case store_operation::list_vms:
        co_return co_await list_vms(request);
    }
    changed_.notify();
    co_return answer;
}

// `acquire_lease` fails with `conflict` if the lease exists; `keep_lease` fails if it does not.
store_answer platform_server::acquire_or_keep_lease(const store_request& request,
                                                    steady_clock::time_point now) {
    auto current = store_.read(request.key, now);
    const bool exists = current.status == store_status::ok;
    if (request.operation == store_operation::keep_lease && !exists) {
        return current;
    }
    if (request.operation == store_operation::acquire_lease && exists) {
        current.status = store_status::conflict;
        return current;
    }
    return store_.renew_lease(request, now);
}

awaitable<store_answer> platform_server::watch(const store_request& request) {
    const auto deadline = wait_deadline(request.wait);
    for (;;) {
        const auto now = steady_clock::now();
        auto answer = store_.read(request.key, now);
        const bool deleted = answer.version == 0 && request.version > 0;
        if (deleted || answer.version > request.version || now >= deadline || in_outage()) {
            co_return answer;
        }
        co_await changed_.wait_until(deadline);
    }
}

awaitable<store_answer> platform_server::list_vms(const store_request& request) {
    const auto deadline = wait_deadline(request.wait);
    while (vms_version_ <= request.version && steady_clock::now() < deadline && !in_outage()) {
        co_await changed_.wait_until(deadline);
    }
    store_answer answer;
    answer.status = store_status::ok;
    answer.version = vms_version_;
    for (const auto& [vm, entry] : vms_) {
        answer.vms.push_back(entry);
    }
    co_return answer;
}

void platform_server::apply(const vm_list_change& change) {
    for (const auto& entry : change.set) {
        vms_[entry.vm] = entry;
    }
    for (const auto& vm : change.remove) {
        vms_.erase(vm);
    }
    ++vms_version_;
    changed_.notify();
}

http_reply platform_server::change_vms(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<vm_list_change>(json.value()) : json.error();
    if (!decoded) {
        return error_reply(400, decoded.error().message());
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, list_lag_);
    timer->async_wait([this, timer, change = decoded.value()](const error_code& failed) {
        if (!failed) {
            apply(change);
        }
    });
    return json_reply(Json::objectValue);
}

http_reply platform_server::fault(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<platform_fault>(json.value()) : json.error();
    if (!decoded) {
        return error_reply(400, decoded.error().message());
    }
    const auto& fault = decoded.value();
    list_lag_ = fault.list_lag_ms ? milliseconds{*fault.list_lag_ms} : list_lag_;
    delay_ = fault.delay_ms ? milliseconds{*fault.delay_ms} : delay_;
    answers_to_lose_ = fault.lose_answers.value_or(answers_to_lose_);
    lose_probability_ = fault.lose_probability.value_or(lose_probability_);
    if (fault.outage_ms) {
        outage_ = fault.outage;
        outage_until_ = steady_clock::now() + milliseconds{*fault.outage_ms};
        changed_.notify(); // Pending watches end with the outage's response.
    }
    if (fault.writes_per_second) {
        writes_.set_rate(*fault.writes_per_second);
    }
    if (fault.reads_per_second) {
        reads_.set_rate(*fault.reads_per_second);
    }
    return json_reply(Json::objectValue);
}

http_reply platform_server::inspect() const {
    Json::Value json;
    std::uint64_t total{0};
    for (const auto& [operation, name] : enum_names<store_operation>::table) {
        const auto found = calls_.find(operation);
        const auto count = found == calls_.end() ? 0 : found->second;
        json["calls"][name] = Json::UInt64{count};
        total += count;
    }
    json["total"] = Json::UInt64{total};
    json["refused"] = Json::UInt64{refused_calls_};
    json["lost_answers"] = Json::UInt64{lost_answers_};
    json["vms"] = Json::UInt64{vms_.size()};
    json["vms_version"] = Json::UInt64{vms_version_};
    return json_reply(json);
}

} // namespace jackdawvane::standin
