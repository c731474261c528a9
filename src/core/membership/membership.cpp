#include "jackdawvane/membership/membership.hpp"

#include <utility>

#include <algorithm>
#include <cmath>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "membership";

/// Well below `pause_threshold`, so that a late tick is not taken for a pause.
constexpr duration max_tick_interval = std::chrono::milliseconds{250};

/// Interval of pings to suspects, seeds and failure domains without recent contact.
constexpr duration check_interval = std::chrono::milliseconds{400};

/// Time without a message from another failure domain after which one is pinged out of turn.
constexpr duration other_domain_silence = std::chrono::seconds{2};

/// Time after which the acknowledgement of a relayed probe is no longer forwarded.
constexpr duration relay_timeout = std::chrono::seconds{1};

/// Number of VMs that are told of a departure at once; gossip informs the others.
constexpr std::size_t departure_receivers = 16;

const char* text_of(member_health health) {
    for (const auto& [value, name] : enum_names<member_health>::table) {
        if (value == health) {
            return name;
        }
    }
    return "";
}

} // namespace

membership::membership(membership_settings settings, id_sequence<request_id>& ids,
                       random_engine& random)
    : settings_{std::move(settings)}, ids_{ids}, random_{random}, table_{settings_.self,
                                                                         settings_.incarnation},
      live_{table_.live()}, list_back_off_{settings_.retry_floor} {
    delegate_rank_ = find_delegate_rank();
}

void membership::start(time_point now, actions& out) {
    started_ = last_event_ = store_answered_at_ = other_domain_heard_at_ = next_check_ =
        list_due_at_ = now;
    next_probe_ = now;
    read_list(now, duration{0}, out);
}

bool membership::paused_since_last_event(time_point now) {
    const bool paused = started_ && now - last_event_ > settings_.pause_threshold;
    last_event_ = std::max(last_event_, now);
    if (paused) {
        probes_.clear();
        relays_.clear();
        for (const auto& vm : suspects_) {
            table_.find(vm)->suspect_until = now + scaled_suspicion_timeout();
        }
        next_probe_ = now;
    }
    return paused;
}

void membership::note_event(time_point now) {
    (void)paused_since_last_event(now);
}

void membership::tick(time_point now, actions& out) {
    if (!started_) {
        start(now, out);
    }
    note_event(now);
    check_probes(now, out);
    check_suspects(now, out);
    if (now >= next_probe_) {
        probe_next(now, out);
    }
    if (now >= next_gossip_) {
        gossip(now, out);
    }
    if (now >= next_check_) {
        next_check_ = now + check_interval;
        ping_suspects(now, out);
        probe_other_domains(now, out);
        probe_seeds(out);
    }
    poll_list(now, out);
    refresh(now, out);
}

time_point membership::next_deadline() const {
    if (!started_) {
        return time_point::min();
    }
    auto due = std::min({last_event_ + max_tick_interval, next_probe_, next_gossip_, next_check_});
    if (changed_) {
        due = std::min(due, refreshed_at_ + settings_.change_interval);
    }
    for (const auto& [sequence, probe] : probes_) {
        const auto wait = probe.indirect_sent || !probe.raises_suspicion
                              ? settings_.probe_timeout
                              : settings_.indirect_probe_delay;
        due = std::min(due, probe.sent + wait);
    }
    for (const auto& vm : suspects_) {
        due = std::min(due, table_.find(vm)->suspect_until);
    }
    return due;
}

duration membership::scaled_suspicion_timeout() const {
    const auto size = static_cast<double>(live_.size() + 1);
    const auto factor = std::max(1.0, std::log10(size));
    return duration{static_cast<duration::rep>(
        factor * static_cast<double>(settings_.suspicion_timeout.count()))};
}

