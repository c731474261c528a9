#include <fstream>

#include "standins/common/program.hpp"
#include "standins/jackdawvane-load/direct_run.hpp"
#include "standins/jackdawvane-load/load_run.hpp"
#include <docopt/docopt.h>

namespace {

using namespace jackdawvane;
using namespace jackdawvane::standin;

constexpr const char* usage = R"(Load generator, checker and measurement tool of jackdawvane.

Usage:
  jackdawvane-load run --settings FILE [--output FILE] [--fault-at MS]...
  jackdawvane-load direct --settings FILE [--output FILE]
  jackdawvane-load (-h | --help)
  jackdawvane-load --version

Commands:
  run     Load with several organisations, checks and measurements.
  direct  The same request to a backend server and through the proxy, in pairs.

Options:
  --settings FILE  Settings file, JSON with comments.
  --output FILE    Write the results as JSON.
  --fault-at MS    Instant of a fault after the start, for the failover gap.
  -h --help        Show this text.
  --version        Show the version.

The exit status of run is 2 when a check failed.
)";

using option_values = std::map<std::string, docopt::value>;

constexpr int exit_checks_failed = 2;

template <class Work>
Json::Value run_to_completion(asio::io_context& io, Work work) {
    Json::Value results;
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr exception, Json::Value value) {
        failure = std::move(exception);
        results = std::move(value);
        io.stop();
    });
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return results;
}

bool has_failed_check(const Json::Value& results) {
    bool failed = !results["violations"].empty();
    for (const auto* check : {"acknowledged_but_missing", "not_run_but_run", "run_twice"}) {
        failed = failed || results["orders"][check]["count"].asUInt64() > 0;
    }
    for (const auto& backend : results["backends"]) {
        failed = failed || (backend.isObject() && backend["interleavings"].asUInt64() > 0);
    }
    return failed;
}

Json::Value run_load(asio::io_context& io, option_values& options) {
    load_run load{io, read_settings<load_settings>(options["--settings"].asString())};
    for (const auto& after : options["--fault-at"].asStringList()) {
        load.add_mark(milliseconds{std::stol(after)});
    }
    auto results = run_to_completion(io, load.run());
    std::cout << results_table(results);
    return results;
}

Json::Value run_comparison(asio::io_context& io, option_values& options) {
    auto settings = read_settings<direct_settings>(options["--settings"].asString());
    auto results = run_to_completion(io, run_direct(io, std::move(settings)));
    std::cout << results.toStyledString();
    return results;
}

} // namespace

int main(int argc, char** argv) {
    return guarded_main("jackdawvane-load", [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text());
        log_start("jackdawvane-load");
        asio::io_context io{1};
        const auto results =
            options["direct"].asBool() ? run_comparison(io, options) : run_load(io, options);
        if (options["--output"]) {
            std::ofstream{options["--output"].asString()} << results.toStyledString();
        }
        return has_failed_check(results) ? exit_checks_failed : 0;
    });
}
