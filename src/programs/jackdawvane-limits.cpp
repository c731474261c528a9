#include "jackdawvane/foundation/code_version.hpp"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "programs/jackdawvane-limits/study.hpp"
#include <docopt/docopt.h>

namespace {

using namespace jackdawvane;

constexpr const char* usage =
    R"(Compares ways to enforce fleet-wide rates under the same seeded load, in virtual time.

Usage:
  jackdawvane-limits [--seed N] [--runs N] [--only NAME] [--json FILE]
  jackdawvane-limits --help | --version

Options:
  --seed N     Seed of the first run [default: 1].
  --runs N     Runs per scenario, with consecutive seeds [default: 3].
  --only NAME  Only this mechanism, for example escrow.
  --json FILE  Also write all runs as a JSON list.
  --help       Show this text.
  --version    Show the version.
)";

void print_heading(const limits::scenario& scenario) {
    std::printf("\n%s\n%-17s %5s %10s %9s %8s %9s %8s %8s %8s %8s\n", scenario.name.c_str(),
                "mechanism", "seed", "wrongful%", "overshoot", "worst", "overload", "waited%",
                "store/s", "msg/s/VM", "B/s/VM");
}

void print_row(const limits::measurement& result) {
    std::printf("%-17s %5llu %10.3f %9.2f %8.4f %9.4f %8.2f %8.1f %8.2f %8.0f\n",
                result.mechanism.c_str(), static_cast<unsigned long long>(result.seed),
                result.wrongful_percent, result.overshoot, result.worst_served,
                result.overloaded_served, result.waited_percent, result.store_calls_per_second,
                result.messages_per_second, result.bytes_per_second);
}

std::vector<limits::measurement> run_all(std::uint64_t seed, std::uint64_t runs,
                                         const std::string& only) {
    std::vector<limits::measurement> all;
    for (const auto& scenario : limits::all_scenarios()) {
        print_heading(scenario);
        for (const auto& subject : limits::all_mechanisms()) {
            for (std::uint64_t i = 0; i < runs && (only.empty() || only == subject.name); ++i) {
                all.push_back(limits::run_study(scenario, subject, seed + i));
                print_row(all.back());
            }
        }
    }
    return all;
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true,
                       std::string{"jackdawvane-limits "} + jackdawvane::code_version());
    std::uint64_t seed{0};
    std::uint64_t runs{0};
    try {
        seed = std::stoull(arguments.at("--seed").asString());
        runs = std::stoull(arguments.at("--runs").asString());
    } catch (const std::exception&) {
        std::cerr << "--seed and --runs must be whole numbers; see --help\n";
        return 2;
    }
    const auto& only = arguments.at("--only");
    const auto all = run_all(seed, runs, only ? only.asString() : "");
    if (const auto& file = arguments.at("--json")) {
        std::ofstream out{file.asString()};
        out << write_json(to_json(all)) << '\n';
        if (!out.flush()) {
            std::cerr << "cannot write " << file.asString() << "; choose another file\n";
            return 1;
        }
    }
    return 0;
}
