#include "standins/jackdawvane-load/direct_run.hpp"

#include "jackdawvane/node/backend.hpp"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

#include "standins/jackdawvane-load/caller_client.hpp"

namespace jackdawvane::standin {

namespace {

constexpr milliseconds call_timeout{5000};

double to_us(steady_clock::duration value) {
    return std::chrono::duration<double, std::micro>{value}.count();
}

Json::Value statements_of(access_mode mode) {
    Json::Value statement;
    statement["op"] = mode == access_mode::read ? "get" : "put";
    statement["key"] = "overhead";
    if (mode == access_mode::write) {
        statement["value"] = 1;
    }
    Json::Value statements;
    statements.append(statement);
    return statements;
}

/// @brief Connections to the same backend server, one direct and one through the proxy.
class paired_connections {
  public:
    paired_connections(asio::io_context& io, direct_settings settings)
        : settings_{std::move(settings)}, backend_{io, settings_.backend, settings_.address},
          vm_{io, settings_.vm, settings_.address} {}

    awaitable<void> connect() {
        const auto answer = co_await backend_.post("/connect", Json::objectValue, call_timeout);
        if (answer.isNull() || answer.isMember("error")) {
            throw std::runtime_error{"the backend server accepts no connection"};
        }
    }

    awaitable<steady_clock::duration> request_backend() {
        backend_request request;
        request.id = request_id{++number_};
        request.operation = backend_operation::execute;
        request.mode = settings_.mode;
        request.statements = statements_of(settings_.mode);
        const auto started = steady_clock::now();
        const auto answer = co_await backend_.post("/backend", to_json(request), call_timeout);
        const auto elapsed = steady_clock::now() - started;
        if (answer["problem"]["kind"] != "none") {
            throw std::runtime_error{"the backend server answered " + write_json(answer)};
        }
        co_return elapsed;
    }

    /// @return the response time, or nothing when the request was not run
    awaitable<std::optional<steady_clock::duration>> request_proxy() {
        caller_call call;
        call.target = "/v1/routes/" + settings_.route.str();
        call.api_key = settings_.key;
        call.session = session_;
        call.body = route_body(settings_.partition, settings_.mode, statements_of(settings_.mode));
        if (settings_.mode == access_mode::write) {
            call.idempotency_key =
                "direct-" + std::to_string(steady_clock::now().time_since_epoch().count());
        }
        const auto started = steady_clock::now();
        const auto reply = co_await send_call(vm_, std::move(call));
        const auto elapsed = steady_clock::now() - started;
        if (reply.result == outcome::not_run && reply.retry_after) {
            co_await sleep_for(*reply.retry_after);
            co_return std::nullopt;
        }
        if (!reply.succeeded()) {
            throw std::runtime_error{"the proxy answered " + reply.message};
        }
        session_ = reply.session.empty() ? session_ : reply.session;
        served_by_[reply.served_by] += 1;
        co_return elapsed;
    }

    [[nodiscard]] const std::map<std::string, std::uint64_t>& served_by() const {
        return served_by_;
    }

  private:
    direct_settings settings_;
    http_client backend_;
    http_client vm_;
    std::uint64_t number_{0};
    std::string session_;
    std::map<std::string, std::uint64_t> served_by_;
};

double quantile(const std::vector<double>& sorted, double share) {
    return sorted.at(static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1)));
}

} // namespace

awaitable<Json::Value> run_direct(asio::io_context& io, direct_settings settings) {
    paired_connections connections{io, settings};
    co_await connections.connect();
    latency_histogram direct;
    latency_histogram proxied;
    std::vector<double> added_us;
    Json::UInt64 refused{0};
    for (std::uint32_t pair = 0; pair < settings.warm_up + settings.pairs; ++pair) {
        // The order alternates, so that neither connection benefits from running second.
        const bool direct_first = pair % 2 == 0;
        steady_clock::duration backend_time{};
        if (direct_first) {
            backend_time = co_await connections.request_backend();
        }
        const auto proxy_time = co_await connections.request_proxy();
        if (!direct_first) {
            backend_time = co_await connections.request_backend();
        }
        refused += proxy_time ? 0U : 1U;
        if (pair < settings.warm_up || !proxy_time) {
            continue;
        }
        direct.add(backend_time);
        proxied.add(*proxy_time);
        added_us.push_back(to_us(*proxy_time - backend_time));
    }
    std::sort(added_us.begin(), added_us.end());
    Json::Value json;
    json["refused"] = refused;
    json["latency"]["direct"] = direct.summary();
    json["latency"]["proxied"] = proxied.summary();
    if (!added_us.empty()) {
        json["added"]["p50_us"] = quantile(added_us, 0.5);
        json["added"]["p95_us"] = quantile(added_us, 0.95);
        json["added"]["p99_us"] = quantile(added_us, 0.99);
        json["added"]["max_us"] = added_us.back();
    }
    for (const auto& [backend, count] : connections.served_by()) {
        json["served_by"][backend] = Json::UInt64{count};
    }
    co_return json;
}

} // namespace jackdawvane::standin
