#include "jackdawvane/adapters/backend_port_adapter.hpp"

#include <utility>

#include <memory>

#include "loopback.hpp"
#include "support/memory_ports.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using test_support::behaviour;

/// The port under test, connected to a backend server.
class bench {
  public:
    bench() = default;
    bench(const bench&) = delete;
    bench& operator=(const bench&) = delete;
    virtual ~bench() = default;
    virtual backend_port& port() = 0;
    virtual void close_from_server() = 0;
    virtual bool run_until(const std::function<bool()>& condition) = 0;
    virtual void run_briefly() = 0;
    [[nodiscard]] virtual endpoint server() const { return {"127.0.0.8", 1}; }

    loopback::event_log log;
};

class memory_bench final : public bench {
  public:
    explicit memory_bench(behaviour server) : port_{log.sink(), server} {}
    backend_port& port() override { return port_; }
    void close_from_server() override { port_.close_from_server(); }
    bool run_until(const std::function<bool()>& condition) override {
        port_.deliver();
        return condition();
    }
    void run_briefly() override { port_.deliver(); }

  private:
    test_support::memory_backend_port port_;
};

class loopback_bench final : public bench {
  public:
    explicit loopback_bench(behaviour kind) : kind_{kind} {
        http_server_settings settings;
        settings.listen = {"127.0.0.8", 0};
        server_.emplace(context_, settings, [this](const auto& request, const auto& responder) {
            serve(request, responder);
        });
        where_ = server_->local_endpoint();
        if (kind == behaviour::refuse_connection) {
            server_.reset();
        }
    }
    backend_port& port() override { return port_; }
    void close_from_server() override { server_.reset(); }
    bool run_until(const std::function<bool()>& condition) override {
        return loopback::run_until(context_, condition);
    }
    void run_briefly() override { loopback::run_briefly(context_); }
    [[nodiscard]] endpoint server() const override { return where_; }

  private:
    void serve(const http_request_view& request, const http_responder& responder) {
        held_.push_back(responder);
        if (request.target() == "/connect") {
            if (kind_ != behaviour::ignore_handshake) {
                responder.respond({kind_ == behaviour::refuse_handshake ? 503U : 200U,
                                   std::string{request.body()},
                                   "",
                                   {}});
            }
            return;
        }
        answer(request, responder);
    }
    void answer(const http_request_view& request, const http_responder& responder) {
        backend_answer answer;
        answer.id = from_json<backend_request>(parse_json(request.body()).value()).value().id;
        if (kind_ == behaviour::answer) {
            responder.respond({200, write_json(to_json(answer)), "", {}});
        } else if (kind_ == behaviour::malformed_answer) {
            responder.respond({200, R"({"id":"x"})", "", {}});
        } else if (kind_ == behaviour::oversized_answer) {
            responder.respond({200, std::string(5000000, ' '), "", {}});
        } else if (kind_ == behaviour::close_before_answer) {
            boost::asio::post(context_, [this] { server_.reset(); });
        }
    }

    boost::asio::io_context context_;
    behaviour kind_;
    std::optional<http_server> server_;
    endpoint where_;
    std::vector<http_responder> held_;
    backend_port_adapter port_{
        context_, {vm_id{"vm-1"}, "127.0.0.7", std::chrono::milliseconds{200}}, log.sink()};
};

enum class port_kind { memory, loopback };

std::unique_ptr<bench> make_bench(port_kind kind, behaviour server) {
    if (kind == port_kind::memory) {
        return std::make_unique<memory_bench>(server);
    }
    return std::make_unique<loopback_bench>(server);
}

constexpr connection_id connection{5};

send_to_backend request_of(std::uint64_t id) {
    send_to_backend sent{connection, {}};
    sent.request.id = request_id{id};
    return sent;
}

class BackendPort : public testing::TestWithParam<std::tuple<port_kind, behaviour>> {
  protected:
    void open(bench& tested) {
        tested.port().open({connection, backend_server_id{"b1"}, tested.server()});
        EXPECT_TRUE(tested.log.events.empty()) << "reported from within the call";
        ASSERT_TRUE(tested.run_until([&] { return !tested.log.events.empty(); }));
    }
};

