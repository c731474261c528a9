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

/// Largest answer: a document of 1 MB as a JSON string within the store's answer, twice over.
constexpr std::uint64_t body_limit = 4'000'000;

/// One request on its own connection. Only the asynchronous calls of Beast obey the timeout.
class exchange_run {
  public:
    exchange_run(const endpoint& remote, http::request<http::string_body> request)
        : remote_{boost::asio::ip::make_address(remote.address), remote.port}, request_{std::move(
                                                                                   request)} {
        parser_.body_limit(body_limit);
    }

    beast::error_code run(duration timeout) {
        stream_.expires_after(timeout);
        stream_.async_connect(remote_, [this](beast::error_code failed) {
            if (!proceed(failed)) {
                return;
            }
            http::async_write(stream_, request_, [this](beast::error_code wrong, std::size_t) {
                if (proceed(wrong)) {
                    read();
                }
            });
        });
        context_.run();
        return error_;
    }
    [[nodiscard]] const http::response<http::string_body>& answer() const { return parser_.get(); }

  private:
    bool proceed(beast::error_code failed) {
        error_ = failed;
        return !failed;
    }
    void read() {
        http::async_read(stream_, buffer_, parser_,
                         [this](beast::error_code failed, std::size_t) { proceed(failed); });
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

result<std::string> exchange(const endpoint& remote, const std::string& method,
                             const std::string& target, const std::string& body, duration timeout) {
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, remote.address + ":" + std::to_string(remote.port));
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    const auto where = remote.address + ":" + std::to_string(remote.port) + target;
    try {
        exchange_run run{remote, std::move(request)};
        if (const auto failed = run.run(timeout)) {
            return error{error_kind::store_unavailable, where + ": " + failed.message(), {}};
        }
        if (run.answer().result() != http::status::ok) {
            return error{error_kind::store_unavailable,
                         where + " answers " + std::to_string(run.answer().result_int()),
                         {}};
        }
        return run.answer().body();
    } catch (const boost::system::system_error& wrong) {
        return error{error_kind::store_unavailable, where + ": " + wrong.what(), {}};
    }
}

} // namespace jackdawvane::ctl
