#include "jackdawvane/adapters/settings_reader.hpp"
#include "jackdawvane/foundation/code_version.hpp"
#include "jackdawvane/node/node.hpp"

#include <utility>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include "jackdawvaned/daemon.hpp"
#include "jackdawvaned/daemon_settings.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

namespace {

constexpr auto usage = R"(jackdawvaned: entry daemon of the jackdawvane database proxy.

Usage:
  jackdawvaned --settings FILE [--check]
  jackdawvaned (-h | --help)
  jackdawvaned --version

Options:
  --settings FILE  Settings, JSON with comments.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

SIGTERM or SIGINT stops gracefully; a second signal exits at once.
)";
constexpr int exit_invalid_settings = 2;
constexpr int exit_second_signal = 3;

int run(const jackdawvane::daemon_settings& settings) {
    boost::asio::io_context context{1};
    jackdawvane::entry_daemon daemon{context, settings, jackdawvane::make_node};
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    int result = EXIT_SUCCESS;
    signals.async_wait([&](boost::system::error_code, int) {
        daemon.stop();
        signals.async_wait([&](boost::system::error_code, int) {
            result = exit_second_signal;
            context.stop();
        });
    });
    context.run();
    return result;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto arguments =
            docopt::docopt(usage, {argv + 1, argv + argc}, true,
                           std::string{"jackdawvaned "} + jackdawvane::code_version());
        const auto file = arguments.at("--settings").asString();
        jackdawvane::settings_problems problems;
        const auto settings =
            jackdawvane::read_settings_file<jackdawvane::daemon_settings>(file, problems);
        if (!settings) {
            std::cerr << jackdawvane::describe_problems(file, problems);
            return exit_invalid_settings;
        }
        return arguments.at("--check").asBool() ? EXIT_SUCCESS : run(*settings);
    } catch (const std::exception& problem) {
        std::cerr << "jackdawvaned: " << problem.what() << '\n';
        return EXIT_FAILURE;
    }
}