/// Guards against a request that is never completed: each failure of the server is reported as
/// one `backend_disconnected`, at the step given in the table.
TEST_P(BackendPort, FailuresAreReportedOnce) {
    const auto [kind, server] = GetParam();
    const auto tested = make_bench(kind, server);
    open(*tested);
    const bool opens = server != behaviour::refuse_connection &&
                       server != behaviour::refuse_handshake &&
                       server != behaviour::ignore_handshake;
    if (opens) {
        ASSERT_EQ(tested->log.count<backend_connected>(), 1U);
        tested->port().send(request_of(1));
    }
    ASSERT_TRUE(tested->run_until([&] { return tested->log.count<backend_disconnected>() == 1; }));
    tested->port().send(request_of(2));
    tested->run_briefly();
    EXPECT_EQ(tested->log.count<backend_disconnected>(), 1U);
    EXPECT_EQ(tested->log.count<backend_answered>(), 0U);
    EXPECT_EQ(tested->log.all<backend_disconnected>().front().connection, connection);
}

INSTANTIATE_TEST_SUITE_P(
    Failures, BackendPort,
    testing::Combine(testing::Values(port_kind::memory, port_kind::loopback),
                     testing::Values(behaviour::refuse_connection, behaviour::refuse_handshake,
                                     behaviour::ignore_handshake, behaviour::close_before_answer,
                                     behaviour::malformed_answer, behaviour::oversized_answer)));

class WorkingBackendPort : public BackendPort {};

/// Guards against an answer that is reported for another request.
TEST_P(WorkingBackendPort, AnswersCarryTheIdOfTheirRequest) {
    const auto tested = make_bench(std::get<0>(GetParam()), behaviour::answer);
    open(*tested);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        tested->port().send(request_of(id));
        ASSERT_TRUE(tested->run_until([&] { return tested->log.count<backend_answered>() == id; }));
        EXPECT_EQ(tested->log.all<backend_answered>().back().answer.id, request_id{id});
    }
}

/// Guards against a late answer or disconnect event for a connection that the node has closed.
TEST_P(WorkingBackendPort, NothingIsReportedAfterClose) {
    const auto tested = make_bench(std::get<0>(GetParam()), behaviour::never_answer);
    open(*tested);
    tested->port().send(request_of(1));
    tested->run_briefly();
    tested->port().close({connection});
    tested->close_from_server();
    tested->run_briefly();
    EXPECT_EQ(tested->log.events.size(), 1U);
}

/// Guards against two requests on one connection, whose answers could be confused.
TEST_P(WorkingBackendPort, ASecondRequestBeforeTheAnswerClosesTheConnection) {
    const auto tested = make_bench(std::get<0>(GetParam()), behaviour::never_answer);
    open(*tested);
    tested->port().send(request_of(1));
    tested->port().send(request_of(2));
    ASSERT_TRUE(tested->run_until([&] { return tested->log.count<backend_disconnected>() == 1; }));
}

/// Guards against a killed backend server that is detected only by the next request.
TEST_P(WorkingBackendPort, ACloseWhileIdleIsReported) {
    const auto tested = make_bench(std::get<0>(GetParam()), behaviour::answer);
    open(*tested);
    tested->close_from_server();
    ASSERT_TRUE(tested->run_until([&] { return tested->log.count<backend_disconnected>() == 1; }));
}

INSTANTIATE_TEST_SUITE_P(Working, WorkingBackendPort,
                         testing::Combine(testing::Values(port_kind::memory, port_kind::loopback),
                                          testing::Values(behaviour::answer)));

/// Guards against connections from an address that the rules of the platform don't allow.
TEST(BackendPortAddress, ConnectionsComeFromTheConfiguredAddress) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor server{context, {boost::asio::ip::make_address("127.0.0.8"), 0}};
    boost::asio::ip::tcp::socket accepted{context};
    std::string source;
    server.async_accept(accepted, [&](boost::system::error_code) {
        source = accepted.remote_endpoint().address().to_string();
    });
    loopback::event_log log;
    backend_port_adapter port{context, {vm_id{"vm-1"}, "127.0.0.7"}, log.sink()};
    port.open({connection, {}, {"127.0.0.8", server.local_endpoint().port()}});
    ASSERT_TRUE(loopback::run_until(context, [&] { return !source.empty(); }));
    EXPECT_EQ(source, "127.0.0.7");
}

} // namespace
} // namespace jackdawvane
