#include "jackdawvane/adapters/http_call_pool.hpp"

#include <utility>

#include <memory>
#include <string>

#include "loopback.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using boost::asio::ip::tcp;

/// Server that answers every request without a body and counts its connections.
class counting_server {
  public:
    explicit counting_server(boost::asio::io_context& context)
        : acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}} {
        accept();
    }
    [[nodiscard]] endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    [[nodiscard]] int connections() const { return connections_; }

  private:
    struct connection {
        tcp::socket socket;
        std::string request{};
    };

    void accept() {
        acceptor_.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
            if (!failure) {
                ++connections_;
                answer(std::make_shared<connection>(connection{std::move(socket)}));
                accept();
            }
        });
    }
    void answer(std::shared_ptr<connection> client) {
        boost::asio::async_read_until(
            client->socket, boost::asio::dynamic_buffer(client->request), "\r\n\r\n",
            [this, client](boost::system::error_code failure, std::size_t /*size*/) {
                if (!failure) {
                    client->request.clear();
                    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    boost::asio::write(client->socket, boost::asio::buffer(reply), failure);
                    answer(client);
                }
            });
    }

    tcp::acceptor acceptor_;
    int connections_{0};
};

struct connection_case {
    const char* name;
    bool connection_per_call;
    int connections;
};

class HttpCallPool : public testing::TestWithParam<connection_case> {};

/// Guards against a promotion call on a connection from before a network partition: it arrived when
/// the partition ended, after that of the next coordinator (review/found/stale_promote.sh).
TEST_P(HttpCallPool, OpensAConnectionForEachCallIfSet) {
    boost::asio::io_context context;
    counting_server server{context};
    http_call_pool_settings settings;
    settings.remote = server.address();
    settings.connection_per_call = GetParam().connection_per_call;
    http_call_pool pool{context, settings};
    for (int calls = 1; calls <= 3; ++calls) {
        unsigned status = 0;
        pool.submit({"POST", "/", {}, {}}, [&](const result<http_answer>& answer) {
            status = answer ? answer.value().status : 1;
        });
        ASSERT_TRUE(loopback::run_until(context, [&] { return status != 0; }));
        EXPECT_EQ(status, 200U);
    }
    EXPECT_EQ(server.connections(), GetParam().connections);
}

INSTANTIATE_TEST_SUITE_P(Adapters, HttpCallPool,
                         testing::Values(connection_case{"persistent", false, 1},
                                         connection_case{"per_call", true, 3}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
