#include "standins/common/program.hpp"
#include "standins/jackdawvane-link/link_server.hpp"

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
    return serve_settings_file<link_settings, link_server>("jackdawvane-link", usage, argc, argv);
}
