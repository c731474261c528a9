#pragma once

#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/ports.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane::test_support {

/// @brief In-memory backend server. It answers only when the test calls `answer`.
class fake_backend {
  public:
    /// @brief Applies the backend actions in @a out; ignores all other actions.
    void take(const actions& out) {
        for (const auto& entry : out) {
            if (const auto* opened = std::get_if<open_connection>(&entry)) {
                opening.push_back(opened->connection);
            } else if (const auto* sent = std::get_if<send_to_backend>(&entry)) {
                received.push_back(*sent);
            } else if (const auto* closed = std::get_if<close_connection>(&entry)) {
                open.erase(closed->connection);
                std::erase(opening, closed->connection);
                std::erase_if(received, [&](const auto& request) {
                    return request.connection == closed->connection;
                });
            }
        }
    }

    /// @brief Executes @a request on the state of the server and returns the answer.
    backend_answer answer(const backend_request& request) {
        backend_answer reply;
        reply.id = request.id;
        const bool writes = request.mode == access_mode::write &&
                            (request.operation == backend_operation::execute ||
                             request.operation == backend_operation::commit);
        if (request.operation == backend_operation::accept_term) {
            status.accepted_term = request.expected_term;
        } else if (request.operation == backend_operation::promote) {
            status.role = backend_role::primary;
            append(request.expected_term);
        } else if (writes && request.expected_term != status.accepted_term) {
            reply.problem.kind = error_kind::fenced;
        } else if (writes) {
            append(status.accepted_term);
            ++executed[request.name.str()];
            reply.written = status.position;
            reply.written_term = status.last_entry_term;
        }
        reply.status = status;
        reply.status.connections = static_cast<std::uint32_t>(open.size());
        reply.results = request.statements;
        return reply;
    }

    void append(term of) {
        status.position = status.position.next();
        if (status.last_entry_term != of) {
            status.history.push_back({of, status.position});
        }
        status.last_entry_term = of;
    }

    backend_status status;
    std::vector<connection_id> opening;
    std::set<connection_id> open;
    std::deque<send_to_backend> received;
    std::map<std::string, int> executed; ///< Number of executions per request name.
};

} // namespace jackdawvane::test_support
