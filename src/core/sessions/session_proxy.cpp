#include "jackdawvane/sessions/session_proxy.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Resolution of the timers of leases and connections.
constexpr duration slow_tick_interval = std::chrono::milliseconds{50};
/// Longest time from the start of a shutdown for the store to take back this VM's rate shares, when
/// no session is left.
constexpr duration share_return_timeout = std::chrono::milliseconds{700};

/// First id of this incarnation. Other VMs may still hold leases of an earlier incarnation of this
/// VM, so ids are never reused. An incarnation opens fewer than 2^20 connections per millisecond.
std::uint64_t first_id(vm_incarnation incarnation) {
    return incarnation.value() << 20U;
}

fleet_state make_state(const session_proxy_settings& settings) {
    fleet_state state;
    state.self = settings.self;
    state.live = {settings.self};
    state.regions = settings.regions;
    state.evacuations = evacuation_list{settings.evacuations};
    return state;
}

membership_settings fleet_settings(const session_proxy_settings& settings) {
    membership_settings fleet;
    fleet.self = settings.self;
    fleet.incarnation = settings.incarnation;
    fleet.seeds = settings.seeds;
    return fleet;
}

configuration_replica_settings replica_settings(const session_proxy_settings& settings) {
    configuration_replica_settings replica;
    replica.self = settings.self.vm;
    replica.domain = settings.self.place.domain;
    replica.read_at_start = true;
    return replica;
}

rate_limiter_settings limiter_settings(const session_proxy_settings& settings) {
    rate_limiter_settings limits;
    limits.pending = settings.token_wait;
    limits.joining = settings.joining_token_wait;
    limits.waits_for_local_refill = true;
    limits.queues_by_class = settings.queues_by_class;
    limits.share_interval = settings.share_interval;
    limits.shares.join_spread = settings.share_join_jitter;
    limits.shares.settle = settings.share_settle_delay;
    limits.shares.shortest_retry = settings.min_share_retry_delay;
    limits.lease = settings.lease_duration;
    limits.lease_renewal = settings.lease_renewal;
    limits.shares.join_settle = settings.share_join_delay;
    limits.shares.release_delay = settings.share_release_delay;
    limits.holders_per_domain = settings.holders_per_domain;
    limits.max_holders = settings.max_holders;
    return limits;
}

} // namespace

session_proxy::session_proxy(const session_proxy_settings& settings)
    : settings_{settings}, random_{settings.random_seed}, connection_ids_{connection_id{
                                                              first_id(settings.incarnation)}},
      state_{make_state(settings)}, members_{fleet_settings(settings), request_ids_, random_},
      configuration_{replica_settings(settings), request_ids_, random_},
      limiter_{settings.self.vm,           settings.incarnation, settings.self.place,
               limiter_settings(settings), request_ids_,         random_},
      registration_{settings.self, settings.registration, request_ids_},
      coordinator_lease_{settings.self.vm, settings.coordinator_lease, request_ids_},
      observer_{state_, settings.observer, connection_ids_, request_ids_},
      coordinator_{state_, observer_, coordinator_lease_, settings.failover},
      backends_{state_, settings.backends, connection_ids_}, owner_{state_, backends_,
                                                                    settings.owner},
      forwarder_{state_, owner_, settings.forwarder, connection_ids_},
      executor_{state_, forwarder_, *this, settings.executor,
                attempt_id{first_id(settings.incarnation)}} {}

void session_proxy::handle(time_point now, const proxy_event& input, proxy_output& out) {
    check_pause(now, out);
    std::visit([&](const auto& body) { on(now, body, out); }, input);
    run_due(now, out);
    settle(now, out);
}

void session_proxy::check_pause(time_point now, proxy_output& out) {
    if (!members_.paused_since_last_event(now)) {
        return;
    }
    log(out.common, "proxy", log_level::warning, "this VM was paused; leases are checked again");
    limiter_.paused(now, out.common);
    coordinator_lease_.paused(out.common);
    owner_.paused(now);
}

