#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <string>

#include <json/json.h>

namespace jackdawvane::detail {

/// @brief Reads JSON-RPC 2.0 notifications of the peer methods.
class json_rpc_reader {
  public:
    using handler = std::function<void(const std::string& method, const Json::Value& params)>;

    /// @param on_notification called for each well-formed notification of a known method
    explicit json_rpc_reader(handler on_notification);
    json_rpc_reader(const json_rpc_reader&) = delete;
    json_rpc_reader& operator=(const json_rpc_reader&) = delete;
    json_rpc_reader(json_rpc_reader&&) = delete;
    json_rpc_reader& operator=(json_rpc_reader&&) = delete;
    ~json_rpc_reader();

    /// @brief Reads one message.
    /// @return whether it was a well-formed notification of a known method
    bool read(const std::string& text);

  private:
    class dispatcher;
    std::unique_ptr<dispatcher> dispatcher_;
};

} // namespace jackdawvane::detail
