#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

class http_client;

/// @brief Settings of the connections to the store.
struct store_port_settings {
    endpoint store;
    std::string local_address;                      ///< Source IP number; empty for any.
    duration call_timeout{std::chrono::seconds{2}}; ///< Besides the call's own `wait`.
    std::size_t connection_limit{8};
    std::size_t queue_limit{256}; ///< Calls that wait for a connection.
};

/// @brief Calls to the platform's store over a bounded pool of HTTP connections.
///
/// A call is sent at most once, because a write whose answer was lost may have taken effect.
class store_port_adapter final : public store_port {
  public:
    store_port_adapter(boost::asio::io_context& context, store_port_settings settings,
                       event_sink sink);
    store_port_adapter(const store_port_adapter&) = delete;
    store_port_adapter& operator=(const store_port_adapter&) = delete;
    store_port_adapter(store_port_adapter&&) = delete;
    store_port_adapter& operator=(store_port_adapter&&) = delete;
    ~store_port_adapter() override;

    void call(const store_request& request) override;

    /// @brief Calls that were put on a connection so far.
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }
    /// @brief Calls that ended as `unavailable` so far.
    [[nodiscard]] std::uint64_t failures() const noexcept { return failures_; }

  private:
    struct worker;
    struct pending_call;

    void start_next(worker& idle);
    void open(worker& idle);
    void run(worker& busy);
    void finish(worker& busy, const store_answer& answer);
    void drop_connection(worker& broken);
    void answer_unavailable(request_id id);

    boost::asio::io_context& context_;
    store_port_settings settings_;
    event_sink sink_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::deque<pending_call> waiting_;
    std::uint64_t calls_{0};
    std::uint64_t failures_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace jackdawvane
