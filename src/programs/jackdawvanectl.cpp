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

std::string text_of(arguments& given, const char* name) {
    return given[name] ? given[name].asString() : std::string{};
}

revision revision_of(arguments& given) {
    return revision{static_cast<std::uint64_t>(given["REVISION"].asLong())};
}

struct subcommand {
    const char* name;
    exit_code (*run)(commands&, arguments&);
};

constexpr std::array subcommands{
    subcommand{"get",
               [](commands& on, arguments& given) {
                   return on.show(text_of(given, "TABLE"), text_of(given, "ROW"));
               }},
    subcommand{"apply", [](commands& on,
                           arguments& given) { return on.apply_file(text_of(given, "FILE")); }},
    subcommand{"check",
               [](commands& on, arguments& given) { return on.check(text_of(given, "FILE")); }},
    subcommand{"history", [](commands& on, arguments&) { return on.history(); }},
    subcommand{"undo", [](commands& on, arguments& given) { return on.undo(revision_of(given)); }},
    subcommand{"give",
               [](commands& on, arguments& given) {
                   return on.give_key(text_of(given, "ORGANISATION"), text_of(given, "--label"));
               }},
    subcommand{"withdraw", [](commands& on,
                              arguments& given) { return on.withdraw_key(text_of(given, "KEY")); }},
    subcommand{"status", [](commands& on, arguments&) { return on.status(); }},
    subcommand{"where",
               [](commands& on, arguments& given) { return on.where(revision_of(given)); }},
    subcommand{"settle",
               [](commands& on, arguments& given) { return on.settle(text_of(given, "EDIT")); }},
};

int run(arguments& given) {
    const auto store = from_json<endpoint>(Json::Value{given["--store"].asString()});
    if (!store) {
        std::cerr << "--store" << store.error().detail << '\n';
        return mistakes;
    }
    auto name = text_of(given, "--operator");
    if (const char* const user = std::getenv("USER"); name.empty() && user != nullptr) {
        name = user;
    }
    operator_session session{store.value(), name};
    commands on{session, std::cout};
    for (const auto& command : subcommands) {
        if (given[command.name].asBool()) {
            return command.run(on, given);
        }
    }
    return mistakes;
}

} // namespace

int main(int argc, char** argv) {
    try {
        auto given = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        return run(given);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return done;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "jackdawvanectl 0.1.0\n";
        return done;
    } catch (const docopt::DocoptArgumentError&) {
        std::cerr << usage;
        return mistakes;
    } catch (const std::exception& problem) {
        std::cerr << "jackdawvanectl: " << problem.what() << '\n';
        return mistakes;
    }
}
