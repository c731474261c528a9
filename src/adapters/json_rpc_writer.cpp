#include "json_rpc_writer.hpp"

#include <jsonrpccpp/client.h>

namespace jackdawvane {
namespace detail {

namespace {

/// Captures the text that the client would send, because libjsonrpccpp's transport is not used.
class text_capture : public jsonrpc::IClientConnector {
  public:
    void SendRPCMessage(const std::string& message,
                        std::string& /*result*/) throw(jsonrpc::JsonRpcException) override {
        text = message;
    }

    std::string text;
};

} // namespace

std::string write_notification(const std::string& method, const Json::Value& params) {
    text_capture capture;
    jsonrpc::Client client{capture, jsonrpc::JSONRPC_CLIENT_V2};
    client.CallNotification(method, params);
    while (!capture.text.empty() && capture.text.back() == '\n') {
        capture.text.pop_back();
    }
    return capture.text;
}

} // namespace detail
} // namespace jackdawvane
