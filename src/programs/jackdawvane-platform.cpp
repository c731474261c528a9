#include "standins/common/program.hpp"
#include "standins/jackdawvane-platform/platform_server.hpp"

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
    return serve_settings_file<platform_settings, platform_server>("jackdawvane-platform", usage,
                                                                   argc, argv);
}
