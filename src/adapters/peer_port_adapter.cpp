#include "jackdawvane/adapters/peer_port_adapter.hpp"

#include <array>
#include <map>
#include <unordered_set>
#include <vector>

#include "json_rpc_reader.hpp"
#include "json_rpc_writer.hpp"
#include "peer_authenticator.hpp"
#include "peer_incoming.hpp"
#include "peer_outgoing.hpp"

namespace jackdawvane {

namespace {

// Acknowledgements are sent at this interval; four fit into the sender's acknowledgement timeout
// even when two sweeps are late.
constexpr auto sweep_interval = std::chrono::milliseconds{200};
constexpr std::size_t datagram_limit = 60000; // bytes
constexpr std::size_t incoming_limit = 4096;  // connections
constexpr auto summary_interval = std::chrono::seconds{1};

std::chrono::microseconds microseconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                                 start);
}

} // namespace

class peer_port_adapter::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, const peer_port_settings& settings,
                   event_sink sink);

    void start();
    void stop();
    void send(const send_to_peer& request);
    [[nodiscard]] endpoint local_endpoint() const {
        return detail::from_asio(acceptor_.local_endpoint());
    }
    [[nodiscard]] peer_traffic& traffic() noexcept { return traffic_; }

  private:
    struct received {
        peer_channel channel;
        std::size_t bytes;
    };

    [[nodiscard]] std::string authenticated_text(const peer_message& message);
    void send_line(const send_to_peer& request, std::string line);
    void send_datagram(const send_to_peer& request, const std::string& text);
    std::shared_ptr<detail::peer_outgoing> channel_to(const send_to_peer& request);
    void on_channel_closed(const vm_id& vm, const detail::peer_outgoing* channel, bool lost);
    bool receive_message(std::string_view message, peer_channel channel);
    void handle_notification(const std::string& method, const Json::Value& params);
    void accept();
    void receive_datagram();
    void sweep();
    void log_summary(std::chrono::steady_clock::time_point now);

    boost::asio::io_context& context_;
    peer_port_settings settings_;
    event_sink sink_;
    detail::peer_authenticator authenticator_;
    detail::json_rpc_reader reader_;
    peer_traffic traffic_;
    std::chrono::steady_clock::time_point next_summary_{};
    detail::tcp_acceptor acceptor_;
    detail::udp_socket datagrams_;
    detail::steady_timer sweep_timer_;
    std::map<vm_id, std::shared_ptr<detail::peer_outgoing>> outgoing_;
    std::unordered_set<std::shared_ptr<detail::peer_incoming>> incoming_;
    std::array<char, 65536> datagram_{};
    detail::udp::endpoint datagram_source_;
    received current_{};
    std::string text_;
    const char* method_{""}; ///< Of the message that was received last.
    bool decoded_{false};
    bool stopped_{false};
};

peer_port_adapter::implementation::implementation(boost::asio::io_context& context,
                                                  const peer_port_settings& settings,
                                                  event_sink sink)
    : context_{context}, settings_{settings}, sink_{std::move(sink)},
      authenticator_{settings.secret}, reader_{[this](const std::string& method,
                                                      const Json::Value& params) {
          handle_notification(method, params);
      }},
      traffic_{settings.region}, acceptor_{detail::listen_on(context, settings.listen)},
      datagrams_{context.get_executor(),
                 detail::to_asio<detail::udp>(detail::from_asio(acceptor_.local_endpoint()))},
      sweep_timer_{context.get_executor()} {}

void peer_port_adapter::implementation::start() {
    datagrams_.non_blocking(true);
    accept();
    receive_datagram();
    sweep();
}

void peer_port_adapter::implementation::stop() {
    stopped_ = true;
    detail::error_code ignored;
    acceptor_.close(ignored);
    datagrams_.close(ignored);
    sweep_timer_.cancel();
    for (const auto& [vm, channel] : outgoing_) {
        channel->discard();
    }
    for (const auto& channel : incoming_) {
        channel->discard();
    }
    outgoing_.clear();
    incoming_.clear();
}

std::string peer_port_adapter::implementation::authenticated_text(const peer_message& message) {
    Json::Value params{Json::objectValue};
    params["from"] = settings_.self.str();
    params["incarnation"] = to_json(settings_.incarnation);
    params["body"] = encode(message);
    return authenticator_.add_mac(detail::write_notification(method_of(message), params));
}

void peer_port_adapter::implementation::send(const send_to_peer& request) {
    traffic_.update_regions(request.message);
    const auto started = std::chrono::steady_clock::now();
    auto text = authenticated_text(request.message);
    traffic_.add_work(peer_traffic::direction::sent, method_of(request.message),
                      microseconds_since(started));
    if (request.channel == peer_channel::stream) {
        send_line(request, std::move(text));
    } else {
        send_datagram(request, text);
    }
}

void peer_port_adapter::implementation::send_line(const send_to_peer& request, std::string line) {
    line += '\n';
    traffic_.add(peer_traffic::direction::sent, peer_channel::stream, method_of(request.message),
                 request.vm, line.size());
    const auto channel = channel_to(request);
    channel->send(line);
    traffic_.note_queue(channel->queued_bytes());
}

