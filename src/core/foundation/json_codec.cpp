#include "jackdawvane/foundation/json_codec.hpp"

#include <charconv>
#include <memory>
#include <sstream>

namespace jackdawvane {

std::string write_json(const Json::Value& json) {
    // Reused, because building a writer or reader takes a tenth of the time of a typical message.
    thread_local const auto writer = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>{settings.newStreamWriter()};
    }();
    std::ostringstream text;
    writer->write(json, &text);
    return std::move(text).str();
}

result<Json::Value> parse_json(std::string_view text) {
    thread_local const auto reader = [] {
        Json::CharReaderBuilder settings;
        settings["allowComments"] = true;
        settings["collectComments"] = false;
        settings["failIfExtra"] = true;
        settings["rejectDupKeys"] = true;
        // With the default of 1000, nested input from the network could use much of the stack.
        settings["stackLimit"] = 64;
        return std::unique_ptr<Json::CharReader>{settings.newCharReader()};
    }();
    Json::Value value;
    std::string problems;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &problems)) {
            return value;
        }
    } catch (const Json::Exception& exception) {
        problems = exception.what();
    }
    return error{error_kind::malformed_request, "not valid JSON: " + problems, {}};
}

std::string detail::join_path(std::string path, std::string_view name) {
    if (!path.empty()) {
        path += '.';
    }
    return path.append(name);
}

void detail::json_traits<endpoint>::decode(const Json::Value& json, endpoint& value,
                                           const std::string& path, decode_problems& problems) {
    const auto text = json.isString() ? json.asString() : std::string{};
    const auto colon = text.rfind(':');
    const char* const end = text.data() + text.size();
    std::uint16_t port{0};
    const bool has_port =
        colon != std::string::npos && colon > 0 &&
        std::from_chars(text.data() + colon + 1, end, port) == std::from_chars_result{end, {}};
    if (!has_port || port == 0) {
        add_problem(problems, path, "must be ADDRESS:PORT with an IP address", json);
        return;
    }
    value = endpoint{text.substr(0, colon), port};
}

} // namespace jackdawvane
