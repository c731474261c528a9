#include "standins/common/program.hpp"
#include "standins/jackdawvane-platform/platform_server.hpp"
#include <docopt/docopt.h>

namespace {

constexpr const char* usage = R"(The platform's store and VM list, for tests of jackdawvane.

Usage:
  jackdawvane-platform --settings FILE
  jackdawvane-platform (-h | --help)
  jackdawvane-platform --version

Options:
  --settings FILE  Settings file, JSON with comments.
  -h --help        Show this text.
  --version        Show the version.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace jackdawvane::standin;
    return guarded_main("jackdawvane-platform", [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text);
        const auto settings = read_settings<platform_settings>(options["--settings"].asString());
        asio::io_context io{1};
        platform_server server{io, settings};
        run_until_signal(io);
        return 0;
    });
}