void session_proxy::run_due(time_point now, proxy_output& out) {
    if (members_.next_deadline() <= now) {
        members_.tick(now, out.common);
    }
    if (configuration_.next_deadline() <= now) {
        configuration_.tick(now, out.common);
    }
    if (limiter_.next_deadline() <= now) {
        limiter_.tick(now, out.common);
    }
    if (now >= next_slow_tick_) {
        next_slow_tick_ = now + slow_tick_interval;
        registration_.tick(now, out.common);
        coordinator_lease_.tick(now, coordinator_rank_, out.common);
        backends_.tick(now, out);
        owner_.tick(now, out);
    }
    observer_.set_observes_all(coordinator_lease_.held(now));
    if (observer_.next_deadline() <= now) {
        observer_.tick(now, out);
        coordinator_.tick(now, out);
    }
    if (executor_.next_deadline() <= now) {
        executor_.tick(now, out);
    }
}

time_point session_proxy::next_deadline() const {
    return std::min({members_.next_deadline(), configuration_.next_deadline(),
                     limiter_.next_deadline(), next_slow_tick_, observer_.next_deadline(),
                     executor_.next_deadline()});
}

void session_proxy::settle(time_point now, proxy_output& out) {
    apply_configuration(now, out);
    apply_membership(now, out);
    for (const auto& decision : limiter_.take_decisions()) {
        executor_.on_admission(now, decision, out);
    }
    for (const auto& answer : observer_.take_answers()) {
        coordinator_.on_control(now, answer, out);
    }
    settle_statements(now, out);
    observer_.query_awaited_groups(now, out);
    report_readiness(out);
    if (leaving_) {
        finish_leaving(now, out);
    }
}

/// Passes results from the connections through the connection owner and the forwarder to the
/// sessions, and the sessions' next statements back, until no result is left.
void session_proxy::settle_statements(time_point now, proxy_output& out) {
    bool progress = true;
    while (progress) {
        owner_.settle(now, out);
        const auto results = owner_.take_results();
        for (const auto& [entry, result] : results) {
            if (entry == settings_.self.vm) {
                accept_result(now, entry, result, out);
            } else if (const auto* vm = members_.entry_of(entry)) {
                out.common.emplace_back(
                    send_to_peer{entry, vm->peer, peer_channel::stream, result});
            }
        }
        executor_.settle(now, out);
        progress = !results.empty();
    }
}

void session_proxy::accept_result(time_point now, const vm_id& from, const attempt_result& result,
                                  proxy_output& out) {
    if (!forwarder_.on_result(now, from, result)) {
        count(out.common, "unknown_attempt_results_total");
        log(out.common, "statement", log_level::debug,
            "result dropped, its attempt is not in flight at its sender attempt=" +
                std::to_string(result.attempt.value()) + " from=" + from.str() +
                " backend=" + result.backend.str());
    }
}

void session_proxy::handle_vm_loss(const vm_id& vm, proxy_output& out) {
    forwarder_.on_vm_lost(vm);
    owner_.forget(vm, out);
}

void session_proxy::apply_configuration(time_point now, proxy_output& out) {
    if (configuration_.present() == applied_revision_) {
        return;
    }
    applied_revision_ = configuration_.present();
    state_.configuration = configuration_.document();
    report_unknown_regions(out);
    members_.set_revision(applied_revision_);
    limiter_.configure(now, state_.configuration->organisations, applied_revision_, out.common);
}

/// Logs each name in `allowed_regions` that is no region, once while it is in the configuration.
void session_proxy::report_unknown_regions(proxy_output& out) {
    const auto problems = unknown_regions(*state_.configuration, state_.regions);
    const auto before =
        std::exchange(reported_regions_, std::set<std::string>{problems.begin(), problems.end()});
    for (const auto& problem : reported_regions_) {
        if (!before.contains(problem)) {
            log(out.common, "regions", log_level::warning, problem);
        }
    }
}

