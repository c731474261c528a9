#include "json_rpc_writer.hpp"

#include <memory>
#include <sstream>

namespace jackdawvane::detail {

std::string write_notification(const std::string& method, const Json::Value& params) {
    // Texts of callers may contain bytes that are not UTF-8. libjsonrpccpp's client replaces them.
    thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>{settings.newStreamWriter()};
    }();
    Json::Value notification{Json::objectValue};
    notification["jsonrpc"] = "2.0";
    notification["method"] = method;
    notification["params"] = params;
    std::ostringstream text;
    writer->write(notification, &text);
    return text.str();
}

} // namespace jackdawvane::detail
