#include "standins/jackdawvane-site/site_server.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

constexpr milliseconds replication_interval{2};
constexpr milliseconds registration_interval{20};
/// A registration expires after this many heartbeat intervals without renewal.
constexpr int max_missed_heartbeats = 3;

std::int64_t unix_milliseconds() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string text_of(const endpoint& where) {
    return where.address + ":" + std::to_string(where.port);
}

std::map<std::string, std::vector<group_member>> members_by_group(const site_settings& settings) {
    std::map<std::string, std::vector<group_member>> groups;
    for (const auto& each : settings.members) {
        group_member member;
        member.id = each.id;
        member.domain = each.domain;
        member.address = text_of(each.advertised.port == 0 ? each.listen : each.advertised);
        member.lag = milliseconds{settings.lag_ms};
        member.started_at_ms = unix_milliseconds();
        groups[each.group].push_back(std::move(member));
    }
    return groups;
}

} // namespace

site_server::site_server(asio::io_context& io, const site_settings& settings)
    : settings_{settings}, store_{io},
      control_server_{io, settings.control,
                      [this](const http_server::connection_ptr& /*connection*/,
                             const http_request& request) { return control(request); }},
      store_server_{io, settings.store,
                    [this](http_server::connection_ptr connection, const http_request& request) {
                        return store_.handle(std::move(connection), request);
                    }},
      promotion_server_{io, settings.promotion,
                        [this](const http_server::connection_ptr& /*connection*/,
                               const http_request& request) { return promote(request); }} {
    for (auto& [name, members] : members_by_group(settings)) {
        groups_.try_emplace(name, name, std::move(members));
    }
    const member_limits limits{settings.slots, settings.connections};
    std::map<std::string, std::size_t> next;
    for (const auto& each : settings.members) {
        auto& group = groups_.at(each.group);
        const auto index = next[each.group]++;
        auto server = std::make_unique<member_server>(
            io, group, index, each.listen, limits,
            [this](Json::Value run) { runs_.append(std::move(run)); });
        members_.push_back({&group, index, each, std::move(server), 0, {}, {}, {}, false});
    }
    asio::co_spawn(io, replicate(), asio::detached);
    asio::co_spawn(io, register_members(), asio::detached);
}

group_member& site_server::state_of(const served_member& each) const {
    return each.group->members()[each.index];
}

awaitable<void> site_server::replicate() {
    for (;;) {
        co_await sleep_for(replication_interval);
        for (auto& [name, group] : groups_) {
            group.replicate(steady_clock::now());
        }
    }
}

awaitable<void> site_server::register_members() {
    for (;;) {
        for (auto& each : members_) {
            register_member(each, steady_clock::now());
        }
        co_await sleep_for(registration_interval);
    }
}

/// Writes a registration when it is due or has changed, and removes an expired one.
void site_server::register_member(served_member& each, steady_clock::time_point now) {
    const auto& member = state_of(each);
    const milliseconds interval{settings_.heartbeat_ms};
    const auto key = "servers/" + member.id;
    if (each.registered && now >= each.expires_at) {
        store_.withdraw(key);
        each.registered = false;
    }
    const auto current_state = std::to_string(member.incarnation) + (member.primary ? "p" : "r") +
                               (member.leaving ? "l" : "s");
    if (!member.running() || store_.down() ||
        (now < each.due_at && current_state == each.registered_state)) {
        return;
    }
    Json::Value row;
    row["service"] = each.group->name();
    row["address"] = member.address;
    row["zone"] = member.domain;
    row["version"] = "v1";
    row["capacity"] = settings_.slots;
    row["state"] = member.leaving ? "draining" : "ready";
    row["warmup_remaining_ms"] = 0;
    row["db_role"] = member.primary ? "primary" : "replica";
    row["born"] = Json::Int64{member.started_at_ms};
    row["sequence"] = Json::UInt64{++each.sequence};
    store_.publish(key, row);
    each.registered_state = current_state;
    each.due_at = now + interval;
    each.expires_at = now + max_missed_heartbeats * interval;
    each.registered = true;
}

/// Entries of a restored store are removed unless a heartbeat renews them in time.
void site_server::expect_registrations(steady_clock::time_point now) {
    for (auto& each : members_) {
        each.registered = true;
        each.expires_at = now + max_missed_heartbeats * milliseconds{settings_.heartbeat_ms};
    }
}

