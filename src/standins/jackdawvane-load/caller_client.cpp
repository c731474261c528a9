#include "standins/jackdawvane-load/caller_client.hpp"

#include "jackdawvane/foundation/json_codec.hpp"

namespace jackdawvane::standin {

namespace {

// Time past the deadline for the network and for the proxy to send its answer.
constexpr milliseconds timeout_margin{1000};

http_client::header_fields fields_of(const caller_call& call) {
    http_client::header_fields fields{
        {"Jackdawvane-Deadline-Ms", std::to_string(call.deadline_ms)}};
    if (!call.api_key.empty()) {
        fields["Authorization"] = "Bearer " + call.api_key;
    }
    if (!call.session.empty()) {
        fields["Jackdawvane-Session"] = call.session;
    }
    if (!call.idempotency_key.empty()) {
        fields["Idempotency-Key"] = call.idempotency_key;
    }
    if (call.max_staleness_ms) {
        fields["Jackdawvane-Max-Staleness-Ms"] = std::to_string(*call.max_staleness_ms);
    }
    return fields;
}

caller_reply reply_of(const std::string& body) {
    caller_reply reply;
    const auto parsed = parse_json(body);
    if (!parsed || !parsed.value().isObject()) {
        reply.message = "the answer is not a JSON object";
        return reply;
    }
    const auto& json = parsed.value();
    decode_problems problems;
    from_json(json["outcome"], reply.result, "outcome", problems);
    if (!problems.empty()) {
        reply.message = "the answer has no outcome";
        return reply;
    }
    reply.answered = true;
    reply.kind = error_kind::none;
    if (json.isMember("error")) {
        const auto& problem = json["error"];
        reply.kind = error_kind_from(problem["kind"].asString());
        reply.message = problem["message"].asString();
        if (problem["retry_after_ms"].isInt64()) {
            reply.retry_after = milliseconds{problem["retry_after_ms"].asInt64()};
        }
    }
    reply.results = json["results"];
    reply.session = json["session"].asString();
    reply.transaction = json["transaction"].asString();
    reply.served_by = json["served_by"].asString();
    reply.from_replica = json.get("from_replica", false).asBool();
    reply.repeated = json.get("repeated", false).asBool();
    return reply;
}

} // namespace

awaitable<caller_reply> send_call(http_client& client, caller_call call) {
    const auto timeout = milliseconds{call.deadline_ms} + timeout_margin;
    const auto reply = co_await client.request("POST", call.target, write_json(call.body), timeout,
                                               fields_of(call));
    if (!reply) {
        caller_reply lost;
        lost.message = "the connection failed";
        co_return lost;
    }
    co_return reply_of(reply->body);
}

Json::Value route_body(const std::string& partition, access_mode mode,
                       const Json::Value& statements) {
    Json::Value body;
    body["partition"] = partition;
    body["mode"] = to_json(mode);
    if (!statements.isNull()) {
        body["statements"] = statements;
    }
    return body;
}

} // namespace jackdawvane::standin
