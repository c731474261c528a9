#include "jackdawvane/sessions/session_proxy.hpp"

#include <algorithm>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using jackdawvane::testing::at;

session_proxy_settings settings() {
    session_proxy_settings chosen;
    chosen.self.vm = vm_id{"a"};
    chosen.self.peer = {"127.0.0.1", 1};
    chosen.self.caller = {"127.0.0.1", 2};
    chosen.self.place = {region_id{"r"}, failure_domain_id{"d"}};
    chosen.incarnation = vm_incarnation{1};
    return chosen;
}

bool has_stopped(const proxy_output& out) {
    return std::any_of(out.common.begin(), out.common.end(),
                       [](const auto& each) { return std::holds_alternative<stopped>(each); });
}

/// Answers the proxy's calls for the registered servers with the server `p`.
void answer_backend_list(session_proxy& proxy, time_point now, proxy_output& out) {
    std::vector<request_id> calls;
    for (const auto& each : out.common) {
        const auto* const call = std::get_if<store_request>(&each);
        if (call != nullptr && call->operation == store_operation::list_backends) {
            calls.push_back(call->id);
        }
    }
    for (const auto id : calls) {
        store_answer list{id, store_status::ok, {}, 1, {}};
        list.backends.push_back(jackdawvane::testing::registration("p"));
        proxy.handle(now, list, out);
    }
}

/// Guards against a session that is accepted while the process exits and gets no answer (kdrp-vane
/// scale-1, seed 234482332935).
TEST(SessionProxy, RefusesSessionsAfterItHasStopped) {
    session_proxy proxy{settings()};
    proxy_output out;
    int now = 1000;
    proxy.handle(at(now), timer_tick{}, out);
    proxy.handle(at(now), stop_requested{}, out);
    constexpr int stop_timeout_ms = 20'000;
    while (!has_stopped(out) && now < stop_timeout_ms) {
        now += 50;
        proxy.handle(at(now), timer_tick{}, out);
    }
    ASSERT_TRUE(has_stopped(out));
    out.sessions.clear();
    proxy.handle(at(now + 50), session_started{session_id{1}, route_name{"orders"}, "key"}, out);
    ASSERT_EQ(out.sessions.size(), 1U);
    const auto* const refused = std::get_if<reject_session>(&out.sessions.front());
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->problem, statement_error::busy);
}

/// Guards against a stop that cuts statements of callers at other VMs (review/3, related path).
TEST(SessionProxy, StopsOnceItRunsNoStatementOfAnotherVm) {
    session_proxy proxy{settings()};
    proxy_output out;
    constexpr int stopped_at = 1000;
    int now = stopped_at;
    const auto run_until = [&](int end) {
        for (; now < end; now += 50) {
            proxy.handle(at(now), timer_tick{}, out);
        }
    };
    proxy.handle(at(now), timer_tick{}, out);
    answer_backend_list(proxy, at(now), out);
    proxy.handle(at(now), stop_requested{}, out);
    run_until(stopped_at + 2250);
    forwarded_statement statement; // Runs at a server that does not answer.
    statement.backend = backend_server_id{"p"};
    statement.organisation = organisation_id{"o"};
    statement.remaining = std::chrono::milliseconds{500};
    proxy.handle(at(now), peer_received{vm_id{"b"}, vm_incarnation{1}, statement}, out);
    run_until(stopped_at + 2700);
    EXPECT_FALSE(has_stopped(out));
    run_until(stopped_at + 3300);
    EXPECT_TRUE(has_stopped(out));
}

} // namespace
} // namespace jackdawvane
