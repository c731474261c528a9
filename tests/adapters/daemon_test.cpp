#include "jackdawvane/adapters/settings_reader.hpp"

#include <utility>

#include "loopback.hpp"
#include "programs/jackdawvaned/daemon.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Node that answers each request immediately and returns its statements as results.
class echo_node final : public node_interface {
  public:
    void handle(time_point now, const event& what, actions& out) override {
        now_ = now;
        if (const auto* request = std::get_if<caller_request>(&what)) {
            caller_answer answer;
            answer.caller = request->caller;
            answer.result = outcome::done;
            answer.results = request->statements;
            answer.session = "token";
            out.emplace_back(answer);
            count(out, "requests_total", "route", request->route.str());
        }
        if (std::holds_alternative<stop_requested>(what)) {
            out.emplace_back(stopped{});
        }
    }
    [[nodiscard]] time_point next_deadline() const override { return no_deadline; }
    [[nodiscard]] Json::Value describe() const override {
        Json::Value json;
        json["echo"] = true;
        return json;
    }
    [[nodiscard]] bool ready() const override { return true; }

  private:
    time_point now_;
};

daemon_settings test_settings() {
    daemon_settings settings;
    settings.vm = vm_id{"vm-1"};
    settings.address = "127.0.0.7";
    settings.peer_secret = "0123456789abcdef";
    settings.store = {"127.0.0.7", 1};
    settings.log.level = log_level::error;
    return settings;
}

class Daemon : public testing::Test {
  protected:
    void get(loopback::caller& caller, const char* path) {
        caller.answer.reset();
        caller.client.request("GET", path, "", {}, [&](result<http_answer> got) {
            caller.answer.emplace(std::move(got));
        });
        ASSERT_TRUE(loopback::run_until(context, [&caller] { return caller.answer.has_value(); }));
    }

    boost::asio::io_context context{1};
    entry_daemon daemon{context, test_settings(),
                        [](const node_settings&) { return std::make_unique<echo_node>(); }};
};

/// Guards against a daemon whose components are not wired to each other.
TEST_F(Daemon, ServesCallersAndOperators) {
    loopback::caller caller{context, daemon.caller_endpoint()};
    caller.post("/v1/routes/parts", R"({"statements":["a"]})");
    ASSERT_TRUE(loopback::run_until(context, [&] { return caller.answer.has_value(); }));
    EXPECT_EQ(caller.answer->value().status, 200U);
    EXPECT_EQ(caller.answer->value().body,
              R"({"outcome":"done","results":["a"],"session":"token"})");
    get(caller, "/readyz");
    EXPECT_EQ(caller.answer->value().status, 200U);
    get(caller, "/admin/status");
    EXPECT_EQ(caller.answer->value().body, R"({"echo":true})");
    get(caller, "/metrics");
    EXPECT_NE(caller.answer->value().body.find("jackdawvane_requests_total{route=\"parts\"} 1\n"),
              std::string::npos);
}

/// Guards against a daemon that does not exit after its graceful shutdown.
TEST_F(Daemon, StopsTheContextAfterTheNodeHasStopped) {
    daemon.stop();
    EXPECT_GT(context.run_for(loopback::patience), 0U);
    EXPECT_TRUE(context.stopped());
}

} // namespace
} // namespace jackdawvane