std::shared_ptr<detail::peer_outgoing>
peer_port_adapter::implementation::channel_to(const send_to_peer& request) {
    auto& channel = outgoing_[request.vm];
    if (channel && channel->remote() == request.endpoint) {
        return channel;
    }
    if (channel) {
        channel->discard(); // The VM was replaced by one with another address.
    }
    channel = std::make_shared<detail::peer_outgoing>(context_, request.endpoint);
    const std::weak_ptr<implementation> weak = weak_from_this();
    channel->on_closed([weak, vm = request.vm, identity = channel.get()](bool lost) {
        if (const auto self = weak.lock()) {
            self->on_channel_closed(vm, identity, lost);
        }
    });
    channel->open(settings_.local_address);
    return channel;
}

void peer_port_adapter::implementation::on_channel_closed(const vm_id& vm,
                                                          const detail::peer_outgoing* channel,
                                                          bool lost) {
    const auto found = outgoing_.find(vm);
    if (found != outgoing_.end() && found->second.get() == channel) {
        outgoing_.erase(found);
    }
    if (lost) {
        sink_(peer_disconnected{vm});
    }
}

void peer_port_adapter::implementation::send_datagram(const send_to_peer& request,
                                                      const std::string& text) {
    detail::error_code failure;
    const auto address = boost::asio::ip::make_address(request.endpoint.address, failure);
    if (failure || text.size() > datagram_limit) {
        return; // Datagrams are unreliable: the sender repeats them or tolerates the loss.
    }
    traffic_.add(peer_traffic::direction::sent, peer_channel::datagram, method_of(request.message),
                 request.vm, text.size());
    datagrams_.send_to(boost::asio::buffer(text), {address, request.endpoint.port}, 0, failure);
}

bool peer_port_adapter::implementation::receive_message(std::string_view message,
                                                        peer_channel channel) {
    const auto text = authenticator_.verify(message);
    if (!text) {
        traffic_.add_drop(peer_drop_reason::wrong_mac);
        return false;
    }
    const auto started = std::chrono::steady_clock::now();
    text_.assign(*text);
    current_ = {channel, message.size()};
    decoded_ = false;
    if (!reader_.read(text_) || !decoded_) {
        traffic_.add_drop(peer_drop_reason::malformed);
    } else {
        traffic_.add_work(peer_traffic::direction::received, method_, microseconds_since(started));
    }
    return true;
}

void peer_port_adapter::implementation::handle_notification(const std::string& method,
                                                            const Json::Value& params) {
    const auto& from = params["from"];
    const auto& incarnation = params["incarnation"];
    if (!from.isString() || !incarnation.isUInt64()) {
        return;
    }
    auto message = decode_peer_message(method, params["body"]);
    if (!message) {
        return;
    }
    decoded_ = true;
    peer_received arrived{vm_id{from.asString()}, vm_incarnation{incarnation.asUInt64()},
                          std::move(message).value()};
    method_ = method_of(arrived.message);
    traffic_.update_regions(arrived.message);
    traffic_.add(peer_traffic::direction::received, current_.channel, method_of(arrived.message),
                 arrived.from, current_.bytes);
    sink_(std::move(arrived));
}

void peer_port_adapter::implementation::accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](detail::error_code failure, detail::tcp_socket socket) {
            if (self->stopped_) {
                return;
            }
            if (!failure && self->incoming_.size() < incoming_limit) {
                const std::weak_ptr<implementation> weak = self;
                const auto channel = std::make_shared<detail::peer_incoming>(
                    std::move(socket),
                    [weak](std::string_view line) {
                        const auto owner = weak.lock();
                        return owner && owner->receive_message(line, peer_channel::stream);
                    },
                    [weak](const std::shared_ptr<detail::peer_incoming>& closed) {
                        if (const auto owner = weak.lock()) {
                            owner->incoming_.erase(closed);
                        }
                    });
                self->incoming_.insert(channel);
                channel->start();
            }
            self->accept();
        });
}

void peer_port_adapter::implementation::receive_datagram() {
    datagrams_.async_receive_from(
        boost::asio::buffer(datagram_), datagram_source_,
        [self = shared_from_this()](detail::error_code failure, std::size_t size) {
            if (self->stopped_) {
                return;
            }
            if (!failure) {
                self->receive_message({self->datagram_.data(), size}, peer_channel::datagram);
            }
            self->receive_datagram();
        });
}

void peer_port_adapter::implementation::sweep() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([weak = weak_from_this()](detail::error_code failure) {
        const auto self = weak.lock();
        if (failure || !self || self->stopped_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto outgoing = self->outgoing_;
        for (const auto& [vm, channel] : outgoing) {
            channel->sweep(now);
        }
        const auto incoming = self->incoming_;
        for (const auto& channel : incoming) {
            channel->sweep(now);
        }
        self->log_summary(now);
        self->sweep();
    });
}

void peer_port_adapter::implementation::log_summary(std::chrono::steady_clock::time_point now) {
    if (!settings_.log || now < next_summary_) {
        return;
    }
    next_summary_ = now + summary_interval;
    if (auto text = traffic_.configuration_summary(); !text.empty()) {
        settings_.log(std::move(text));
    }
}

peer_port_adapter::peer_port_adapter(boost::asio::io_context& context,
                                     const peer_port_settings& settings, event_sink sink)
    : implementation_{std::make_shared<implementation>(context, settings, std::move(sink))} {
    implementation_->start();
}

peer_port_adapter::~peer_port_adapter() {
    implementation_->stop();
}

void peer_port_adapter::send(const send_to_peer& request) {
    implementation_->send(request);
}

endpoint peer_port_adapter::local_endpoint() const {
    return implementation_->local_endpoint();
}

peer_traffic& peer_port_adapter::traffic() noexcept {
    return implementation_->traffic();
}

} // namespace jackdawvane
