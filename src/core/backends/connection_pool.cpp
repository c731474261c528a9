#include "jackdawvane/backends/connection_pool.hpp"

#include <utility>

#include <algorithm>
#include <string>
#include <vector>

namespace jackdawvane {

connection_pool::connection_pool(backend_server_id backend, id_sequence<connection_id>& connections,
                                 id_sequence<request_id>& requests,
                                 connection_pool_settings settings)
    : backend_{std::move(backend)}, connection_ids_{connections},
      request_ids_{requests}, settings_{settings} {}

void connection_pool::configure(const endpoint& where, std::uint32_t connection_limit,
                                std::uint32_t slots) {
    endpoint_ = where;
    connection_limit_ = connection_limit;
    slots_ = slots;
}

std::size_t connection_pool::limit() const noexcept {
    if (connection_limit_ <= reserved_connections) {
        return 0;
    }
    const std::size_t usable = connection_limit_ - reserved_connections;
    const std::size_t left = usable > other_connections_ ? usable - other_connections_ : 0;
    return std::min(usable / 2, left);
}

void connection_pool::on_connection_count(std::uint32_t open_connections) noexcept {
    // The owner's status connection is part of the reserve.
    const std::size_t own = connections_.size() - in_phase(state::connecting) + 1;
    other_connections_ = open_connections > own ? open_connections - own : 0;
}

std::size_t connection_pool::in_phase(state phase) const noexcept {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [phase](const auto& entry) { return entry.second.phase == phase; }));
}

std::size_t connection_pool::free() const noexcept {
    return in_phase(state::idle);
}

void connection_pool::grow(time_point now, std::size_t wanted, actions& out) {
    if (retired_ || now < retry_at_) {
        return;
    }
    auto available =
        in_phase(state::idle) + in_phase(state::connecting) + in_phase(state::checking);
    while (available < wanted && connections_.size() < limit()) {
        open_one(now, out);
        ++available;
    }
}

void connection_pool::open_one(time_point now, actions& out) {
    const auto id = connection_ids_.next();
    connections_.emplace(id, connection{state::connecting, now, now, {}});
    out.emplace_back(open_connection{id, backend_, endpoint_});
}

std::optional<connection_id> connection_pool::acquire() {
    // The most recently used connection is taken first, so that surplus ones stay idle and are
    // closed.
    auto best = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
        const bool better =
            best == connections_.end() || it->second.last_use > best->second.last_use;
        if (it->second.phase == state::idle && better) {
            best = it;
        }
    }
    if (best == connections_.end()) {
        return std::nullopt;
    }
    best->second.phase = state::in_use;
    return best->first;
}

void connection_pool::release(time_point now, connection_id id, actions& out) {
    if (retired_) {
        discard(id, out);
        return;
    }
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    found->second.phase = state::idle;
    found->second.since = now;
    found->second.last_use = now;
}

void connection_pool::discard(connection_id id, actions& out) {
    if (connections_.erase(id) > 0) {
        out.emplace_back(close_connection{id});
    }
}

bool connection_pool::on_connected(time_point now, connection_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return false;
    }
    found->second = connection{state::idle, now, now, {}};
    retry_delay_ = duration{0};
    return true;
}

bool connection_pool::on_disconnected(time_point now, connection_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return false;
    }
    if (found->second.phase == state::connecting) {
        back_off(now);
    }
    connections_.erase(found);
    return true;
}

void connection_pool::back_off(time_point now) {
    retry_delay_ = std::clamp(2 * retry_delay_, settings_.retry_min, settings_.retry_max);
    retry_at_ = now + retry_delay_;
}

bool connection_pool::on_answer(time_point now, connection_id id, const backend_answer& answer,
                                actions& out) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.phase != state::checking) {
        return false;
    }
    if (answer.id != found->second.heartbeat) {
        discard(id, out);
        return true;
    }
    found->second.phase = state::idle;
    found->second.since = now;
    return true;
}

void connection_pool::send_heartbeat(time_point now, connection_id id, connection& which,
                                     actions& out) {
    which.phase = state::checking;
    which.since = now;
    which.heartbeat = request_ids_.next();
    backend_request request;
    request.id = which.heartbeat;
    request.operation = backend_operation::status;
    out.emplace_back(send_to_backend{id, std::move(request)});
}

time_point connection_pool::due(const connection& which) const {
    switch (which.phase) {
    case state::connecting:
        return which.since + settings_.connect_timeout;
    case state::idle:
        return which.since + settings_.heartbeat_interval;
    case state::checking:
        return which.since + settings_.heartbeat_timeout;
    case state::in_use:
        break;
    }
    return no_deadline;
}

bool connection_pool::expired(time_point now, const connection& which) const {
    if (which.phase == state::idle) {
        const bool surplus = connections_.size() > slots_;
        return surplus && now - which.last_use >= settings_.idle_timeout;
    }
    return now >= due(which);
}

void connection_pool::tick(time_point now, actions& out) {
    if (now >= retry_at_) {
        retry_at_ = time_point{};
    }
    std::vector<connection_id> closing;
    for (auto& [id, which] : connections_) {
        if (now < due(which)) {
            continue;
        }
        if (expired(now, which)) {
            closing.push_back(id);
        } else {
            send_heartbeat(now, id, which, out);
        }
    }
    for (const auto id : closing) {
        const auto phase = connections_.at(id).phase;
        if (phase == state::connecting) {
            back_off(now);
        }
        if (phase == state::checking) {
            log(out, "connections", log_level::warning,
                "closed connection without heartbeat answer to " + backend_.str());
        }
        discard(id, out);
    }
}

time_point connection_pool::next_deadline() const {
    auto next = retry_at_ > time_point{} ? retry_at_ : no_deadline;
    for (const auto& [id, which] : connections_) {
        next = std::min(next, due(which));
    }
    return next;
}

void connection_pool::retire(actions& out) {
    retired_ = true;
    std::vector<connection_id> closing;
    for (const auto& [id, which] : connections_) {
        if (which.phase != state::in_use) {
            closing.push_back(id);
        }
    }
    for (const auto id : closing) {
        discard(id, out);
    }
}

} // namespace jackdawvane
