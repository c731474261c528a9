#include "jackdawvane/adapters/session_ports.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "platform/line_codec.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

class SessionPorts : public ::testing::Test {
  protected:
    proxy_event_sink sink() {
        return [this](proxy_event&& what) { events.push_back(std::move(what)); };
    }
    template <class Event>
    const Event* last() const {
        return events.empty() ? nullptr : std::get_if<Event>(&events.back());
    }

    asio::io_context context;
    line_codec codec;
    std::vector<proxy_event> events;
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
};

TEST_F(SessionPorts, ServerAnswersAreCollectedUntilReady) {
    server_port server_connections{context, {}, codec, sink()};
    open_server_connection start;
    start.connection = connection_id{1};
    start.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    start.group = group_id{"g"};
    start.organisation = organisation_id{"o"};
    start.expected = backend_server_id{"i"};
    server_connections.open(start);
    auto server = acceptor.accept();
    context.run_for(milliseconds{50});
    std::string received;
    asio::read_until(server, asio::dynamic_buffer(received), "\n");
    EXPECT_EQ(received, "STARTUP g o i\r\n");
    asio::write(server, asio::buffer(std::string{"READY I 1.2\r\n"}));
    context.restart();
    context.run_for(milliseconds{50});
    ASSERT_NE(last<server_connected>(), nullptr);
    asio::write(server, asio::buffer(std::string{"ROW a\r\nROW b\r\nCOMPLETE s\r\nREA"}));
    context.restart();
    context.run_for(milliseconds{50});
    EXPECT_EQ(last<server_replied>(), nullptr);
    asio::write(server, asio::buffer(std::string{"DY I 1.3\r\n"}));
    context.restart();
    context.run_for(milliseconds{50});
    ASSERT_NE(last<server_replied>(), nullptr);
    EXPECT_EQ(last<server_replied>()->reply.rows, (std::vector<std::string>{"a", "b"}));
}

struct cut_answer_case {
    const char* name;
    const char* before; ///< Received before the command is sent.
    const char* after;  ///< Received after it.
};

class CutAnswer : public SessionPorts, public ::testing::WithParamInterface<cut_answer_case> {};

