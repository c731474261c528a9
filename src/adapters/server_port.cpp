#include "jackdawvane/adapters/session_ports.hpp"

#include <utility>

#include <algorithm>
#include <unordered_map>

#include "line_stream.hpp"
#include <boost/asio/post.hpp>

namespace jackdawvane {

class server_port::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, server_port_settings settings,
                   const session_codec& codec, proxy_event_sink sink)
        : context_{context}, settings_{std::move(settings)}, codec_{codec}, sink_{std::move(sink)} {
    }

    void open(const open_server_connection& start);
    void send(const send_to_server& commands);
    void close(connection_id connection);
    void stop();
    [[nodiscard]] std::size_t connections() const noexcept { return servers_.size(); }

  private:
    struct server_state {
        std::shared_ptr<detail::line_stream> stream;
        bool started{false};
        bool completed{false}; ///< The current answer only lacks its end.
        bool row_seen{false};
        std::size_t unanswered{0}; ///< Commands, as far as they can be counted by answers.
        std::optional<answer_error> start_problem;
        statement_reply reply; ///< Lines of the current answer.
        std::optional<server_status> status;
    };

    void handle_line(connection_id id, std::string_view line);
    [[nodiscard]] static bool in_order(const server_state& server, const backend_line& message);
    void end_connection(connection_id id, server_state& server);
    void handle_ready(connection_id id, server_state& server, const answer_ready& ready);
    void on_stream_end(connection_id id, detail::stream_end reason);

    boost::asio::io_context& context_;
    server_port_settings settings_;
    const session_codec& codec_;
    proxy_event_sink sink_;
    std::unordered_map<connection_id, server_state> servers_;
};

void server_port::implementation::open(const open_server_connection& start) {
    auto stream = std::make_shared<detail::line_stream>(context_, settings_.line_limit);
    const std::weak_ptr<implementation> weak = weak_from_this();
    const auto id = start.connection;
    stream->on_line([weak, id](std::string_view line) {
        if (const auto self = weak.lock()) {
            self->handle_line(id, line);
        }
    });
    stream->on_end([weak, id](detail::stream_end reason) {
        if (const auto self = weak.lock()) {
            self->on_stream_end(id, reason);
        }
    });
    servers_[id].stream = stream;
    std::string text;
    codec_.write_start(start, text);
    stream->write(text);
    stream->connect(start.endpoint, settings_.local_address);
}

void server_port::implementation::send(const send_to_server& commands) {
    const auto found = servers_.find(commands.connection);
    if (found == servers_.end()) {
        return;
    }
    auto& server = found->second;
    const bool answer_begun =
        server.row_seen || server.completed || server.stream->has_partial_line();
    if (server.started && server.unanswered == 0 && answer_begun) {
        // The rest of an extra answer that was cut off would precede the answer to this command.
        boost::asio::post(context_, [weak = weak_from_this(), id = commands.connection] {
            const auto self = weak.lock();
            if (self && self->servers_.contains(id)) {
                self->end_connection(id, self->servers_.at(id));
            }
        });
        return;
    }
    server.unanswered += commands.commands.size();
    std::string text;
    for (const auto& command : commands.commands) {
        codec_.write_command(command, text);
    }
    server.stream->write(text);
}

/// Whether @a message may follow the lines of the current answer: after an answer that was cut off,
/// the next one begins without the end of the first.
bool server_port::implementation::in_order(const server_state& server,
                                           const backend_line& message) {
    if (std::holds_alternative<malformed_line>(message)) {
        return false;
    }
    if (!server.started) {
        return std::holds_alternative<answer_ready>(message) ||
               std::holds_alternative<answer_error>(message);
    }
    return std::holds_alternative<answer_ready>(message) == server.completed;
}

void server_port::implementation::end_connection(connection_id id, server_state& server) {
    server.stream->close();
    on_stream_end(id, detail::stream_end::lost);
}

void server_port::implementation::handle_line(connection_id id, std::string_view line) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    auto& server = found->second;
    auto message = codec_.read_backend(line);
    if (!in_order(server, message)) {
        end_connection(id, server);
    } else if (auto* row = std::get_if<answer_row>(&message)) {
        if (!server.status) {
            server.status = codec_.read_status(row->text);
        }
        server.row_seen = true;
        server.reply.rows.push_back(std::move(row->text));
    } else if (auto* completed = std::get_if<answer_completed>(&message)) {
        server.completed = true;
        server.reply.signature = std::move(completed->signature);
    } else if (auto* problem = std::get_if<answer_error>(&message)) {
        if (!server.started) {
            server.start_problem = std::move(*problem);
            end_connection(id, server);
            return;
        }
        server.completed = true;
        server.reply.problem = problem->problem;
        server.reply.detail = std::move(problem->detail);
    } else if (const auto* ready = std::get_if<answer_ready>(&message)) {
        handle_ready(id, server, *ready);
    }
}

void server_port::implementation::handle_ready(connection_id id, server_state& server,
                                               const answer_ready& ready) {
    if (!server.started) {
        server.started = true;
        sink_(server_connected{id, ready.position});
        return;
    }
    server.completed = server.row_seen = false;
    server.unanswered -= std::min<std::size_t>(server.unanswered, 1);
    auto reply = std::exchange(server.reply, {});
    reply.state = ready.state;
    reply.position = ready.position;
    sink_(server_replied{id, std::move(reply), std::exchange(server.status, {})});
}

void server_port::implementation::on_stream_end(connection_id id, detail::stream_end reason) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    server_disconnected closed{id, close_reason::lost, statement_error::none};
    if (found->second.start_problem) {
        closed.reason = close_reason::rejected;
        closed.problem = found->second.start_problem->problem;
    } else if (reason == detail::stream_end::refused) {
        closed.reason = close_reason::refused;
    }
    servers_.erase(found);
    sink_(closed);
}

void server_port::implementation::close(connection_id connection) {
    const auto found = servers_.find(connection);
    if (found != servers_.end()) {
        const auto stream = found->second.stream;
        servers_.erase(found);
        stream->close();
    }
}

void server_port::implementation::stop() {
    for (const auto& [id, server] : servers_) {
        server.stream->close();
    }
    servers_.clear();
}

server_port::server_port(boost::asio::io_context& context, server_port_settings settings,
                         const session_codec& codec, proxy_event_sink sink)
    : implementation_{
          std::make_shared<implementation>(context, std::move(settings), codec, std::move(sink))} {}

server_port::~server_port() {
    implementation_->stop();
}

void server_port::open(const open_server_connection& start) {
    implementation_->open(start);
}

void server_port::send(const send_to_server& commands) {
    implementation_->send(commands);
}

void server_port::close(connection_id connection) {
    implementation_->close(connection);
}

std::size_t server_port::connections() const noexcept {
    return implementation_->connections();
}

} // namespace jackdawvane
