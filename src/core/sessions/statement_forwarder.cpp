#include "jackdawvane/sessions/statement_forwarder.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

statement_forwarder::statement_forwarder(fleet_state& state, connection_owner& owner,
                                         forwarder_settings settings,
                                         id_sequence<connection_id>& ids)
    : state_{state}, owner_{owner}, settings_{settings}, ids_{ids}, health_{settings.health} {}

std::optional<vm_id> statement_forwarder::owner_for(time_point now,
                                                    const backend_server_id& backend,
                                                    const region_policy& regions) {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return {};
    }
    std::erase_if(unreachable_,
                  [&](const auto& each) { return now - each.second > settings_.unreachable_ttl; });
    const bool reachable_by_all =
        std::none_of(unreachable_.begin(), unreachable_.end(),
                     [&](const auto& each) { return each.first.second == backend; });
    const auto may_have_text = [&](const vm_entry& vm) {
        return regions.may_have_text(vm.place.region, state_.self.place.region);
    };
    if (reachable_by_all) {
        auto owner = default_owner(backend, *entry);
        const auto* vm = owner ? state_.find_vm(*owner) : nullptr;
        if (vm == nullptr || may_have_text(*vm)) {
            return owner;
        }
    }
    std::vector<vm_entry> candidates;
    std::copy_if(state_.live.begin(), state_.live.end(), std::back_inserter(candidates),
                 [&](const vm_entry& vm) {
                     return may_have_text(vm) && !unreachable_.contains({vm.vm, backend});
                 });
    return owner_of(backend, location_of(*entry), candidates);
}

location statement_forwarder::location_of(const backend_directory::entry& backend) const {
    return {state_.region_of(backend.registration.domain), backend.registration.domain};
}

/// Owner by rendezvous hashing over all live VMs, cached for each version of the fleet.
std::optional<vm_id>
statement_forwarder::default_owner(const backend_server_id& backend,
                                   const backend_directory::entry& entry) const {
    if (owners_version_ != state_.fleet_version) {
        owners_version_ = state_.fleet_version;
        owners_.clear();
    }
    const auto place = location_of(entry);
    auto& cached = owners_[backend];
    if (!cached.owner || cached.place != place) {
        cached = {place, owner_of(backend, place, state_.live)};
    }
    return cached.owner;
}

bool statement_forwarder::owns(const backend_server_id& backend) const {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return false;
    }
    return default_owner(backend, *entry) == state_.self.vm;
}

bool statement_forwarder::open(time_point now, const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    return found == loads_.end() || now >= found->second.busy_until;
}

std::optional<connection_id> statement_forwarder::acquire(time_point now,
                                                          const backend_server_id& backend,
                                                          const region_policy& regions) {
    const auto owner = owner_for(now, backend, regions);
    if (!owner) {
        return {};
    }
    const auto id = ids_.next();
    const auto usual = default_owner(backend, *state_.directory.find(backend));
    const auto* usual_vm = usual && usual != owner ? state_.find_vm(*usual) : nullptr;
    leases_[id] = {*owner, backend,
                   usual_vm != nullptr &&
                       !regions.may_have_text(usual_vm->place.region, state_.self.place.region)};
    return id;
}

void statement_forwarder::send(time_point now, forwarded_statement statement, proxy_output& out) {
    const auto found = leases_.find(statement.lease);
    attempts_[statement.attempt] = {statement.lease, now,
                                    found == leases_.end() ? vm_id{} : found->second.owner,
                                    statement.backend};
    ++loads_[statement.backend].running;
    ++loads_[statement.backend].sent_since;
    if (found == leases_.end()) {
        // The VM that owned the connection is gone, so the transaction is lost.
        attempt_result lost;
        lost.attempt = statement.attempt;
        lost.lease = statement.lease;
        lost.backend = statement.backend;
        accept_result(now, lost);
        return;
    }
    const auto& held = found->second;
    if (held.restricted) {
        count(out.common, "region_restricted_forwards_total");
        log(out.common, "regions", log_level::debug,
            "usual owner passed over request=" + statement.main.id.str() +
                " backend=" + held.backend.str() + " owner=" + held.owner.str());
    }
    if (held.owner == state_.self.vm) {
        owner_.submit(now, state_.self.vm, std::move(statement), out);
        return;
    }
    const auto* vm = state_.find_vm(held.owner);
    if (vm == nullptr) {
        attempt_result lost;
        lost.attempt = statement.attempt;
        lost.lease = statement.lease;
        lost.backend = held.backend;
        lost.unreachable = true;
        accept_result(now, lost);
        return;
    }
    out.common.emplace_back(
        send_to_peer{vm->vm, vm->peer, peer_channel::stream, std::move(statement)});
}

void statement_forwarder::send_release(time_point now, const lease_release& release,
                                       const vm_id& owner, proxy_output& out) {
    if (owner == state_.self.vm) {
        owner_.release(now, owner, release, out);
    } else if (const auto* vm = state_.find_vm(owner)) {
        out.common.emplace_back(send_to_peer{vm->vm, vm->peer, peer_channel::stream, release});
    }
}

void statement_forwarder::release(time_point now, connection_id lease, bool in_transaction,
                                  proxy_output& out) {
    const auto found = leases_.find(lease);
    if (found != leases_.end()) {
        const auto held = found->second;
        leases_.erase(found);
        send_release(now, {lease, held.backend, in_transaction, false}, held.owner, out);
    }
}