void session_proxy::apply_membership(time_point now, proxy_output& out) {
    if (members_.version() == fleet_version_) {
        return;
    }
    fleet_version_ = members_.version();
    const auto before = std::exchange(state_.live, members_.live());
    state_.fleet_version = fleet_version_;
    for (const auto& vm : before) {
        if (vm.vm != settings_.self.vm && state_.find_vm(vm.vm) == nullptr) {
            handle_vm_loss(vm.vm, out);
        }
    }
    for (const auto& [backend, entry] : state_.directory.entries()) {
        if (!forwarder_.owns(backend)) {
            backends_.close_idle(backend, out);
        }
    }
    configuration_.on_membership(now, state_.live, out.common);
    const auto gone = members_.gone();
    limiter_.set_fleet(now, state_.live, std::set<vm_id>{gone.begin(), gone.end()}, out.common);
    std::vector<vm_entry> staying;
    std::copy_if(state_.live.begin(), state_.live.end(), std::back_inserter(staying),
                 [](const vm_entry& vm) { return vm.state == vm_state::live; });
    // Uses the ranking of the registry readers, so that the coordinator is one of them.
    const auto ranked = rank_vms(group_observer::task, staying);
    const auto own_rank = std::find(ranked.begin(), ranked.end(), settings_.self.vm);
    coordinator_rank_ = static_cast<std::size_t>(own_rank - ranked.begin());
    log(out.common, "fleet", log_level::info,
        "version=" + std::to_string(fleet_version_) +
            " live=" + std::to_string(state_.live.size()) + " gone=" + std::to_string(gone.size()));
}

bool session_proxy::ready() const noexcept {
    return !leaving_ && state_.configuration != nullptr && state_.directory.known() &&
           state_.evacuations.known();
}

void session_proxy::report_readiness(proxy_output& out) {
    if (ready() == reported_ready_) {
        return;
    }
    reported_ready_ = ready();
    log(out.common, "proxy", log_level::info,
        std::string{"ready="} + (reported_ready_ ? "1" : "0") +
            " revision=" + std::to_string(applied_revision_.value()));
}

void session_proxy::finish_leaving(time_point now, proxy_output& out) {
    if (stopped_ || !executor_.left(now)) {
        return;
    }
    if (!limiter_.left() && now < leave_started_ + share_return_timeout) {
        return;
    }
    if (owner_.busy() && now < executor_.exit_time()) {
        return; // The end of this process would cut statements of callers at other VMs.
    }
    stopped_ = true;
    executor_.close();
    log(out.common, "proxy", log_level::info,
        "stopped after_ms=" + std::to_string(to_milliseconds(now - leave_started_)) +
            " foreign_statements=" + (owner_.busy() ? "1" : "0"));
    observer_.leave(out);
    backends_.leave(out);
    out.common.emplace_back(stopped{});
}

admission session_proxy::admit(time_point now, const admission_request& request, actions& out) {
    if (!state_.configuration->organisations.contains(request.organisation)) {
        return {request.handle, admission_state::admitted, {error_kind::none, {}, {}}};
    }
    return limiter_.admit(now, request, out);
}

void session_proxy::withdraw(session_id session) {
    limiter_.withdraw(request_id{session.value()});
}

Json::Value session_proxy::describe() const {
    Json::Value json{Json::objectValue};
    json["vm"] = to_json(settings_.self);
    json["revision"] = to_json(applied_revision_);
    json["sessions"] = static_cast<Json::UInt64>(executor_.sessions());
    json["waiting"] = static_cast<Json::UInt64>(executor_.waiting());
    json["owned_statements"] = static_cast<Json::UInt64>(owner_.statements_running());
    json["backend_connections"] = static_cast<Json::UInt64>(backends_.size());
    json["limits"] = limiter_.describe();
    for (const auto& vm : state_.live) {
        json["fleet"].append(to_json(vm));
    }
    for (const auto& domain : state_.evacuations.last().domains) {
        json["evacuated_domains"].append(domain.str());
    }
    for (const auto& [group, leadership] : state_.leaderships) {
        auto& group_json = json["groups"][group.str()];
        group_json["term"] = to_json(leadership.term());
        group_json["primary"] = leadership.primary() ? leadership.primary()->str() : "";
    }
    return json;
}

void session_proxy::on(time_point now, const session_started& input, proxy_output& out) {
    executor_.on(now, input, out);
}

void session_proxy::on(time_point now, const statement_received& input, proxy_output& out) {
    executor_.on(now, input, out);
}

void session_proxy::on(time_point now, const session_broken& input, proxy_output& out) {
    executor_.on(now, input, out);
}

void session_proxy::on(time_point now, const session_closed& input, proxy_output& out) {
    executor_.on(now, input, out);
}