awaitable<http_reply> site_server::promote(const http_request& request) {
    const auto body = parse_json(request.body);
    if (!body) {
        co_return error_reply(400, body.error().message());
    }
    const auto found = groups_.find(body.value()["service"].asString());
    if (found == groups_.end()) {
        co_return error_reply(404, "no such service");
    }
    Json::Value call = body.value();
    call["head"] = request.raw.substr(0, request.raw.find("\r\n\r\n"));
    call["at"] = std::chrono::duration<double>(steady_clock::now().time_since_epoch()).count();
    const auto index = promotions_.size();
    promotions_.append(call);
    co_await sleep_for(milliseconds{settings_.promotion_ms});
    const auto id = body.value()["id"].asString();
    if (!found->second.promote(id)) {
        co_return error_reply(409, "this member does not run");
    }
    promotions_[index]["effective"] =
        std::chrono::duration<double>(steady_clock::now().time_since_epoch()).count();
    promotions_[index]["term"] = Json::UInt64{found->second.find(id)->term};
    auto reply = json_reply(Json::objectValue);
    reply.twice = double_promotions_;
    co_return reply;
}

awaitable<http_reply> site_server::control(const http_request& request) {
    if (request.target == "/config") {
        const auto document = parse_json(request.body);
        if (!document || store_.down()) {
            co_return error_reply(503, "not stored");
        }
        store_.publish("op/config", document.value());
        co_return json_reply(Json::objectValue);
    }
    if (request.target == "/fault") {
        co_return fault(request);
    }
    if (request.target == "/inspect") {
        co_return inspect();
    }
    if (request.target == "/record") {
        Json::Value json;
        json["runs"] = runs_;
        json["promotions"] = promotions_;
        co_return json_reply(json);
    }
    co_return error_reply(404, "unknown path");
}

http_reply site_server::fault(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<site_fault>(json.value()) : json.error();
    if (!decoded) {
        return error_reply(400, decoded.error().message());
    }
    if (decoded.value().store) {
        store_.apply(*decoded.value().store);
        if (decoded.value().store->restored_ms) {
            expect_registrations(steady_clock::now() +
                                 milliseconds{*decoded.value().store->restored_ms});
        }
    }
    double_promotions_ = decoded.value().double_promotions.value_or(double_promotions_);
    if (decoded.value().member) {
        apply(*decoded.value().member);
    }
    return json_reply(Json::objectValue);
}

void site_server::apply(const member_fault& fault) {
    for (auto& each : members_) {
        auto& member = state_of(each);
        if (member.id != fault.member) {
            continue;
        }
        if (fault.state == "crashed" && member.state != group_member::condition::crashed) {
            each.group->crash(member);
            each.server->close();
        } else if (fault.state == "dark" && member.running()) {
            member.state = group_member::condition::unresponsive;
            each.server->silence();
        } else if (fault.state == "running" && member.state == group_member::condition::crashed) {
            each.group->restart(member, unix_milliseconds());
            each.server->open();
        } else if (fault.state == "running") {
            member.state = group_member::condition::running; // It keeps its role.
        }
        member.leaving = fault.leaving.value_or(member.leaving);
        member.isolated = fault.isolated.value_or(member.isolated);
        member.lag = fault.lag_ms ? milliseconds{*fault.lag_ms} : member.lag;
        member.lose_answers = fault.lose_answers.value_or(member.lose_answers);
        auto& repeated = member.repeated;
        repeated.share = fault.double_answers.value_or(repeated.share);
        repeated.cut_share = fault.double_cuts.value_or(repeated.cut_share);
        repeated.max_delay =
            fault.double_delay_ms ? milliseconds{*fault.double_delay_ms} : repeated.max_delay;
        member.extra_work =
            fault.extra_work_ms ? milliseconds{*fault.extra_work_ms} : member.extra_work;
        member.fail_share = fault.fail_share.value_or(member.fail_share);
        if (fault.silence) {
            each.server->silence();
        }
    }
}

http_reply site_server::inspect() const {
    Json::Value json;
    json["store"] = store_.inspect();
    for (const auto& [name, group] : groups_) {
        json["groups"][name] = group.describe();
    }
    return json_reply(json);
}

} // namespace jackdawvane::standin