/// Guards against lines of an answer that was cut off which are passed on with the next answer.
TEST_P(CutAnswer, EndsTheConnection) {
    server_port server_connections{context, {}, codec, sink()};
    open_server_connection start;
    start.connection = connection_id{1};
    start.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    server_connections.open(start);
    auto server = acceptor.accept();
    const auto receive = [&](const std::string& text) {
        if (!text.empty()) {
            asio::write(server, asio::buffer(text));
        }
        context.restart();
        context.run_for(milliseconds{50});
    };
    receive("READY I 3.1\r\n");
    ASSERT_NE(last<server_connected>(), nullptr);
    receive(GetParam().before);
    server_connections.send({connection_id{1}, {backend_command{}}});
    receive(GetParam().after);
    EXPECT_NE(last<server_disconnected>(), nullptr);
    EXPECT_EQ(events.size(), 2U);
    EXPECT_EQ(server_connections.connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    SessionPorts, CutAnswer,
    ::testing::Values(
        cut_answer_case{"row_before_the_command", "ROW x\r\n", ""},
        cut_answer_case{"part_of_a_line_before_the_command", "COMPL", ""},
        cut_answer_case{"completion_before_the_command", "COMPLETE s\r\n", ""},
        cut_answer_case{"completion_before_a_row", "", "COMPLETE s\r\nROW y\r\n"},
        cut_answer_case{"completion_before_a_completion", "", "COMPLETE s\r\nCOMPLETE t\r\n"},
        cut_answer_case{"completion_before_an_error", "", "COMPLETE s\r\nERROR BUSY x\r\n"},
        cut_answer_case{"error_before_a_row", "", "ERROR BUSY x\r\nROW y\r\n"},
        cut_answer_case{"error_before_a_completion", "", "ERROR BUSY x\r\nCOMPLETE t\r\n"},
        cut_answer_case{"error_before_an_error", "", "ERROR BUSY x\r\nERROR FAILED y\r\n"},
        cut_answer_case{"end_without_a_beginning", "", "READY I 3.2\r\n"},
        cut_answer_case{"in_a_row_before_a_row", "", "ROW xROW y\r\nCOMPLETE t\r\nREADY I 3.2\r\n"},
        cut_answer_case{"in_a_row_before_a_completion", "", "ROW xCOMPLETE t\r\nREADY I 3.2\r\n"},
        cut_answer_case{"in_a_completion", "", "COMPLETE sCOMPLETE t\r\nREADY I 3.2\r\n"},
        cut_answer_case{"in_an_error", "", "ERROR BUSY xCOMPLETE t\r\nREADY I 3.2\r\n"},
        cut_answer_case{"in_an_end", "", "COMPLETE s\r\nREADY I 3.1ROW y\r\n"},
        cut_answer_case{"in_a_position", "", "COMPLETE s\r\nREADY I 3.\r\n"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

// A write whose connection the proxy has closed must not be executed when a network partition heals
// later.
TEST_F(SessionPorts, ClosedServerConnectionIsReset) {
    server_port server_connections{context, {}, codec, sink()};
    open_server_connection start;
    start.connection = connection_id{1};
    start.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    server_connections.open(start);
    auto server = acceptor.accept();
    context.run_for(milliseconds{50});
    server_connections.close(connection_id{1});
    std::array<char, 64> buffer{};
    boost::system::error_code failure;
    while (!failure) {
        server.read_some(asio::buffer(buffer), failure);
    }
    EXPECT_EQ(failure, asio::error::connection_reset);
}

TEST_F(SessionPorts, RefusedConnectionIsReportedAsRefused) {
    const auto port = acceptor.local_endpoint().port();
    acceptor.close();
    server_port server_connections{context, {}, codec, sink()};
    open_server_connection start;
    start.connection = connection_id{1};
    start.endpoint = {"127.0.0.1", port};
    server_connections.open(start);
    context.run_for(milliseconds{50});
    ASSERT_NE(last<server_disconnected>(), nullptr);
    EXPECT_EQ(last<server_disconnected>()->reason, close_reason::refused);
}

TEST_F(SessionPorts, CallersLinesBecomeEvents) {
    const auto port = acceptor.local_endpoint().port();
    acceptor.close();
    session_port_settings settings;
    settings.listen = {"127.0.0.1", port};
    settings.line_limit = 1000;
    session_port sessions{context, settings, codec, sink()};
    tcp::socket caller{context};
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller, asio::buffer(std::string{"STARTUP db key\r\nQUERY 1 READ a\r\n"}));
    context.run_for(milliseconds{50});
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(std::get<session_started>(events[0]).database, route_name{"db"});
    EXPECT_EQ(std::get<statement_received>(events[1]).statement.kind, statement_kind::read);
    asio::write(caller, asio::buffer(std::string(9000, 'x')));
    context.restart();
    context.run_for(milliseconds{50});
    ASSERT_EQ(events.size(), 4U);
    EXPECT_TRUE(std::holds_alternative<session_broken>(events[2]));
    EXPECT_TRUE(std::holds_alternative<session_closed>(events[3]));
}

/// Guards against a statement that is hidden in another one's line: the protocol ends lines at CR
/// LF, but a bare LF ended one as well (issue 31).
TEST_F(SessionPorts, BareLineFeedDoesNotEndACallersLine) {
    const auto port = acceptor.local_endpoint().port();
    acceptor.close();
    session_port_settings settings;
    settings.listen = {"127.0.0.1", port};
    session_port sessions{context, settings, codec, sink()};
    tcp::socket caller{context};
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller, asio::buffer(std::string{
                            "STARTUP db key\r\nQUERY 1 READ a\nQUERY 2 WRITE b c\r\n"}));
    context.run_for(milliseconds{50});
    ASSERT_EQ(events.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<session_started>(events[0]));
    EXPECT_TRUE(std::holds_alternative<session_broken>(events[1]));
}

class SessionLimits : public SessionPorts {
  protected:
    SessionLimits() {
        settings.listen = {"127.0.0.1", acceptor.local_endpoint().port()};
        settings.on_limit = [this](const session_limit_event& what) {
            reasons.push_back(what.reason);
        };
        acceptor.close();
    }
    void connect(tcp::socket& caller) {
        caller.connect({asio::ip::make_address("127.0.0.1"), settings.listen.port});
        run();
    }
    void run(milliseconds time = milliseconds{50}) {
        context.restart();
        context.run_for(time);
    }
    void send(tcp::socket& caller, const std::string& text) {
        asio::write(caller, asio::buffer(text));
        run();
    }
    std::size_t statements() const {
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(), [](const proxy_event& each) {
                return std::holds_alternative<statement_received>(each);
            }));
    }

    session_port_settings settings;
    std::vector<std::string> reasons;
};

