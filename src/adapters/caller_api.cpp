#include "jackdawvane/adapters/caller_api.hpp"

#include "jackdawvane/foundation/json_codec.hpp"

#include <algorithm>
#include <array>

namespace jackdawvane {

namespace {

struct kind_status {
    error_kind kind;
    unsigned status;
};

constexpr unsigned status_not_run = 503;
constexpr unsigned status_unknown = 504;

// Requests that fail with a kind not listed here may succeed later: 503.
constexpr std::array kind_statuses{
    kind_status{error_kind::malformed_request, 400},
    kind_status{error_kind::malformed_token, 400},
    kind_status{error_kind::name_required, 400},
    kind_status{error_kind::missing_key, 401},
    kind_status{error_kind::unknown_key, 401},
    kind_status{error_kind::organisation_not_allowed, 403},
    kind_status{error_kind::unknown_route, 404},
    kind_status{error_kind::unknown_transaction, 404},
    kind_status{error_kind::history_lost, 409},
    kind_status{error_kind::name_reused, 409},
    kind_status{error_kind::conflict, 409},
    kind_status{error_kind::statement_failed, 422},
    kind_status{error_kind::rate_exceeded, 429},
    kind_status{error_kind::internal, 500},
};

constexpr std::int64_t milliseconds_per_second = 1000;

// Retry-After takes whole seconds, rounded up; the body has the exact milliseconds.
std::string retry_after_seconds(duration value) {
    const auto seconds =
        (to_milliseconds(value) + milliseconds_per_second - 1) / milliseconds_per_second;
    return std::to_string(seconds);
}

Json::Value error_json(const error& problem) {
    Json::Value json{Json::objectValue};
    json["kind"] = std::string{to_string(problem.kind)};
    json["message"] = problem.message();
    json["remedy"] = std::string{remedy(problem.kind)};
    if (problem.retry_after) {
        json["retry_after_ms"] = static_cast<Json::Int64>(to_milliseconds(*problem.retry_after));
    }
    return json;
}

http_response to_response(const caller_answer& answer) {
    http_response response;
    response.status = http_status_of(answer);
    response.body = write_json(caller_answer_json(answer));
    if (!answer.session.empty()) {
        response.headers.push_back({"Jackdawvane-Session", answer.session});
    }
    const bool retryable = response.status == status_not_run || response.status == 429;
    if (retryable) {
        const auto after = answer.problem.retry_after.value_or(duration{0});
        response.headers.push_back({"Retry-After", retry_after_seconds(after)});
    }
    return response;
}

http_response refusal(const error& problem) {
    return to_response({{}, outcome::not_run, problem, {}, {}, {}, {}, false, false});
}

http_response plain_text(unsigned status, std::string text) {
    return {status, std::move(text), "text/plain; version=0.0.4", {}};
}

} // namespace

unsigned http_status_of(const caller_answer& answer) noexcept {
    if (answer.result == outcome::unknown) {
        return status_unknown;
    }
    if (answer.result == outcome::done && answer.problem.kind == error_kind::none) {
        return 200;
    }
    const auto* found =
        std::find_if(kind_statuses.begin(), kind_statuses.end(),
                     [&answer](const auto& row) { return row.kind == answer.problem.kind; });
    return found == kind_statuses.end() ? status_not_run : found->status;
}

Json::Value caller_answer_json(const caller_answer& answer) {
    Json::Value json{Json::objectValue};
    json["outcome"] = to_json(answer.result);
    if (answer.result == outcome::done) {
        json["results"] = answer.results;
    }
    if (!answer.session.empty()) {
        json["session"] = answer.session;
    }
    if (!answer.transaction.empty()) {
        json["transaction"] = answer.transaction.str();
    }
    if (!answer.served_by.empty()) {
        json["served_by"] = answer.served_by.str();
        json["from_replica"] = answer.from_replica;
    }
    if (answer.repeated) {
        json["repeated"] = true;
    }
    if (answer.problem.kind != error_kind::none) {
        json["error"] = error_json(answer.problem);
    }
    return json;
}

caller_api::caller_api(event_sink sink, const node_interface& node,
                       std::function<std::string()> metrics)
    : sink_{std::move(sink)}, node_{node}, metrics_{std::move(metrics)} {}

void caller_api::handle(const http_request_view& request, const http_responder& responder) {
    if (request.target().substr(0, 4) == "/v1/") {
        handle_caller(request, responder);
    } else {
        responder.respond(operator_response(request));
    }
}

void caller_api::handle_caller(const http_request_view& request, const http_responder& responder) {
    auto read = read_caller_request(request);
    if (!read) {
        responder.respond(refusal(read.error()));
        return;
    }
    const auto id = ids_.next();
    waiting_.emplace(id, responder);
    responder.on_closed([this, id] {
        waiting_.erase(id);
        sink_(caller_disconnected{id});
    });
    read.value().caller = id;
    sink_(std::move(read).value());
}

void caller_api::answer(const caller_answer& answer) {
    const auto found = waiting_.find(answer.caller);
    if (found == waiting_.end()) {
        return;
    }
    const auto responder = found->second;
    waiting_.erase(found);
    responder.respond(to_response(answer));
}

http_response caller_api::operator_response(const http_request_view& request) const {
    if (request.method() != "GET") {
        return plain_text(405, "use GET\n");
    }
    if (request.target() == "/healthz") {
        return plain_text(200, "ok\n");
    }
    if (request.target() == "/readyz") {
        return node_.ready() ? plain_text(200, "ready\n") : plain_text(503, "not ready\n");
    }
    if (request.target() == "/metrics") {
        return plain_text(200, metrics_());
    }
    if (request.target() == "/admin/status") {
        return {200, write_json(node_.describe()), "application/json", {}};
    }
    return plain_text(404, "unknown path; see /healthz, /readyz, /metrics, /admin/status and "
                           "/v1/routes/ROUTE\n");
}

} // namespace jackdawvane
