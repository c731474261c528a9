#include "jackdawvane/backends/backend_call.hpp"

#include <utility>

namespace jackdawvane {

backend_call::backend_call(backend_server_id backend, jackdawvane::endpoint endpoint,
                           node_id_sequences ids)
    : backend_{std::move(backend)}, endpoint_{std::move(endpoint)}, ids_{ids} {}

void backend_call::send(time_point now, backend_request request, duration limit, actions& out) {
    request_ = std::move(request);
    request_.id = ids_.requests.next();
    asked_at_ = now;
    deadline_ = now + limit;
    state_ = progress::running;
    if (link_ == link::open) {
        out.emplace_back(send_to_backend{connection_, request_});
        return;
    }
    if (link_ == link::closed) {
        connection_ = ids_.connections.next();
        link_ = link::opening;
        out.emplace_back(open_connection{connection_, backend_, endpoint_});
    }
}

bool backend_call::on_connected(connection_id connection, actions& out) {
    if (!owns(connection)) {
        return false;
    }
    link_ = link::open;
    if (state_ == progress::running) {
        out.emplace_back(send_to_backend{connection_, request_});
    }
    return true;
}

bool backend_call::on_disconnected(connection_id connection, const std::string& reason) {
    if (!owns(connection)) {
        return false;
    }
    link_ = link::closed;
    fail(reason.empty() ? "the connection was closed" : reason);
    return true;
}

bool backend_call::on_answer(connection_id connection, const backend_answer& answer, actions& out) {
    if (!owns(connection)) {
        return false;
    }
    if (state_ != progress::running || answer.id != request_.id) {
        close(out);
        fail("received an answer to another request");
        return true;
    }
    answer_ = answer;
    state_ = progress::answered;
    deadline_ = no_deadline;
    return true;
}

void backend_call::tick(time_point now, actions& out) {
    if (state_ == progress::running && now >= deadline_) {
        close(out);
        fail("no answer within the time limit");
    }
}

void backend_call::close(actions& out) {
    if (link_ != link::closed) {
        out.emplace_back(close_connection{connection_});
        link_ = link::closed;
    }
    if (state_ == progress::running) {
        fail("closed");
    }
}

time_point backend_call::next_deadline() const noexcept {
    return state_ == progress::running ? deadline_ : no_deadline;
}

bool backend_call::owns(connection_id connection) const noexcept {
    return link_ != link::closed && connection_ == connection;
}

void backend_call::fail(std::string reason) {
    state_ = progress::failed;
    deadline_ = no_deadline;
    reason_ = std::move(reason);
}

} // namespace jackdawvane
