#include "jackdawvane/foundation/code_version.hpp"

#include <utility>

#include <cstdlib>
#include <iostream>

#include "programs/jackdawvanectl/commands.hpp"
#include <docopt/docopt.h>

namespace {

constexpr const char* usage = R"(Operator's tool of jackdawvane: configuration, keys and status.

Usage:
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] get [TABLE [ROW]]
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] apply FILE
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] check FILE
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] history
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] undo REVISION
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] key give ORGANISATION [--label TEXT]
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] key withdraw KEY
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] status
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] where REVISION
  jackdawvanectl --store ADDRESS:PORT [--operator NAME] settle EDIT
  jackdawvanectl (-h | --help)
  jackdawvanectl --version

Options:
  --store ADDRESS:PORT  The platform's store.
  --operator NAME       Name that the edit carries; the environment's USER without it.
  --label TEXT          Note on the key, for example the office that uses it.
  -h --help             Show this text.
  --version             Show the version.

FILE is JSON with comments: tables (routes, pools, organisations, keys) of rows to set as a
whole; null deletes a row. TABLE is one of these tables. KEY is a key or its digest, EDIT the id of an
edit.

Exit codes: 0 done, 1 not accepted or not found, 2 wrong usage or mistakes in a file,
3 unsettled (ask later with settle), 4 the store does not answer, 5 a revision is not in force
everywhere.
)";

using namespace jackdawvane;
using namespace jackdawvane::ctl;
using arguments = std::map<std::string, docopt::value>;

std::string option_text(arguments& args, const char* name) {
    return args[name] ? args[name].asString() : std::string{};
}

revision revision_argument(arguments& args) {
    return revision{static_cast<std::uint64_t>(args["REVISION"].asLong())};
}

struct subcommand {
    const char* name;
    exit_code (*run)(commands&, arguments&);
};

constexpr std::array subcommands{
    subcommand{"get",
               [](commands& runner, arguments& args) {
                   return runner.show(option_text(args, "TABLE"), option_text(args, "ROW"));
               }},
    subcommand{"apply",
               [](commands& runner, arguments& args) {
                   return runner.apply_file(option_text(args, "FILE"));
               }},
    subcommand{"check", [](commands& runner,
                           arguments& args) { return runner.check(option_text(args, "FILE")); }},
    subcommand{"history", [](commands& runner, arguments&) { return runner.history(); }},
    subcommand{"undo", [](commands& runner,
                          arguments& args) { return runner.undo(revision_argument(args)); }},
    subcommand{"give",
               [](commands& runner, arguments& args) {
                   return runner.issue_key(option_text(args, "ORGANISATION"),
                                           option_text(args, "--label"));
               }},
    subcommand{"withdraw",
               [](commands& runner, arguments& args) {
                   return runner.revoke_key(option_text(args, "KEY"));
               }},
    subcommand{"status", [](commands& runner, arguments&) { return runner.status(); }},
    subcommand{"where", [](commands& runner,
                           arguments& args) { return runner.where(revision_argument(args)); }},
    subcommand{"settle", [](commands& runner,
                            arguments& args) { return runner.settle(option_text(args, "EDIT")); }},
};

int run(arguments& args) {
    const auto store = from_json<endpoint>(Json::Value{args["--store"].asString()});
    if (!store) {
        std::cerr << "--store" << store.error().detail << '\n';
        return invalid_input;
    }
    auto name = option_text(args, "--operator");
    if (const char* const user = std::getenv("USER"); name.empty() && user != nullptr) {
        name = user;
    }
    operator_session session{store.value(), name};
    commands runner{session, std::cout};
    for (const auto& command : subcommands) {
        if (args[command.name].asBool()) {
            return command.run(runner, args);
        }
    }
    return invalid_input;
}

} // namespace

int main(int argc, char** argv) {
    try {
        auto args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        return run(args);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return done;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "jackdawvanectl " << jackdawvane::code_version() << '\n';
        return done;
    } catch (const docopt::DocoptArgumentError&) {
        std::cerr << usage;
        return invalid_input;
    } catch (const std::exception& problem) {
        std::cerr << "jackdawvanectl: " << problem.what() << '\n';
        return invalid_input;
    }
}
