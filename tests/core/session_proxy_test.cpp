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

} // namespace
} // namespace jackdawvane
