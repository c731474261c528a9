#include "standins/jackdawvane-load/load_run.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

// Allows more sessions than the think time implies, because slow requests occupy theirs longer.
constexpr double session_headroom_factor = 4;
constexpr std::size_t min_sessions = 8;
constexpr milliseconds inspect_timeout{20'000};
// Lets replicas catch up and replaced primaries roll back what their successors lack.
constexpr milliseconds settle_time{500};

} // namespace

load_run::load_run(asio::io_context& io, load_settings settings)
    : io_{io}, context_{io, std::move(settings)}, changed_{io} {
    const auto& configured = context_.settings;
    for (const auto& backend : configured.backends) {
        context_.group_of[backend.id.str()] = backend.group;
    }
    context_.run_id = std::to_string(configured.seed) + "-" +
                      std::to_string(steady_clock::now().time_since_epoch().count());
    if (configured.control) {
        control_.emplace(
            io, *configured.control,
            [this](http_server::connection_ptr connection, const http_request& request) {
                return control(std::move(connection), request);
            });
    }
}

void load_run::add_mark(milliseconds after) {
    marks_.push_back({"given", {}, steady_clock::time_point{after}});
}

double load_run::arrivals_now(const organisation_load& organisation) const {
    const auto elapsed = steady_clock::now() - started_;
    const bool overload = elapsed >= milliseconds{organisation.overload_from_ms} &&
                          elapsed < milliseconds{organisation.overload_to_ms};
    return organisation.arrivals_per_second * (overload ? organisation.overload_factor : 1);
}

awaitable<void> load_run::serve(std::deque<session_ptr>& idle, session_ptr session) {
    co_await session->run_request();
    idle.push_back(std::move(session));
    --running_;
    changed_.notify();
}

awaitable<void> load_run::generate(const organisation_load& organisation) {
    const auto& settings = context_.settings;
    const auto highest_rate =
        organisation.arrivals_per_second * std::max(1.0, organisation.overload_factor);
    const auto expected_sessions = highest_rate * settings.think_ms / 1000;
    const auto max_sessions =
        min_sessions + static_cast<std::size_t>(expected_sessions * session_headroom_factor);
    const auto base_sessions = std::max<std::size_t>(
        1, static_cast<std::size_t>(organisation.arrivals_per_second * settings.think_ms / 1000));
    std::size_t sessions{0};
    auto& idle = idle_[organisation.id];
    auto next = steady_clock::now();
    const auto end = started_ + milliseconds{settings.duration_ms};
    while (!stopping_) {
        std::exponential_distribution<double> gap{arrivals_now(organisation)};
        next += std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>{gap(context_.random)});
        if (next >= end || started_requests_ >= settings.max_requests) {
            break;
        }
        if (next > steady_clock::now()) {
            co_await sleep_for(next - steady_clock::now());
        }
        // Reuses the session that has been idle longest, so that each one pauses for the think
        // time.
        if (sessions < base_sessions || (idle.empty() && sessions < max_sessions)) {
            const auto& key = organisation.keys.at(sessions % organisation.keys.size());
            // The run id keeps the keys of two runs on the same backend servers apart.
            const auto name =
                organisation.id.str() + "-" + context_.run_id + "-" + std::to_string(++sessions);
            idle.push_front(std::make_unique<load_session>(context_, organisation, name, key));
        }
        if (idle.empty()) {
            ++context_.measured.of(organisation.id).skipped;
            continue;
        }
        auto session = std::move(idle.front());
        idle.pop_front();
        ++started_requests_;
        ++running_;
        asio::co_spawn(io_, serve(idle, std::move(session)), asio::detached);
    }
    --running_;
    changed_.notify();
}

awaitable<http_reply> load_run::control(http_server::connection_ptr /*connection*/,
                                        const http_request& request) {
    if (request.target == "/mark") {
        const auto json = parse_json(request.body);
        auto mark = json ? from_json<fault_mark>(json.value()) : json.error();
        if (!mark) {
            co_return error_reply(400, mark.error().message());
        }
        mark.value().at = steady_clock::now();
        marks_.push_back(mark.value());
        co_return json_reply(Json::objectValue);
    }
    if (request.target == "/stop") {
        stopping_ = true;
        co_return json_reply(Json::objectValue);
    }
    if (request.target == "/inspect") {
        auto results = context_.measured.json(steady_clock::now() - started_);
        results["faults"] = marks_json();
        co_return json_reply(results);
    }
    co_return error_reply(404, "unknown path");
}

Json::Value load_run::marks_json() {
    Json::Value json{Json::arrayValue};
    for (const auto& mark : marks_) {
        Json::Value entry;
        entry["name"] = mark.name;
        entry["group"] = mark.group.str();
        entry["gap_ms"] = context_.measured.orders().gap_after(mark.at, mark.group);
        json.append(entry);
    }
    return json;
}

awaitable<void> load_run::check_logs(Json::Value& results) {
    struct group_log {
        std::uint64_t term{0};
        std::vector<std::string> names;
    };
    std::map<group_id, group_log> logs;
    for (const auto& backend : context_.settings.backends) {
        http_client client{io_, backend.endpoint, context_.settings.address};
        auto json = co_await client.get("/inspect?log", inspect_timeout);
        if (json.isNull()) {
            results["backends"][backend.id.str()] = "unreachable";
            continue;
        }
        const bool primary = json["status"]["role"] == "primary";
        const auto term = json["status"]["accepted_term"].asUInt64();
        auto& log = logs[backend.group];
        if (primary && term > log.term) {
            log = {term, {}};
            for (const auto& entry : json["log"]) {
                log.names.push_back(entry["name"].asString());
            }
        }
        json.removeMember("log");
        results["backends"][backend.id.str()] = json;
    }
    std::vector<std::vector<std::string>> names;
    for (auto& [group, log] : logs) {
        if (log.term == 0) {
            results["groups_without_primary"].append(group.str());
        }
        names.push_back(std::move(log.names));
    }
    results["orders"] = context_.measured.orders().check(names);
}

awaitable<Json::Value> load_run::run() {
    started_ = steady_clock::now();
    for (auto& mark : marks_) {
        mark.at = started_ + mark.at.time_since_epoch();
    }
    for (const auto& organisation : context_.settings.organisations) {
        ++running_;
        asio::co_spawn(io_, generate(organisation), asio::detached);
    }
    while (running_ > 0) {
        co_await changed_.wait_until(steady_clock::time_point::max());
    }
    const auto elapsed = steady_clock::now() - started_;
    auto results = context_.measured.json(elapsed);
    results["faults"] = marks_json();
    if (!context_.settings.backends.empty()) {
        co_await sleep_for(settle_time);
        co_await check_logs(results);
    }
    co_return results;
}

} // namespace jackdawvane::standin
