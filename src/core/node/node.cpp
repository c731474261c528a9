#include <utility>

#include <algorithm>
#include <functional>
#include <set>

#include "node_impl.hpp"

namespace jackdawvane {

std::unique_ptr<node_interface> make_node(const node_settings& settings) {
    return std::make_unique<detail::node_impl>(settings);
}

} // namespace jackdawvane

namespace jackdawvane::detail {

namespace {

owned_backends_settings owned_settings(const node_settings& settings) {
    owned_backends_settings owned;
    owned.self = settings.self.vm;
    owned.incarnation = settings.incarnation;
    owned.place = settings.self.place;
    owned.monitor.status_wait = settings.status_wait;
    owned.monitor.answer_timeout = settings.probe_timeout;
    owned.monitor.rank_delay = settings.promotion_rank_delay;
    return owned;
}

rate_limiter_settings limiter_settings(const node_settings& settings) {
    rate_limiter_settings limits;
    limits.pending = settings.token_wait;
    limits.lease = settings.lease_duration;
    limits.lease_renewal = settings.lease_renewal;
    limits.holders_per_domain = static_cast<std::uint32_t>(settings.holders_per_domain);
    return limits;
}

membership_settings fleet_settings(const node_settings& settings) {
    membership_settings fleet;
    fleet.self = settings.self;
    fleet.incarnation = settings.incarnation;
    fleet.seeds = settings.seeds;
    return fleet;
}

/// Maximum wait for the store to accept the returned shares of a VM that is otherwise drained. A
/// store outage must not delay a shutdown, and the shares of a stopped VM are reclaimed anyway.
constexpr duration share_return_timeout = std::chrono::seconds{3};

configuration_replica_settings replica_settings(const node_settings& settings) {
    configuration_replica_settings replica;
    replica.self = settings.self.vm;
    replica.domain = settings.self.place.domain;
    return replica;
}

} // namespace

node_impl::node_impl(const node_settings& settings)
    : settings_{settings}, random_{settings.random_seed}, members_{fleet_settings(settings),
                                                                   request_ids_, random_},
      configuration_{replica_settings(settings), request_ids_, random_},
      limiter_{settings.self.vm,           settings.incarnation, settings.self.place,
               limiter_settings(settings), request_ids_,         random_},
      router_{settings.self.place}, owned_{owned_settings(settings), random_,
                                           node_id_sequences{connection_ids_, request_ids_}},
      executor_{*this, request_ids_} {}

void node_impl::handle(time_point now, const event& what, actions& out) {
    now_ = now;
    const auto first_new = out.size();
    check_pause(now, out);
    std::visit([&](const auto& body) { on(now, body, out); }, what);
    run_due(now, out);
    settle(now, out);
    while (extract_self_messages(first_new, out)) {
        for (auto& message : std::exchange(self_messages_, {})) {
            on(now, message, out);
        }
        settle(now, out);
    }
}

bool node_impl::extract_self_messages(std::size_t first, actions& out) {
    const auto is_own = [this](const action& entry) {
        const auto* sent = std::get_if<send_to_peer>(&entry);
        return sent != nullptr && sent->vm == settings_.self.vm;
    };
    const auto begin = out.begin() + static_cast<std::ptrdiff_t>(first);
    const auto own = std::stable_partition(begin, out.end(), std::not_fn(is_own));
    for (auto it = own; it != out.end(); ++it) {
        self_messages_.push_back(peer_received{settings_.self.vm, settings_.incarnation,
                                               std::move(std::get<send_to_peer>(*it).message)});
    }
    out.erase(own, out.end());
    return !self_messages_.empty();
}

void node_impl::check_pause(time_point now, actions& out) {
    if (!members_.paused_since_last_event(now)) {
        return;
    }
    log(out, "node", log_level::warning,
        "this VM was paused; rechecking leases, shares and confirmations");
    limiter_.paused(now, out);
    owned_.paused(now, out);
}

void node_impl::run_due(time_point now, actions& out) {
    if (members_.next_deadline() <= now) {
        members_.tick(now, out);
    }
    if (configuration_.next_deadline() <= now) {
        configuration_.tick(now, out);
    }
    if (limiter_.next_deadline() <= now) {
        limiter_.tick(now, out);
    }
    if (owned_.next_deadline() <= now) {
        owned_.tick(now, out);
    }
    if (executor_.next_deadline() <= now) {
        executor_.tick(now, out);
    }
}

time_point node_impl::next_deadline() const {
    return std::min({members_.next_deadline(), configuration_.next_deadline(),
                     limiter_.next_deadline(), owned_.next_deadline(), executor_.next_deadline(),
                     leave_deadline_});
}

void node_impl::settle(time_point now, actions& out) {
    follow_configuration(now, out);
    follow_fleet(now, out);
    announce_primaries(now, out);
    bool progress = true;
    while (progress) {
        progress = deliver_admissions(now, out);
        progress = deliver_local(now, out) || progress;
        progress = deliver_replies(now, out) || progress;
    }
    if (leaving_) {
        finish_leaving(now, out);
    }
}

void node_impl::follow_configuration(time_point now, actions& out) {
    if (configuration_.present() == applied_revision_) {
        return;
    }
    applied_revision_ = configuration_.present();
    const auto& document = *configuration_.document();
    keys_ = key_registry{document};
    members_.set_revision(applied_revision_);
    limiter_.configure(now, document.organisations, applied_revision_, out);
    owned_.reconcile(now, document, members_.live(), out);
    log(out, "config", log_level::info,
        "revision " + std::to_string(applied_revision_.value()) + " in force");
    out.emplace_back(measurement{metric_kind::gauge, "configuration_revision", "", "",
                                 static_cast<double>(applied_revision_.value())});
}

void node_impl::follow_fleet(time_point now, actions& out) {
    if (members_.version() == fleet_version_) {
        return;
    }
    fleet_version_ = members_.version();
    auto before = std::exchange(fleet_, members_.live());
    configuration_.on_membership(now, fleet_, out);
    const auto gone = members_.gone();
    limiter_.set_fleet(now, fleet_, std::set<vm_id>{gone.begin(), gone.end()}, out);
    if (const auto* document = configuration()) {
        owned_.reconcile(now, *document, fleet_, out);
    }
    for (const auto& vm : before) {
        if (!is_live(vm.vm)) {
            executor_.on_vm_lost(now, vm.vm, out);
        }
    }
    if (members_.listed_as_leaving()) {
        begin_leaving(now, "the platform lists this VM as leaving", out);
    }
}

void node_impl::announce_primaries(time_point now, actions& out) {
    // Otherwise an entry VM that owns no backend server of the group would keep sending writes to
    // an isolated primary, where they would wait until their deadline.
    for (const auto& summary : owned_.own_primaries(now)) {
        auto& announced = announced_[summary.group];
        if (summary.term <= announced) {
            continue;
        }
        announced = summary.term;
        for (const auto& vm : fleet_) {
            if (vm.vm != settings_.self.vm) {
                send(vm, summary, out);
            }
        }
    }
}

bool node_impl::deliver_admissions(time_point now, actions& out) {
    const auto decisions = limiter_.take_decisions();
    for (const auto& decision : decisions) {
        executor_.on_admission(now, caller_id{decision.handle.value()}, decision, out);
    }
    return !decisions.empty();
}

bool node_impl::deliver_local(time_point now, actions& out) {
    auto requests = std::exchange(local_requests_, {});
    for (auto& request : requests) {
        owned_.submit(now, std::move(request), out);
    }
    return !requests.empty();
}

bool node_impl::deliver_replies(time_point now, actions& out) {
    const auto replies = owned_.take_replies();
    for (const auto& reply : replies) {
        if (reply.to == settings_.self.vm) {
            executor_.on_reply(now, reply.reply, out);
        } else if (const auto* vm = find_vm(reply.to)) {
            send(*vm, reply.reply, out);
        }
    }
    return !replies.empty();
}

void node_impl::begin_leaving(time_point now, const std::string& reason, actions& out) {
    if (leaving_) {
        return;
    }
    leaving_ = true;
    leave_started_ = now;
    leave_deadline_ = now + settings_.drain_timeout;
    log(out, "node", log_level::info, "leaving: " + reason);
    members_.leave(now, out);
    executor_.leave();
    limiter_.leave(now, out);
    owned_.retire_all(now, out);
}

void node_impl::finish_leaving(time_point now, actions& out) {
    const bool shares_settled = limiter_.left() || now >= leave_started_ + share_return_timeout;
    const bool drained = executor_.pending() == 0 && owned_.idle() && shares_settled;
    if (stopped_ || (!drained && now < leave_deadline_)) {
        return;
    }
    stopped_ = true;
    leave_deadline_ = no_deadline;
    log(out, "node", drained ? log_level::info : log_level::warning,
        drained ? "left with no pending work" : "left with pending work after the drain timeout");
    out.emplace_back(stopped{});
}

void node_impl::send(const vm_entry& to, peer_message message, actions& out) const {
    out.emplace_back(send_to_peer{to.vm, to.peer, peer_channel::stream, std::move(message)});
}

bool node_impl::is_live(const vm_id& vm) const {
    return std::any_of(fleet_.begin(), fleet_.end(),
                       [&](const vm_entry& entry) { return entry.vm == vm; });
}

const vm_entry* node_impl::find_vm(const vm_id& vm) const {
    return members_.entry_of(vm);
}

bool node_impl::ready() const {
    return configuration() != nullptr && !leaving_;
}

Json::Value node_impl::describe() const {
    Json::Value json{Json::objectValue};
    json["vm"] = to_json(settings_.self);
    json["incarnation"] = to_json(settings_.incarnation);
    json["revision"] = to_json(applied_revision_);
    json["leaving"] = leaving_;
    json["pending_requests"] = static_cast<Json::UInt64>(executor_.pending());
    for (const auto& vm : fleet_) {
        auto entry = to_json(vm);
        const auto held =
            vm.vm == settings_.self.vm ? applied_revision_ : members_.config_revision_of(vm.vm);
        entry["revision"] = to_json(held);
        json["fleet"].append(std::move(entry));
    }
    json["backend_servers"] = owned_.describe(now_);
    json["limits"] = limiter_.describe();
    for (const auto& [group, summary] : groups_) {
        json["groups"][group.str()] = to_json(summary);
    }
    if (const auto* document = configuration()) {
        for (const auto& [pool, row] : document->pools) {
            for (const auto& [group, group_row] : row.groups) {
                for (const auto& [backend, backend_row] : group_row.backend_servers) {
                    const auto* vm = owned_.owner(backend);
                    json["owners"][backend.str()] = vm == nullptr ? "" : vm->vm.str();
                }
            }
        }
    }
    return json;
}

} // namespace jackdawvane::detail
