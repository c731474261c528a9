#include "standins/common/program.hpp"
#include "standins/jackdawvane-site/site_server.hpp"

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
    return serve_settings_file<site_settings, site_server>("jackdawvane-site", usage, argc, argv);
}
