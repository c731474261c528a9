#include "standins/common/program.hpp"
#include "standins/jackdawvane-backend/backend_server.hpp"
#include <docopt/docopt.h>

namespace {

constexpr const char* usage = R"(Backend server of a database group, for tests of jackdawvane.

Usage:
  jackdawvane-backend --settings FILE [--record BYTES]
  jackdawvane-backend (-h | --help)
  jackdawvane-backend --version

Options:
  --settings FILE  Settings file, JSON with comments.
  --record BYTES   Keep this many received bytes for GET /inspect?record.
  -h --help        Show this text.
  --version        Show the version.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace jackdawvane::standin;
    return guarded_main("jackdawvane-backend", [&] {
        auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, version_text());
        auto settings = read_settings<backend_settings>(options["--settings"].asString());
        if (options["--record"]) {
            settings.record_bytes = static_cast<std::uint64_t>(options["--record"].asLong());
        }
        log_start("jackdawvane-backend");
        asio::io_context io{1};
        backend_server server{io, std::move(settings)};
        run_until_signal(io);
        return 0;
    });
}
