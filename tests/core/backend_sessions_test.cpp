#include "jackdawvane/sessions/backend_sessions.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;
using testing::registration;
using testing::session_configuration;

struct restart_case {
    const char* name;
    std::size_t accepted;      ///< Connections that the server accepts at most.
    std::size_t organisations; ///< Organisations whose callers reconnect, in turn.
};

/// A server with 5 slots and a limit of 72 connections, many of which it still counts for an owner
/// that has lost power, and callers that all reconnect at once.
class OwnerAfterPowerLoss : public ::testing::TestWithParam<restart_case> {
  protected:
    static constexpr std::int64_t handshake_ms = 12;
    static constexpr std::int64_t statement_ms = 20;
    static constexpr std::size_t slots = 5;

    OwnerAfterPowerLoss() : backends{state, {}, ids} {
        auto document = session_configuration();
        document->pools[pool_name{"g"}].groups[group_id{"g"}].connection_limit = 72;
        state.configuration = document;
        auto entry = registration("p");
        entry.slots = slots;
        state.directory.update(at(0), at(0), 1, {entry});
        state.update_group_members();
    }

    /// Simulates one millisecond of the owner and the server.
    void step(std::int64_t now) {
        proxy_output out;
        while (backends.has_capacity(at(now), server)) {
            session_needs needs;
            needs.organisation = organisation_id{"o" + std::to_string(next_++ % organisations)};
            const auto connection = backends.acquire(at(now), server, needs, out);
            if (!connection) {
                break;
            }
            backends.send(at(now), *connection, attempt_id{++attempts_}, needs, {}, {}, out);
        }
        apply_actions(now, out);
        run_server(now);
        for (const auto& result : backends.take_results()) {
            served += result.sent ? 1 : 0;
            proxy_output released;
            if (backends.holds(result.lease)) {
                backends.release(at(now), result.lease, false, released);
            }
            apply_actions(now, released);
        }
    }

    void apply_actions(std::int64_t now, const proxy_output& out) {
        for (const auto& each : out.sessions) {
            if (const auto* opened = std::get_if<open_server_connection>(&each)) {
                const bool room = connections_.size() < accepted;
                refused += room ? 0 : 1;
                if (room) {
                    connections_.insert(opened->connection);
                }
                events_.push_back({now + (room ? handshake_ms : 1), opened->connection, room});
            } else if (const auto* closed = std::get_if<close_server_connection>(&each)) {
                connections_.erase(closed->connection);
            } else if (const auto* sent = std::get_if<send_to_server>(&each)) {
                for (std::size_t i = 0; i < sent->commands.size(); ++i) {
                    statements_.push_back(sent->connection);
                }
            }
        }
    }

    /// Completes statements at the rate of a server that runs one statement in each slot.
    void run_server(std::int64_t now) {
        proxy_output out;
        for (auto& each : std::exchange(events_, {})) {
            if (each.due > now) {
                events_.push_back(each);
            } else if (each.accepted) {
                backends.on_ready(at(now), {each.connection, {}}, out);
            } else {
                backends.on_closed(at(now),
                                   {each.connection, close_reason::rejected,
                                    statement_error::too_many_connections},
                                   out);
            }
        }
        if (now % (statement_ms / static_cast<std::int64_t>(slots)) == 0 && !statements_.empty()) {
            const auto connection = statements_.front();
            statements_.pop_front();
            if (connections_.contains(connection)) {
                backends.on_reply(at(now),
                                  {connection,
                                   testing::success(transaction_state::idle, testing::point(1, 1)),
                                   {}},
                                  out);
            }
        }
        apply_actions(now, out);
    }

    struct event {
        std::int64_t due{0};
        connection_id connection;
        bool accepted{false};
    };

    fleet_state state;
    id_sequence<connection_id> ids;
    backend_sessions backends;
    const backend_server_id server{"p"};
    std::size_t accepted{0};
    std::size_t organisations{1};
    std::size_t refused{0};
    std::size_t served{0};

  private:
    std::size_t next_{0};
    std::uint64_t attempts_{0};
    std::set<connection_id> connections_;
    std::deque<connection_id> statements_;
    std::vector<event> events_;
};

/// Guards against an owner that repeatedly opens connections which the server refuses: each attempt
/// occupies a slot and causes a caller's statement to be returned.
TEST_P(OwnerAfterPowerLoss, UsesTheConnectionsThatTheServerAccepts) {
    accepted = GetParam().accepted;
    organisations = GetParam().organisations;
    // The server still counts the connections of a VM that has lost power for this long.
    constexpr std::int64_t length_ms = 3'000;
    for (std::int64_t now = 1; now <= length_ms; ++now) {
        step(now);
    }
    EXPECT_LE(refused, 3 * 2 * slots)
        << "at most one burst of concurrent connection attempts per second";
    // A new connection occupies a slot for 12 ms in addition to the statement.
    const auto max_served = static_cast<std::size_t>(length_ms) * slots / statement_ms;
    EXPECT_GE(served, max_served / 3);
}

INSTANTIATE_TEST_SUITE_P(BackendSessions, OwnerAfterPowerLoss,
                         ::testing::Values(restart_case{"few_organisations", 20, 4},
                                           restart_case{"many_organisations", 20, 40},
                                           restart_case{"hardly_any_connection", 6, 40},
                                           restart_case{"all_connections", 72, 40}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
