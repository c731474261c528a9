#include <utility>

#include "node_impl.hpp"

namespace jackdawvane::detail {

void node_impl::on(time_point now, const caller_request& request, actions& out) {
    executor_.on_caller(now, request, out);
}

void node_impl::on(time_point /*now*/, const caller_disconnected& gone, actions& /*out*/) {
    limiter_.withdraw(request_id{gone.caller.value()});
    executor_.on_caller_disconnected(gone.caller);
}

void node_impl::on(time_point now, const backend_connected& connected, actions& out) {
    owned_.on_connected(now, connected.connection, out);
}

void node_impl::on(time_point now, const backend_disconnected& disconnected, actions& out) {
    owned_.on_disconnected(now, disconnected.connection, disconnected.reason, out);
}

void node_impl::on(time_point now, const backend_answered& answered, actions& out) {
    owned_.on_answer(now, answered.connection, answered.answer, out);
}

void node_impl::on(time_point now, const store_answer& answer, actions& out) {
    if (answer.status != store_status::unavailable) {
        members_.on_store_answered(now);
    }
    if (members_.on_store(now, answer, out) || configuration_.on_store(now, answer, out) ||
        limiter_.on_store(now, answer, out)) {
        return;
    }
    log(out, "store", log_level::debug, "ignored an answer to an abandoned call");
}

void node_impl::on(time_point now, const peer_received& received, actions& out) {
    std::visit([&](const auto& message) { receive(now, received, message, out); },
               received.message);
}

void node_impl::on(time_point now, const peer_disconnected& disconnected, actions& out) {
    members_.on_disconnected(now, disconnected.vm, out);
    executor_.on_vm_lost(now, disconnected.vm, out);
}

void node_impl::on(time_point now, const stop_requested& /*request*/, actions& out) {
    begin_leaving(now, "stop requested", out);
}

void node_impl::on(time_point /*now*/, const timer_tick& /*tick*/, actions& /*out*/) {}

void node_impl::receive(time_point now, const peer_received& /*from*/, const group_report& message,
                        actions& out) {
    owned_.on_report(now, message, out);
}

void node_impl::receive(time_point /*now*/, const peer_received& /*from*/,
                        const group_summary& message, actions& /*out*/) {
    learn(message);
}

void node_impl::receive(time_point now, const peer_received& from, const forward_request& message,
                        actions& out) {
    owned_.submit(now, owner_request{message, from.from, now + message.remaining, now}, out);
}

void node_impl::receive(time_point now, const peer_received& /*from*/, const forward_reply& message,
                        actions& out) {
    executor_.on_reply(now, message, out);
}

void node_impl::receive(time_point now, const peer_received& from, const membership_probe& message,
                        actions& out) {
    members_.on_probe(now, from.from, from.from_incarnation, message, out);
    configuration_.on_peer_revision(now, from.from, message.revision, out);
}

void node_impl::receive(time_point now, const peer_received& from,
                        const configuration_announce& message, actions& out) {
    configuration_.on_announce(now, from.from, message, out);
}

void node_impl::receive(time_point now, const peer_received& from,
                        const configuration_pull& message, actions& out) {
    configuration_.on_pull(now, from.from, message, out);
}

void node_impl::receive(time_point now, const peer_received& from,
                        const configuration_request& message, actions& out) {
    configuration_.on_request(now, from.from, message, out);
}

void node_impl::receive(time_point now, const peer_received& from,
                        const configuration_part& message, actions& out) {
    configuration_.on_part(now, from.from, message, out);
}

void node_impl::receive(time_point now, const peer_received& from,
                        const configuration_difference& message, actions& out) {
    configuration_.on_difference(now, from.from, message, out);
}

template <class Message>
void node_impl::receive(time_point now, const peer_received& from, const Message& /*message*/,
                        actions& out) {
    limiter_.on_peer(now, from.from, from.message, out);
}

const configuration_document* node_impl::configuration() const {
    return configuration_.document().get();
}

result<organisation_id> node_impl::authenticate(const std::string& key) const {
    return keys_.authenticate(key);
}

bool node_impl::isolated(time_point now) const {
    return members_.isolated(now);
}

admission node_impl::admit(time_point now, caller_id caller, const organisation_id& organisation,
                           time_point deadline, actions& out) {
    return limiter_.admit(now, organisation, request_id{caller.value()}, deadline, out);
}

std::vector<backend_server_id> node_impl::plan(time_point now, const routing_query& query) {
    const auto row = query.pool.groups.find(query.group);
    if (row == query.pool.groups.end()) {
        return {};
    }
    if (const auto own = owned_.summary(now, query.group)) {
        learn(*own);
    }
    const auto known = groups_.find(query.group);
    const routing_request request{query.mode, query.partition,
                                  known == groups_.end() ? backend_server_id{}
                                                         : known->second.primary};
    return router_.candidates(row->second, request, {}, now);
}

void node_impl::avoid(time_point now, const backend_server_id& backend, routing_failure failure) {
    router_.avoid(backend, failure, now);
}

group_id node_impl::choose_group(const pool_row& pool, const std::string& partition) const {
    return jackdawvane::choose_group(pool, partition);
}

std::optional<vm_id> node_impl::forward(time_point now, const forward_request& request,
                                        const vm_id* owner, actions& out) {
    const auto* vm = owner == nullptr ? owned_.owner(request.backend) : find_vm(*owner);
    if (vm == nullptr || !is_live(vm->vm)) {
        return std::nullopt;
    }
    if (vm->vm == settings_.self.vm) {
        local_requests_.push_back({request, vm->vm, now + request.remaining, now});
    } else {
        send(*vm, request, out);
    }
    return vm->vm;
}

void node_impl::learn(const group_summary& summary) {
    if (summary.primary.empty()) {
        return;
    }
    auto& known = groups_[summary.group];
    if (summary.term >= known.term) {
        known = summary;
    }
}

} // namespace jackdawvane::detail
