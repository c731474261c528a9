#pragma once

#include "jackdawvane/foundation/code_version.hpp"
#include "jackdawvane/foundation/json_codec.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>

#include "standins/common/asio.hpp"
#include <docopt/docopt.h>

namespace jackdawvane::standin {

/// @brief Version that all stand-in programs print.
[[nodiscard]] inline std::string version_text() {
    return std::string{"jackdawvane "} + code_version();
}

/// @brief Writes the line with which the program @a name starts.
inline void log_start(const char* name) {
    std::clog << "[program] start name=" << name << " version=" << code_version() << std::endl;
}

/// @brief Parses @a text (JSON with comments) as @a Settings.
/// @throws std::runtime_error that names the invalid key
template <class Settings>
[[nodiscard]] Settings parse_settings(const std::string& text) {
    const auto json = parse_json(text);
    if (!json) {
        throw std::runtime_error{json.error().message()};
    }
    auto settings = from_json<Settings>(json.value());
    if (!settings) {
        throw std::runtime_error{settings.error().message()};
    }
    return std::move(settings).value();
}

/// @brief Reads @a Settings from the file @a path.
/// @throws std::runtime_error when the file cannot be read or a key is invalid
template <class Settings>
[[nodiscard]] Settings read_settings(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        throw std::runtime_error{"cannot read settings file " + path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings<Settings>(text.str());
}

/// @brief Runs @a io until SIGINT or SIGTERM.
inline void run_until_signal(asio::io_context& io) {
    asio::signal_set signals{io, SIGINT, SIGTERM};
    signals.async_wait([&io](const error_code&, int) { io.stop(); });
    io.run();
}

/// @brief Runs @a body; prints an exception to standard error and returns exit status 1.
template <class Body>
int guarded_main(const char* name, Body&& body) {
    try {
        return body();
    } catch (const std::exception& failure) {
        std::cerr << name << ": " << failure.what() << '\n';
        return 1;
    }
}

/// @brief Main function of a program that runs a @a Server configured by a settings file until
/// SIGINT or SIGTERM.
/// @param usage docopt text with the option `--settings FILE`
template <class Settings, class Server>
int serve_settings_file(const char* name, const char* usage, int argc, char** argv) {
    return guarded_main(name, [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text());
        const auto settings = read_settings<Settings>(options["--settings"].asString());
        log_start(name);
        asio::io_context io{1};
        Server server{io, settings};
        run_until_signal(io);
        return 0;
    });
}

} // namespace jackdawvane::standin
