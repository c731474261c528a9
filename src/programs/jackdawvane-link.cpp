#include "standins/common/program.hpp"
#include "standins/jackdawvane-link/link_server.hpp"
#include <docopt/docopt.h>

namespace {

constexpr const char* usage =
    R"(Network relay with delays, bandwidth limits and cuts, for tests of jackdawvane.

Usage:
  jackdawvane-link --settings FILE
  jackdawvane-link (-h | --help)
  jackdawvane-link --version

Options:
  --settings FILE  Settings file, JSON with comments.
  -h --help        Show this text.
  --version        Show the version.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace jackdawvane::standin;
    return guarded_main("jackdawvane-link", [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text);
        const auto settings = read_settings<link_settings>(options["--settings"].asString());
        asio::io_context io{1};
        link_server server{io, settings};
        run_until_signal(io);
        return 0;
    });
}
