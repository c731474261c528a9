#include "json_rpc_reader.hpp"

#include "jackdawvane/node/peer.hpp"

#include <jsonrpccpp/server.h>

namespace jackdawvane::detail {

class json_rpc_reader::dispatcher final : public jsonrpc::IProcedureInvokationHandler {
  public:
    explicit dispatcher(handler on_notification)
        : on_notification_{std::move(on_notification)},
          protocol_{jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this)} {
        for (const auto& method : peer_methods()) {
            protocol_->AddProcedure(jsonrpc::Procedure{method, jsonrpc::PARAMS_BY_NAME, nullptr});
        }
    }

    // NOLINTNEXTLINE(readability-identifier-naming): named by libjsonrpccpp.
    void HandleMethodCall(jsonrpc::Procedure& /*proc*/, const Json::Value& /*input*/,
                          Json::Value& /*output*/) override {}

    // NOLINTNEXTLINE(readability-identifier-naming): named by libjsonrpccpp.
    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override {
        called_ = true;
        on_notification_(procedure.GetProcedureName(), input);
    }

    bool read(const std::string& text) {
        called_ = false;
        std::string unused_response;
        try {
            protocol_->HandleRequest(text, unused_response);
        } catch (const std::exception&) {
            return false; // jsoncpp throws when the nesting exceeds its limit.
        }
        return called_;
    }

  private:
    handler on_notification_;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
    bool called_{false};
};

json_rpc_reader::json_rpc_reader(handler on_notification)
    : dispatcher_{std::make_unique<dispatcher>(std::move(on_notification))} {}

json_rpc_reader::~json_rpc_reader() = default;

bool json_rpc_reader::read(const std::string& text) {
    return dispatcher_->read(text);
}

} // namespace jackdawvane::detail
