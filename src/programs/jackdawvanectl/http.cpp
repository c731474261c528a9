#include "programs/jackdawvanectl/http.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace jackdawvane::ctl {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

/// Largest accepted response body: twice what the store's answer needs for a document of 1 MB,
/// which is embedded as a JSON string.
constexpr std::uint64_t max_answer_bytes = 4'000'000;

/// @brief One HTTP request on its own connection.
///
/// Uses asynchronous operations, because Beast applies `expires_after` only to these.
class http_exchange {
  public:
    http_exchange(const endpoint& remote, http::request<http::string_body> request)
        : remote_{boost::asio::ip::make_address(remote.address), remote.port}, request_{std::move(
                                                                                   request)} {
        parser_.body_limit(max_answer_bytes);
    }

    beast::error_code run(duration timeout) {
        stream_.expires_after(timeout);
        stream_.async_connect(remote_, [this](beast::error_code failure) {
            if (!succeeded(failure)) {
                return;
            }
            http::async_write(stream_, request_,
                              [this](beast::error_code write_failure, std::size_t) {
                                  if (succeeded(write_failure)) {
                                      read();
                                  }
                              });
        });
        context_.run();
        return error_;
    }
    [[nodiscard]] const http::response<http::string_body>& answer() const { return parser_.get(); }

  private:
    bool succeeded(beast::error_code failure) {
        error_ = failure;
        return !failure;
    }
    void read() {
        http::async_read(stream_, buffer_, parser_,
                         [this](beast::error_code failure, std::size_t) { succeeded(failure); });
    }

    boost::asio::io_context context_{1};
    beast::tcp_stream stream_{context_};
    boost::asio::ip::tcp::endpoint remote_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    beast::error_code error_;
};

} // namespace

result<std::string> send_request(const endpoint& remote, const std::string& method,
                                 const std::string& target, const std::string& body,
                                 duration timeout) {
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, remote.address + ":" + std::to_string(remote.port));
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    const auto url = remote.address + ":" + std::to_string(remote.port) + target;
    try {
        http_exchange run{remote, std::move(request)};
        if (const auto failure = run.run(timeout)) {
            return error{error_kind::store_unavailable, url + ": " + failure.message(), {}};
        }
        if (run.answer().result() != http::status::ok) {
            return error{error_kind::store_unavailable,
                         url + " answers " + std::to_string(run.answer().result_int()),
                         {}};
        }
        return run.answer().body();
    } catch (const boost::system::system_error& exception) {
        return error{error_kind::store_unavailable, url + ": " + exception.what(), {}};
    }
}

} // namespace jackdawvane::ctl