void membership::on_probe(time_point now, const vm_id& from, vm_incarnation from_incarnation,
                          const membership_probe& probe, actions& out) {
    if (from == settings_.self.vm) {
        return;
    }
    if (!started_) {
        start(now, out);
    }
    note_event(now);
    apply_updates(now, probe.updates, out);
    const auto observed = table_.observe_incarnation(now, from, from_incarnation);
    auto* const record = table_.find(from);
    if (record == nullptr || observed == merge_result::stale) {
        refresh(now, out);
        return;
    }
    if (observed == merge_result::changed) {
        changed_ = true;
        queue_update(*record);
    }
    record->configuration = probe.revision;
    if (record->entry.place.domain != settings_.self.place.domain) {
        other_domain_heard_at_ = now;
    }
    if (probe.store_age && now - *probe.store_age > store_answered_at_) {
        store_answered_at_ = now - *probe.store_age;
    }
    switch (probe.kind) {
    case probe_kind::ping:
        on_ping(now, from, probe, out);
        break;
    case probe_kind::ping_request:
        on_ping_request(now, from, probe, out);
        break;
    case probe_kind::ack:
        on_ack(from, probe, out);
        break;
    }
    refresh(now, out);
}

void membership::on_ping(time_point now, const vm_id& from, const membership_probe& probe,
                         actions& out) {
    membership_probe ack;
    ack.kind = probe_kind::ack;
    ack.sequence = probe.sequence;
    ack.target = settings_.self.vm;
    send(now, from, std::move(ack), out);
}

void membership::on_ping_request(time_point now, const vm_id& from, const membership_probe& probe,
                                 actions& out) {
    if (table_.find(probe.target) == nullptr || probe.target == settings_.self.vm) {
        return;
    }
    relays_[++sequence_] = {from, probe.sequence, now};
    membership_probe forwarded;
    forwarded.sequence = sequence_;
    forwarded.target = probe.target;
    send(now, probe.target, std::move(forwarded), out);
}

void membership::on_ack(const vm_id& from, const membership_probe& probe, actions& out) {
    if (const auto relay = relays_.find(probe.sequence);
        relay != relays_.end() && probe.target == from) {
        membership_probe passed_on;
        passed_on.kind = probe_kind::ack;
        passed_on.sequence = relay->second.sequence;
        passed_on.target = from;
        const auto requester = relay->second.requester;
        relays_.erase(relay);
        send(last_event_, requester, std::move(passed_on), out);
        return;
    }
    const auto open = probes_.find(probe.sequence);
    if (open == probes_.end() || open->second.target != probe.target) {
        return;
    }
    if (probe.target == from) {
        table_.find(from)->acknowledged_self_version = open->second.self_version;
    }
    probes_.erase(open);
}

void membership::on_disconnected(time_point now, const vm_id& vm, actions& out) {
    note_event(now);
    const auto* const record = table_.find(vm);
    if (record != nullptr && record->is_up() && vm != settings_.self.vm) {
        ping(now, vm, true, out);
    }
}

void membership::leave(time_point now, actions& out) {
    note_event(now);
    table_.leave_self();
    changed_ = true;
    log(out, log_component, log_level::info, "leaving the fleet, announcing it to other VMs");
    queue_update(table_.self());
    const auto receivers = choose(departure_receivers, [](const member_record& record) {
        return record.health != member_health::dead;
    });
    for (const auto& vm : receivers) {
        ping(now, vm, false, out);
    }
    refresh(now, out);
}

vm_id membership::next_target() {
    while (!probe_order_.empty()) {
        auto vm = probe_order_.back();
        probe_order_.pop_back();
        const auto* const record = table_.find(vm);
        if (record != nullptr && record->is_up()) {
            return vm;
        }
    }
    probe_order_ =
        choose(table_.records().size(), [](const member_record& record) { return record.is_up(); });
    if (probe_order_.empty()) {
        return vm_id{};
    }
    auto vm = probe_order_.back();
    probe_order_.pop_back();
    return vm;
}

void membership::probe_next(time_point now, actions& out) {
    const bool joining = now - *started_ < settings_.join_duration;
    next_probe_ = now + (joining ? settings_.join_probe_period : settings_.probe_period);
    std::erase_if(relays_,
                  [now](const auto& relay) { return now - relay.second.sent > relay_timeout; });
    if (const auto target = next_target(); !target.empty()) {
        ping(now, target, true, out);
    }
    reprobe_dead(now, out);
}

