#include "jackdawvane/adapters/session_ports.hpp"

#include <utility>

#include <unordered_map>

#include "line_stream.hpp"

namespace jackdawvane {

class member_port::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, member_port_settings settings,
                   const session_codec& codec, proxy_event_sink sink)
        : context_{context}, settings_{std::move(settings)}, codec_{codec}, sink_{std::move(sink)} {
    }

    void open(const open_member& start);
    void send(const send_to_member& commands);
    void close(connection_id connection);
    void stop();
    [[nodiscard]] std::size_t connections() const noexcept { return members_.size(); }

  private:
    struct member {
        std::shared_ptr<detail::line_stream> stream;
        bool started{false};
        std::optional<answer_problem> start_problem;
        statement_reply reply; ///< Lines of the present answer.
        std::optional<member_status> status;
    };

    void take(connection_id id, std::string_view line);
    void take_ready(connection_id id, member& own, const answer_ready& ready);
    void ended(connection_id id, detail::stream_end reason);

    boost::asio::io_context& context_;
    member_port_settings settings_;
    const session_codec& codec_;
    proxy_event_sink sink_;
    std::unordered_map<connection_id, member> members_;
};

void member_port::implementation::open(const open_member& start) {
    auto stream = std::make_shared<detail::line_stream>(context_, settings_.line_limit);
    const std::weak_ptr<implementation> weak = weak_from_this();
    const auto id = start.connection;
    stream->on_line([weak, id](std::string_view line) {
        if (const auto self = weak.lock()) {
            self->take(id, line);
        }
    });
    stream->on_end([weak, id](detail::stream_end reason) {
        if (const auto self = weak.lock()) {
            self->ended(id, reason);
        }
    });
    members_[id].stream = stream;
    std::string text;
    codec_.write_start(start, text);
    stream->write(text);
    stream->connect(start.endpoint, settings_.local_address);
}

void member_port::implementation::send(const send_to_member& commands) {
    const auto found = members_.find(commands.connection);
    if (found == members_.end()) {
        return;
    }
    std::string text;
    for (const auto& command : commands.commands) {
        codec_.write_command(command, text);
    }
    found->second.stream->write(text);
}

void member_port::implementation::take(connection_id id, std::string_view line) {
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    auto& own = found->second;
    auto message = codec_.read_backend(line);
    if (auto* row = std::get_if<answer_row>(&message)) {
        if (!own.status) {
            own.status = codec_.read_status(row->text);
        }
        own.reply.rows.push_back(std::move(row->text));
    } else if (auto* completed = std::get_if<answer_completed>(&message)) {
        own.reply.signature = std::move(completed->signature);
    } else if (auto* problem = std::get_if<answer_problem>(&message)) {
        if (!own.started) {
            own.start_problem = std::move(*problem);
            own.stream->close();
            ended(id, detail::stream_end::lost);
            return;
        }
        own.reply.problem = problem->problem;
        own.reply.detail = std::move(problem->detail);
    } else if (const auto* ready = std::get_if<answer_ready>(&message)) {
        take_ready(id, own, *ready);
    } else {
        own.stream->close();
        ended(id, detail::stream_end::lost);
    }
}

void member_port::implementation::take_ready(connection_id id, member& own,
                                             const answer_ready& ready) {
    if (!own.started) {
        own.started = true;
        sink_(member_ready{id, ready.position});
        return;
    }
    auto reply = std::exchange(own.reply, {});
    reply.state = ready.state;
    reply.position = ready.position;
    sink_(member_replied{id, std::move(reply), std::exchange(own.status, {})});
}

void member_port::implementation::ended(connection_id id, detail::stream_end reason) {
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    member_closed closed{id, close_reason::lost, statement_error::none};
    if (found->second.start_problem) {
        closed.reason = close_reason::rejected;
        closed.problem = found->second.start_problem->problem;
    } else if (reason == detail::stream_end::refused) {
        closed.reason = close_reason::refused;
    }
    members_.erase(found);
    sink_(closed);
}

void member_port::implementation::close(connection_id connection) {
    const auto found = members_.find(connection);
    if (found != members_.end()) {
        const auto stream = found->second.stream;
        members_.erase(found);
        stream->close();
    }
}

void member_port::implementation::stop() {
    for (const auto& [id, own] : members_) {
        own.stream->close();
    }
    members_.clear();
}

member_port::member_port(boost::asio::io_context& context, member_port_settings settings,
                         const session_codec& codec, proxy_event_sink sink)
    : implementation_{
          std::make_shared<implementation>(context, std::move(settings), codec, std::move(sink))} {}

member_port::~member_port() {
    implementation_->stop();
}

void member_port::open(const open_member& start) {
    implementation_->open(start);
}

void member_port::send(const send_to_member& commands) {
    implementation_->send(commands);
}

void member_port::close(connection_id connection) {
    implementation_->close(connection);
}

std::size_t member_port::connections() const noexcept {
    return implementation_->connections();
}

} // namespace jackdawvane
