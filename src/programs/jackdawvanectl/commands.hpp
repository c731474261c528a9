#pragma once

#include <ostream>
#include <string>

#include "programs/jackdawvanectl/operator_session.hpp"

namespace jackdawvane::ctl {

/// @brief Exit codes of jackdawvanectl.
enum exit_code : int {
    done = 0,
    not_accepted = 1,   ///< Conflict, unknown row or revision.
    invalid_input = 2,  ///< Wrong usage or errors in a file; all errors are printed.
    unsettled = 3,      ///< Outcome of the edit is unknown; `settle` queries it later.
    unreachable = 4,    ///< The store does not answer; nothing was changed.
    not_everywhere = 5, ///< At least one VM did not confirm the revision, or none is listed.
};

/// @brief The subcommands of jackdawvanectl; each prints its result and returns an exit code.
class commands {
  public:
    commands(operator_session& session, std::ostream& out) : session_{session}, out_{out} {}

    exit_code show(const std::string& table, const std::string& row);
    exit_code check(const std::string& path);
    exit_code apply_file(const std::string& path);
    exit_code history();
    exit_code undo(revision at);
    exit_code issue_key(const std::string& organisation, const std::string& label);
    exit_code revoke_key(const std::string& key_or_digest);
    exit_code status();
    exit_code where(revision at);
    exit_code settle(const std::string& id);

  private:
    exit_code edit_from(const std::string& path, bool only_check);
    exit_code report(const edit_outcome& outcome);
    exit_code fail(const error& problem);

    operator_session& session_;
    std::ostream& out_;
};

} // namespace jackdawvane::ctl