void statement_forwarder::discard(time_point now, connection_id lease, proxy_output& out) {
    const auto found = leases_.find(lease);
    if (found != leases_.end()) {
        const auto held = found->second;
        leases_.erase(found);
        for (auto it = attempts_.begin(); it != attempts_.end();) {
            it = it->second.lease == lease ? end_attempt(it) : std::next(it);
        }
        send_release(now, {lease, held.backend, false, true}, held.owner, out);
    }
}

void statement_forwarder::measure(time_point now, const sent_attempt& answered) {
    auto& load = loads_[answered.backend];
    const auto elapsed = now - answered.sent;
    const bool first =
        load.measured == time_point::min() || now - load.measured > settings_.latency_ttl;
    load.mean = first ? elapsed : load.mean + (elapsed - load.mean) / settings_.latency_divisor;
    load.measured = now;
}

statement_forwarder::attempt_table::iterator
statement_forwarder::end_attempt(attempt_table::iterator attempt) {
    const auto& ended = attempt->second;
    auto& load = loads_[ended.backend];
    load.running -= std::min(load.running, 1U);
    if (ended.sent >= load.reported_at) {
        load.sent_since -= std::min(load.sent_since, 1U);
    }
    return attempts_.erase(attempt);
}

bool statement_forwarder::on_result(time_point now, const vm_id& from,
                                    const attempt_result& result) {
    const auto sent = attempts_.find(result.attempt);
    if (sent == attempts_.end() || sent->second.owner != from ||
        sent->second.lease != result.lease || sent->second.backend != result.backend) {
        return false;
    }
    accept_result(now, result);
    return true;
}

void statement_forwarder::accept_result(time_point now, const attempt_result& result) {
    const auto attempt = attempts_.find(result.attempt);
    const auto sent_at = attempt->second.sent;
    const auto lease = leases_.find(result.lease);
    if (result.unreachable && lease != leases_.end()) {
        unreachable_[{lease->second.owner, result.backend}] = now;
    }
    const bool refused = result.answered && !result.sent;
    if (refused || result.reply.problem == statement_error::busy ||
        result.reply.problem == statement_error::too_many_connections) {
        if (result.reply.problem != statement_error::lagging) {
            loads_[result.backend].busy_until = now + settings_.busy_backoff;
        }
    }
    if (result.answered && result.reply.position) {
        if (const auto* entry = state_.directory.find(result.backend)) {
            state_.leadership(entry->registration.group)
                .on_position(sent_at, result.backend, *result.reply.position);
        }
    }
    if (result.answered && result.sent) {
        measure(now, attempt->second);
    }
    end_attempt(attempt);
    keep_load(now, result);
    note_outcome(now, sent_at, result);
    if (!result.answered) {
        leases_.erase(result.lease);
    }
    results_.push_back(result);
}

void statement_forwarder::keep_load(time_point now, const attempt_result& result) {
    if (result.load) {
        auto& load = loads_[result.backend];
        load.reported = result.load;
        load.reported_at = now;
        load.sent_since = 0;
    }
}

/// A refusal says nothing about the server's health, nor does a VM that can't reach it.
void statement_forwarder::note_outcome(time_point now, time_point sent,
                                       const attempt_result& result) {
    if (!result.sent || result.unreachable) {
        return;
    }
    const auto problem = result.reply.problem;
    const bool failed = !result.answered || problem == statement_error::failed ||
                        problem == statement_error::timeout;
    if (failed || problem == statement_error::none) {
        health_.on_outcome(now, sent, result.backend, failed);
    }
}

void statement_forwarder::on_vm_lost(const vm_id& vm) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        const auto& [attempt, sent] = *it;
        if (sent.owner != vm) {
            ++it;
            continue;
        }
        if (leases_.contains(sent.lease)) { // Else the statement has ended and awaits no result.
            attempt_result lost;
            lost.attempt = attempt;
            lost.lease = sent.lease;
            lost.backend = sent.backend;
            lost.sent = true;
            results_.push_back(std::move(lost));
        }
        it = end_attempt(it);
    }
    std::erase_if(leases_, [&](const auto& each) { return each.second.owner == vm; });
}

std::vector<attempt_result> statement_forwarder::take_results() {
    return std::exchange(results_, {});
}

std::uint32_t statement_forwarder::running(const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    return found == loads_.end() ? 0 : found->second.running;
}

std::optional<duration> statement_forwarder::latency(time_point now,
                                                     const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    if (found == loads_.end() || found->second.measured == time_point::min() ||
        now - found->second.measured > settings_.latency_ttl) {
        return {};
    }
    return found->second.mean;
}

std::optional<load_report> statement_forwarder::report(time_point now,
                                                       const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    if (found == loads_.end() || !found->second.reported ||
        now - found->second.reported_at > settings_.report_ttl) {
        return {};
    }
    const auto& load = found->second;
    return load_report{*load.reported, now - load.reported_at, load.sent_since};
}

duration statement_forwarder::evidence_age(time_point now, const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    if (found == loads_.end()) {
        return duration::max();
    }
    if (found->second.running > 0) {
        return duration{0}; // The unanswered statements are evidence of the load.
    }
    const auto newest = std::max(found->second.measured, found->second.reported_at);
    return newest == time_point::min() ? duration::max() : now - newest;
}

} // namespace jackdawvane