void session_proxy::on(time_point now, const server_connected& input, proxy_output& out) {
    if (!observer_.on_ready(now, input, out)) {
        backends_.on_ready(now, input, out);
    }
}

void session_proxy::on(time_point now, const server_disconnected& input, proxy_output& out) {
    if (!observer_.on_closed(now, input, out)) {
        backends_.on_closed(now, input, out);
    }
}

void session_proxy::on(time_point now, const server_replied& input, proxy_output& out) {
    if (!observer_.on_reply(now, input, out)) {
        backends_.on_reply(now, input, out);
    }
}

void session_proxy::on(time_point now, const promotion_answered& input, proxy_output& out) {
    coordinator_.on_promotion(now, input, out);
}

void session_proxy::on(time_point now, const store_answer& input, proxy_output& out) {
    if (input.status != store_status::unavailable) {
        members_.on_store_answered(now);
    }
    // These note the era in every answer, also in those to others.
    const bool registered = registration_.on_store(now, input);
    const bool limited = limiter_.on_store(now, input, out.common);
    if (!coordinator_lease_.on_store(now, input, out.common) && !registered && !limited &&
        !members_.on_store(now, input, out.common) &&
        !configuration_.on_store(now, input, out.common) && !observer_.on_store(now, input, out)) {
        log(out.common, "store", log_level::debug, "answer to a store request that was abandoned");
    }
}

void session_proxy::on(time_point now, const peer_received& input, proxy_output& out) {
    std::visit([&](const auto& message) { receive(now, input, message, out); }, input.message);
}

void session_proxy::on(time_point now, const peer_disconnected& input, proxy_output& out) {
    members_.on_disconnected(now, input.vm, out.common);
    handle_vm_loss(input.vm, out);
}

void session_proxy::on(time_point now, const stop_requested& /*input*/, proxy_output& out) {
    if (std::exchange(leaving_, true)) {
        return;
    }
    log(out.common, "proxy", log_level::info,
        "leaving sessions=" + std::to_string(executor_.sessions()));
    leave_started_ = now;
    coordinator_lease_.leave(out.common);
    registration_.leave(out.common);
    members_.leave(now, out.common);
    limiter_.leave(now, out.common);
    executor_.leave(now);
}

void session_proxy::on(time_point /*now*/, const timer_tick& /*input*/, proxy_output& /*out*/) {}

void session_proxy::receive(time_point now, const peer_received& from,
                            const membership_probe& message, proxy_output& out) {
    members_.on_probe(now, from.from, from.from_incarnation, message, out.common);
    configuration_.on_peer_revision(now, from.from, message.revision, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const configuration_announce& message, proxy_output& out) {
    configuration_.on_announce(now, from.from, message, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const configuration_pull& message, proxy_output& out) {
    configuration_.on_pull(now, from.from, message, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const configuration_request& message, proxy_output& out) {
    configuration_.on_request(now, from.from, message, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const configuration_part& message, proxy_output& out) {
    configuration_.on_part(now, from.from, message, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const configuration_difference& message, proxy_output& out) {
    configuration_.on_difference(now, from.from, message, out.common);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const observation_query& message, proxy_output& out) {
    observer_.on_query(now, from.from, message, out);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const observation_reply& message, proxy_output& out) {
    observer_.on_answer(now, from.from, message, out);
}

void session_proxy::receive(time_point now, const peer_received& from, const group_hold& message,
                            proxy_output& out) {
    state_.leadership(message.group).on_hold(now - message.age, message.term);
    log(out.common, "promotion", log_level::info,
        "hold group=" + message.group.str() + " term=" + std::to_string(message.term.value()) +
            " from=" + from.from.str());
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const forwarded_statement& message, proxy_output& out) {
    owner_.submit(now, from.from, message, out);
}

void session_proxy::receive(time_point now, const peer_received& from,
                            const attempt_result& message, proxy_output& out) {
    accept_result(now, from.from, message, out);
}

void session_proxy::receive(time_point now, const peer_received& from, const lease_release& message,
                            proxy_output& out) {
    owner_.release(now, from.from, message, out);
}

template <class Message>
void session_proxy::receive(time_point now, const peer_received& from, const Message& /*message*/,
                            proxy_output& out) {
    limiter_.on_peer(now, from.from, from.message, out.common);
}

} // namespace jackdawvane
