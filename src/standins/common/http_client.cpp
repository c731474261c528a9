#include "standins/common/http_client.hpp"

#include "jackdawvane/foundation/json_codec.hpp"

#include <boost/beast/http.hpp>

namespace jackdawvane::standin {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t max_response_bytes = std::uint64_t{256} * 1024 * 1024; // bytes

Json::Value body_json(const std::optional<http_reply>& reply) {
    if (!reply) {
        return {};
    }
    auto json = parse_json(reply->body);
    return json ? json.value() : Json::Value{};
}

} // namespace

http_client::http_client(asio::io_context& io, endpoint remote, std::string local)
    : io_{io}, remote_{std::move(remote)}, local_{std::move(local)} {}

awaitable<bool> http_client::connect(milliseconds timeout) {
    stream_.emplace(io_);
    buffer_.clear();
    error_code failed;
    auto& socket = stream_->socket();
    socket.open(tcp::v4(), failed);
    if (!failed && !local_.empty()) {
        socket.bind({asio::ip::make_address(local_), 0}, failed);
    }
    if (!failed) {
        stream_->expires_after(timeout);
        const tcp::endpoint remote{asio::ip::make_address(remote_.address), remote_.port};
        co_await stream_->async_connect(remote, returning(failed));
    }
    if (failed) {
        stream_.reset();
        co_return false;
    }
    socket.set_option(tcp::no_delay{true}, failed);
    co_return true;
}

awaitable<std::optional<http_reply>> http_client::request(std::string method, std::string target,
                                                          std::string body, milliseconds timeout,
                                                          header_fields fields) {
    if (!stream_ && !co_await connect(timeout)) {
        co_return std::nullopt;
    }
    http::request<http::string_body> message{http::string_to_verb(method), target, 11};
    message.set(http::field::host, remote_.address);
    message.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : fields) {
        message.set(name, value);
    }
    message.body() = std::move(body);
    message.prepare_payload();
    error_code failed;
    stream_->expires_after(timeout);
    co_await http::async_write(*stream_, message, returning(failed));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    if (!failed) {
        co_await http::async_read(*stream_, buffer_, parser, returning(failed));
    }
    if (failed) {
        stream_.reset();
        co_return std::nullopt;
    }
    auto answer = parser.release();
    if (!answer.keep_alive()) {
        stream_.reset();
    }
    http_reply reply{answer.result_int(), std::move(answer.body()), false};
    for (const auto& each : answer) {
        reply.fields[std::string{each.name_string()}] = std::string{each.value()};
    }
    co_return reply;
}

awaitable<Json::Value> http_client::post(std::string target, Json::Value json,
                                         milliseconds timeout) {
    co_return body_json(co_await request("POST", std::move(target), write_json(json), timeout));
}

awaitable<Json::Value> http_client::get(std::string target, milliseconds timeout) {
    co_return body_json(co_await request("GET", std::move(target), {}, timeout));
}

} // namespace jackdawvane::standin
