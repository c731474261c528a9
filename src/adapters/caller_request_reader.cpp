#include "jackdawvane/adapters/caller_api.hpp"
#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <array>
#include <charconv>
#include <string_view>

namespace jackdawvane {

namespace {

constexpr std::string_view routes_prefix = "/v1/routes/";
constexpr std::string_view transactions_prefix = "/v1/transactions/";
constexpr std::string_view begin_suffix = "/transactions";
constexpr std::string_view bearer_prefix = "Bearer ";
// A longer time is taken as an error; very large ones would overflow in microseconds.
constexpr std::int64_t max_header_ms = std::int64_t{24} * 3600 * 1000;

struct follow_up {
    std::string_view name;
    request_kind kind;
};

constexpr std::array follow_ups{follow_up{"statements", request_kind::statements},
                                follow_up{"commit", request_kind::commit},
                                follow_up{"rollback", request_kind::rollback}};

/// @brief Body of a request to a route or transaction.
struct request_body {
    std::string partition;
    access_mode mode{access_mode::read};
    Json::Value statements{Json::arrayValue};

    static constexpr auto fields() {
        return std::tuple{field("partition", &request_body::partition),
                          field("mode", &request_body::mode),
                          field("statements", &request_body::statements)};
    }
};

error malformed(std::string detail) {
    return {error_kind::malformed_request, std::move(detail), {}};
}

error unknown_path(std::string_view target) {
    return malformed("unknown path " + std::string{target});
}

result<void> read_route(std::string_view target, caller_request& request) {
    auto name = target.substr(routes_prefix.size());
    if (name.size() > begin_suffix.size() &&
        name.substr(name.size() - begin_suffix.size()) == begin_suffix) {
        name.remove_suffix(begin_suffix.size());
        request.kind = request_kind::begin;
    }
    if (name.empty() || name.find('/') != std::string_view::npos) {
        return unknown_path(target);
    }
    request.route = route_name{name};
    return boost::outcome_v2::success();
}

result<void> read_follow_up(std::string_view target, caller_request& request) {
    const auto rest = target.substr(transactions_prefix.size());
    const auto slash = rest.find('/');
    if (slash == 0 || slash == std::string_view::npos) {
        return unknown_path(target);
    }
    for (const auto& each : follow_ups) {
        if (rest.substr(slash + 1) == each.name) {
            request.transaction = transaction_id{rest.substr(0, slash)};
            request.kind = each.kind;
            return boost::outcome_v2::success();
        }
    }
    return unknown_path(target);
}

result<void> read_target(const http_request_view& received, caller_request& request) {
    const auto target = received.target();
    if (target.substr(0, routes_prefix.size()) == routes_prefix) {
        return read_route(target, request);
    }
    if (target.substr(0, transactions_prefix.size()) == transactions_prefix) {
        return read_follow_up(target, request);
    }
    return unknown_path(target);
}

result<void> read_milliseconds(const http_request_view& request, std::string_view name,
                               std::optional<duration>& value) {
    const auto text = request.header(name);
    if (text.empty()) {
        return boost::outcome_v2::success();
    }
    std::int64_t number{0};
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end || number < 0 || number > max_header_ms) {
        return malformed(std::string{name} + " must be a number of milliseconds up to one day");
    }
    value = from_milliseconds(number);
    return boost::outcome_v2::success();
}

result<void> read_headers(const http_request_view& received, caller_request& request) {
    const auto authorization = received.header("Authorization");
    if (!authorization.empty()) {
        if (authorization.substr(0, bearer_prefix.size()) != bearer_prefix) {
            return malformed("the Authorization header must be Bearer KEY");
        }
        request.key = authorization.substr(bearer_prefix.size());
    }
    request.session = received.header("Jackdawvane-Session");
    request.name = request_name{received.header("Idempotency-Key")};
    auto read = read_milliseconds(received, "Jackdawvane-Deadline-Ms", request.timeout);
    if (!read) {
        return read;
    }
    return read_milliseconds(received, "Jackdawvane-Max-Staleness-Ms", request.max_staleness);
}

result<void> read_body(const http_request_view& received, caller_request& request) {
    if (received.body().empty()) {
        return boost::outcome_v2::success();
    }
    const auto json = parse_json(received.body());
    if (!json) {
        return json.error();
    }
    auto body = from_json<request_body>(json.value());
    if (!body) {
        return body.error();
    }
    if (!body.value().statements.isArray()) {
        return malformed("statements: must be a list");
    }
    request.partition = std::move(body.value().partition);
    request.mode = body.value().mode;
    request.statements = std::move(body.value().statements);
    return boost::outcome_v2::success();
}

result<void> check_statements(const http_request_view& /*received*/, caller_request& request) {
    const bool needed =
        request.kind == request_kind::single || request.kind == request_kind::statements;
    if (needed && request.statements.empty()) {
        return malformed("statements: must list at least one statement");
    }
    return boost::outcome_v2::success();
}

} // namespace

result<caller_request> read_caller_request(const http_request_view& received) {
    caller_request request;
    if (received.method() != "POST") {
        return malformed("use POST");
    }
    for (const auto step : {read_target, read_headers, read_body, check_statements}) {
        const auto read = step(received, request);
        if (!read) {
            return read.error();
        }
    }
    return request;
}

} // namespace jackdawvane
