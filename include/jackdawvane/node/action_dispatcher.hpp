#pragma once

#include "jackdawvane/node/ports.hpp"

namespace jackdawvane {

/// @brief Receives log lines and measurements.
class diagnostics_port {
  public:
    diagnostics_port() = default;
    diagnostics_port(const diagnostics_port&) = delete;
    diagnostics_port& operator=(const diagnostics_port&) = delete;
    diagnostics_port(diagnostics_port&&) = delete;
    diagnostics_port& operator=(diagnostics_port&&) = delete;
    virtual ~diagnostics_port() = default;

    virtual void log(const log_record& line) = 0;
    virtual void measure(const measurement& value) = 0;
};

/// @brief The ports of a host.
struct port_set {
    caller_port& callers;
    backend_port& backends;
    store_port& store;
    peer_port& peers;
    diagnostics_port& diagnostics;
};

/// @brief Passes the actions of a node to the ports of its host.
class action_dispatcher {
  public:
    /// @param ports ports of the host; must outlive the dispatcher
    explicit action_dispatcher(port_set ports) noexcept : ports_{ports} {}

    /// @brief Executes the actions of @a batch in order.
    void dispatch(const actions& batch);

    /// @brief Whether a `stopped` action has been dispatched.
    [[nodiscard]] bool stopped() const noexcept { return stopped_; }

  private:
    struct visitor;

    port_set ports_;
    bool stopped_{false};
};

} // namespace jackdawvane
