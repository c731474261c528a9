#include "jackdawvane/failover/term_history.hpp"

namespace jackdawvane {

namespace {

prefix_check compare_terms(term present, term seen) noexcept {
    if (present == seen) {
        return prefix_check::contained;
    }
    return present > seen ? prefix_check::lost : prefix_check::stale_branch;
}

} // namespace

std::optional<term> term_at(const backend_status& log, log_position position) {
    std::optional<term> found;
    if (position > log.position) {
        return found;
    }
    for (const auto& start : log.history) {
        if (start.first <= position && (!found || start.term > *found)) {
            found = start.term;
        }
    }
    return found;
}

prefix_check check_prefix(const backend_status& log, const session_position& seen) {
    if (seen.position == log_position{}) {
        return prefix_check::contained;
    }
    if (log.position < seen.position) {
        // Terms never fall along a log, so a later term below the position replaced its entry.
        return log.last_entry_term > seen.term ? prefix_check::lost : prefix_check::behind;
    }
    if (const auto present = term_at(log, seen.position)) {
        return compare_terms(*present, seen.term);
    }
    const bool older_than_list = !log.history.empty() && seen.term < log.history.front().term;
    return older_than_list ? prefix_check::lost : prefix_check::stale_branch;
}

} // namespace jackdawvane