/// Pings one dead VM, because after a partition no other VM may be probing it.
void membership::reprobe_dead(time_point now, actions& out) {
    const auto lost = choose(1, [](const member_record& record) {
        return record.health == member_health::dead && (record.listed || !record.was_listed);
    });
    for (const auto& vm : lost) {
        ping(now, vm, false, out);
    }
}

void membership::probe_seeds(actions& out) {
    if (live_.size() > 1) {
        return;
    }
    for (const auto& seed : settings_.seeds) {
        if (seed != settings_.self.peer) {
            membership_probe message;
            message.revision = revision_;
            message.updates = {table_.update_about(table_.self())};
            out.emplace_back(send_to_peer{vm_id{}, seed, peer_channel::datagram, message});
        }
    }
}

void membership::ping(time_point now, const vm_id& target, bool raises_suspicion, actions& out) {
    probes_[++sequence_] = {target, now, false, raises_suspicion, table_.self_version()};
    membership_probe message;
    message.sequence = sequence_;
    message.target = target;
    send(now, target, std::move(message), out);
}

void membership::check_probes(time_point now, actions& out) {
    std::vector<vm_id> failed;
    for (auto probe = probes_.begin(); probe != probes_.end();) {
        auto& [sequence, open] = *probe;
        if (now - open.sent >= settings_.probe_timeout) {
            if (open.raises_suspicion) {
                failed.push_back(open.target);
            }
            probe = probes_.erase(probe);
            continue;
        }
        const bool due = now - open.sent >= settings_.indirect_probe_delay;
        if (due && open.raises_suspicion && !open.indirect_sent) {
            open.indirect_sent = true;
            request_indirect_probes(open.target, sequence, out);
        }
        ++probe;
    }
    for (const auto& vm : failed) {
        probe_failed(now, vm, out);
    }
}

void membership::request_indirect_probes(const vm_id& target, std::uint64_t sequence,
                                         actions& out) {
    const auto helpers = choose(settings_.indirect_probes, [&](const member_record& record) {
        return record.health == member_health::alive && record.is_up() && record.entry.vm != target;
    });
    for (const auto& helper : helpers) {
        membership_probe request;
        request.kind = probe_kind::ping_request;
        request.sequence = sequence;
        request.target = target;
        send(last_event_, helper, std::move(request), out);
    }
}

void membership::probe_failed(time_point now, const vm_id& target, actions& out) {
    auto* const record = table_.find(target);
    if (record == nullptr || !record->is_up() || record->health == member_health::suspect) {
        return;
    }
    const bool announced = record->health == member_health::left;
    table_.set_health(*record, announced ? member_health::dead : member_health::suspect);
    changed_ = true;
    if (!announced) {
        record->own_suspicion = true;
        record->suspect_until = now + scaled_suspicion_timeout();
        suspects_.insert(target);
        ping(now, target, false, out);
    }
    log(out, log_component, log_level::info,
        target.str() + " does not answer, now " + text_of(record->health));
    queue_update(*record);
}

void membership::check_suspects(time_point now, actions& out) {
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        auto& record = *table_.find(*suspect);
        if (record.health != member_health::suspect) {
            suspect = suspects_.erase(suspect);
            continue;
        }
        if (now >= record.suspect_until) {
            table_.set_health(record, member_health::dead);
            log(out, log_component, log_level::warning, suspect->str() + " is dead");
            changed_ = true;
            queue_update(record);
            suspect = suspects_.erase(suspect);
            continue;
        }
        ++suspect;
    }
}

/// Pings suspects repeatedly, so that they can refute even if datagrams are lost.
void membership::ping_suspects(time_point now, actions& out) {
    for (const auto& vm : suspects_) {
        if (table_.find(vm)->own_suspicion) {
            ping(now, vm, false, out);
        }
    }
}

void membership::probe_other_domains(time_point now, actions& out) {
    if (now - other_domain_heard_at_ < other_domain_silence) {
        return;
    }
    const auto foreign = choose(1, [this](const member_record& record) {
        return record.entry.place.domain != settings_.self.place.domain &&
               (record.listed || record.incarnation.value() > 0);
    });
    for (const auto& vm : foreign) {
        ping(now, vm, false, out);
    }
}

} // namespace jackdawvane
