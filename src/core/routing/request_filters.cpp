#include "jackdawvane/configuration/key_registry.hpp"
#include "jackdawvane/routing/request_executor.hpp"
#include "jackdawvane/routing/session_token.hpp"

#include <algorithm>
#include <array>

namespace jackdawvane {

std::optional<error> request_executor::run_filters(time_point now, pending_request& r) const {
    static constexpr std::array<filter, 7> filters{
        &request_executor::check_accepting, &request_executor::find_target,
        &request_executor::check_key,       &request_executor::check_isolation,
        &request_executor::check_request,   &request_executor::set_deadline,
        &request_executor::parse_session};
    for (const auto step : filters) {
        if (auto problem = (this->*step)(now, r)) {
            return problem;
        }
    }
    return std::nullopt;
}

std::optional<error> request_executor::check_accepting(time_point /*now*/,
                                                       pending_request& r) const {
    // An open transaction is pinned to the VM of its connection and may finish while this VM shuts
    // down.
    const bool opens_work =
        r.request.kind == request_kind::single || r.request.kind == request_kind::begin;
    if (leaving_ && opens_work) {
        return error{error_kind::leaving, "this VM is shutting down", duration{0}};
    }
    if (services_.configuration() == nullptr) {
        return error{error_kind::no_configuration, {}, settings_.default_retry_after};
    }
    return std::nullopt;
}

std::optional<error> request_executor::find_target(time_point /*now*/, pending_request& r) const {
    const bool follow_up =
        r.request.kind != request_kind::single && r.request.kind != request_kind::begin;
    if (follow_up) {
        return find_transaction(r);
    }
    const auto& routes = services_.configuration()->routes;
    const auto found = routes.find(r.request.route);
    if (found == routes.end()) {
        return error{error_kind::unknown_route, "no route named " + r.request.route.str(), {}};
    }
    r.route = found->second;
    const auto* pool = pool_of(r);
    if (pool == nullptr || pool->groups.empty()) {
        return error{error_kind::no_backend_server, "pool " + r.route.pool.str() + " has no groups",
                     settings_.default_retry_after};
    }
    r.group = services_.choose_group(*pool, r.request.partition);
    return std::nullopt;
}

std::optional<error> request_executor::find_transaction(pending_request& r) const {
    auto handle = decode_transaction(r.request.transaction);
    if (!handle) {
        return handle.error();
    }
    r.request.mode = handle.value().mode;
    r.request.route = handle.value().route;
    r.group = handle.value().group;
    r.pinned = std::move(handle).value();
    const auto& routes = services_.configuration()->routes;
    const auto found = routes.find(r.request.route);
    if (found == routes.end()) {
        return error{
            error_kind::unknown_route, "route " + r.request.route.str() + " was removed", {}};
    }
    r.route = found->second;
    return std::nullopt;
}

std::optional<error> request_executor::check_key(time_point /*now*/, pending_request& r) const {
    if (r.route.open) {
        return std::nullopt;
    }
    if (r.request.key.empty()) {
        return error{error_kind::missing_key, {}, {}};
    }
    auto organisation = services_.authenticate(r.request.key);
    // The key is no longer needed and must not reach a peer, a backend server or a log.
    r.request.key.clear();
    if (!organisation) {
        return organisation.error();
    }
    r.organisation = std::move(organisation).value();
    if (auto permitted = authorise(r.route, r.organisation); !permitted) {
        return permitted.error();
    }
    return std::nullopt;
}

std::optional<error> request_executor::check_isolation(time_point now, pending_request& r) const {
    const bool refuses = !r.route.open && r.route.keys_when_isolated == isolation_mode::refuse;
    if (refuses && services_.isolated(now)) {
        return error{error_kind::isolated, {}, settings_.default_retry_after};
    }
    return std::nullopt;
}

std::optional<error> request_executor::check_request(time_point /*now*/, pending_request& r) const {
    if (!r.request.statements.isArray()) {
        return error{error_kind::malformed_request, "statements must be a list", {}};
    }
    if (r.request.mode == access_mode::read) {
        return std::nullopt;
    }
    if (!r.pinned && !r.route.writes) {
        return error{error_kind::malformed_request,
                     "route " + r.request.route.str() + " accepts no writes",
                     {}};
    }
    const bool needs_name =
        r.request.kind == request_kind::single || r.request.kind == request_kind::commit;
    if (needs_name && r.request.name.empty()) {
        return error{error_kind::name_required, {}, {}};
    }
    return std::nullopt;
}

std::optional<error> request_executor::set_deadline(time_point now, pending_request& r) const {
    const auto max_timeout = from_milliseconds(r.route.deadline_ms);
    const auto timeout = std::min(r.request.timeout.value_or(max_timeout), max_timeout);
    if (timeout <= duration{0}) {
        return error{error_kind::deadline_exceeded, "the deadline has already passed", {}};
    }
    r.received = now;
    r.deadline = now + timeout;
    return std::nullopt;
}

std::optional<error> request_executor::parse_session(time_point /*now*/, pending_request& r) const {
    if (r.request.session.empty()) {
        if (!r.request.max_staleness && r.route.max_staleness_ms) {
            r.request.max_staleness = from_milliseconds(*r.route.max_staleness_ms);
        }
        return std::nullopt;
    }
    auto positions = decode_token(r.request.session);
    if (!positions) {
        return positions.error();
    }
    r.session = std::move(positions).value();
    return std::nullopt;
}

} // namespace jackdawvane
