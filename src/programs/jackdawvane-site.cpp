#include "standins/common/program.hpp"
#include "standins/jackdawvane-site/site_server.hpp"
#include <docopt/docopt.h>

namespace {

constexpr const char* usage =
    R"(The users' platform with its backend servers, for tests of jackdawvane-entry.

Usage:
  jackdawvane-site --settings FILE
  jackdawvane-site (-h | --help)
  jackdawvane-site --version

Options:
  --settings FILE  Settings file, JSON with comments.
  -h --help        Show this text.
  --version        Show the version.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace jackdawvane::standin;
    return guarded_main("jackdawvane-site", [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text);
        const auto settings = read_settings<site_settings>(options["--settings"].asString());
        asio::io_context io{1};
        site_server server{io, settings};
        run_until_signal(io);
        return 0;
    });
}