/// Guards against answers and statements that a caller which does not read piles up.
TEST_F(SessionLimits, StatementsWaitInTheSocketWhileAnAnswerIsMissing) {
    settings.buffers.pause = 100;
    session_port sessions{context, settings, codec, sink()};
    tcp::socket caller{context};
    connect(caller);
    const std::string line = "QUERY 1 READ " + std::string(30, 'x') + "\r\n";
    send(caller, "STARTUP db key\r\n" + line + line);
    EXPECT_EQ(statements(), 1U);
    sessions.answer(session_id{1}, {});
    run();
    EXPECT_EQ(statements(), 2U);
    sessions.answer(session_id{1}, {});
    send(caller, line);
    EXPECT_EQ(statements(), 3U);
}

/// Guards against complete lines that hold the budget and wait for the room that they take up.
TEST_F(SessionLimits, LinesThatWereReadAreHandledWithoutRoom) {
    settings.buffers.pause = 100;
    settings.buffers.process = 150;
    settings.buffers.allowance = 100;
    session_port sessions{context, settings, codec, sink()};
    tcp::socket caller{context};
    connect(caller);
    const std::string line = "QUERY 1 READ " + std::string(30, 'x') + "\r\n";
    send(caller, "STARTUP db key\r\n" + line + line);
    sessions.answer(session_id{1}, {});
    run();
    EXPECT_EQ(statements(), 2U);
}

/// Guards against half-sent lines that hold memory until their callers disconnect.
TEST_F(SessionLimits, UnfinishedLineEndsItsConnection) {
    settings.buffers.line_time = milliseconds{100};
    session_port sessions{context, settings, codec, sink()};
    tcp::socket caller{context};
    tcp::socket idle{context};
    connect(caller);
    connect(idle);
    send(idle, "STARTUP db key\r\n");
    send(caller, "STARTUP db key\r\nQUERY 1 RE");
    run(milliseconds{600});
    EXPECT_EQ(reasons, std::vector<std::string>{"unfinished_line"});
    EXPECT_NE(last<session_closed>(), nullptr);
    EXPECT_EQ(sessions.connections(), 1U);
}

/// Guards against a full budget that keeps its room for callers that have stopped sending.
TEST_F(SessionLimits, ReadingContinuesWhenThereIsRoomAgain) {
    settings.buffers.process = settings.buffers.organisation = 8000;
    settings.buffers.allowance = 100;
    settings.buffers.crowded_time = milliseconds{100};
    session_port sessions{context, settings, codec, sink()};
    tcp::socket first{context};
    tcp::socket second{context};
    connect(first);
    connect(second);
    send(first, std::string(3000, 'x'));
    send(second, "STARTUP db key\r\nQUERY 1 READ " + std::string(1000, 'x') + "\r\n");
    EXPECT_EQ(statements(), 0U);
    run(milliseconds{600});
    EXPECT_EQ(reasons, std::vector<std::string>{"no_room"});
    EXPECT_EQ(statements(), 1U);
}

/// Guards against a crowd of silent connections that keeps ordinary callers out.
TEST_F(SessionLimits, SilentConnectionGivesWayAtTheSessionLimit) {
    settings.session_limit = 2;
    session_port sessions{context, settings, codec, sink()};
    tcp::socket silent{context};
    tcp::socket first{context};
    tcp::socket second{context};
    tcp::socket refused{context};
    connect(silent);
    connect(first);
    send(first, "STARTUP db key\r\n");
    connect(second);
    send(second, "STARTUP db key\r\n");
    connect(refused);
    EXPECT_EQ(reasons, (std::vector<std::string>{"no_startup", "session_limit"}));
    EXPECT_EQ(sessions.connections(), 2U);
}

} // namespace
} // namespace jackdawvane::platform
