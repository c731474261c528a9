#include "standins/jackdawvane-backend/replicated_log.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

term term_in_history(const std::vector<term_start>& history, log_position position) {
    term found;
    for (const auto& start : history) {
        if (start.first <= position) {
            found = start.term;
        }
    }
    return found;
}

} // namespace

term replicated_log::term_at(log_position position) const noexcept {
    const auto index = position.value();
    return index == 0 || index > entries_.size() ? term{} : entries_[index - 1].term;
}

const log_entry& replicated_log::at(log_position position) const {
    return entries_.at(position.value() - 1);
}

void replicated_log::append(log_entry entry) {
    if (history_.empty() || history_.back().term != entry.term) {
        history_.push_back({entry.term, last().next()});
    }
    entry.written_at = steady_clock::now();
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate(log_position position) {
    entries_.resize(std::min<std::size_t>(entries_.size(), position.value()));
    while (!history_.empty() && history_.back().first > position) {
        history_.pop_back();
    }
}

log_position common_prefix(const replicated_log& log, const std::vector<term_start>& history,
                           log_position last) {
    auto position = std::min(log.last(), last).value();
    while (position > 0 && log.term_at(log_position{position}) !=
                               term_in_history(history, log_position{position})) {
        --position;
    }
    return log_position{position};
}

} // namespace jackdawvane::standin
