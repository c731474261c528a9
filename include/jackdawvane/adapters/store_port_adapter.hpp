#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/adapters/http_call_pool.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/ports.hpp"

#include <cstdint>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

/// @brief Settings of the connections to the store.
struct store_port_settings {
    endpoint store;
    std::string local_address;                      ///< Source IP address; empty for any.
    duration call_timeout{std::chrono::seconds{2}}; ///< Added to the call's own `wait`.
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

    /// @brief Number of calls sent on a connection so far.
    [[nodiscard]] std::uint64_t calls() const noexcept { return pool_.calls(); }
    /// @brief Number of calls that ended as `unavailable` so far.
    [[nodiscard]] std::uint64_t failures() const noexcept { return failures_; }

  private:
    void handle_answer(request_id id, const result<http_answer>& received);

    store_port_settings settings_;
    event_sink sink_;
    http_call_pool pool_;
    std::uint64_t failures_{0};
};

} // namespace jackdawvane
