#include "jackdawvane/limits/buffer_budget.hpp"

#include <utility>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace jackdawvane {

namespace {

/// Share of the machine's memory for callers' buffers. The rest is for the program, connections and
/// the copies made while a statement is passed on; docs/design/client-limits.md has the sum.
constexpr std::uint64_t memory_divisor = 4;
constexpr std::size_t organisation_divisor = 2;
/// While answers, which cannot be paused, exceed the limit of the process by this factor,
/// connections are closed at once.
constexpr std::size_t hard_limit_numerator = 5;
constexpr std::size_t hard_limit_denominator = 4;
/// Share of a limit down to which room is freed.
constexpr std::size_t low_mark_numerator = 3;
constexpr std::size_t low_mark_denominator = 4;

std::size_t low_mark(std::size_t limit) noexcept {
    return limit / low_mark_denominator * low_mark_numerator;
}

std::size_t hard_limit(std::size_t limit) noexcept {
    return limit / hard_limit_denominator * hard_limit_numerator;
}

} // namespace

buffer_limits buffer_limits::for_memory(std::uint64_t memory) noexcept {
    buffer_limits limits;
    limits.process = static_cast<std::size_t>(memory / memory_divisor);
    limits.organisation = limits.process / organisation_divisor;
    return limits;
}

const char* to_string(budget_verdict verdict) noexcept {
    switch (verdict) {
    case budget_verdict::unfinished_line:
        return "unfinished_line";
    case budget_verdict::unread_answers:
        return "unread_answers";
    case budget_verdict::no_startup:
        return "no_startup";
    case budget_verdict::no_room:
        return "no_room";
    }
    return "";
}

void buffer_budget::open(time_point now, session_id session) {
    entries_[session].opened = now;
}

void buffer_budget::start(session_id session) {
    const auto found = entries_.find(session);
    if (found != entries_.end()) {
        found->second.started = true;
    }
}

void buffer_budget::assign(session_id session, const organisation_id& organisation) {
    const auto found = entries_.find(session);
    if (found == entries_.end()) {
        return;
    }
    const auto held = found->second.held.total();
    count(found->second, held, 0);
    found->second.organisation = organisation;
    count(found->second, 0, held);
}

void buffer_budget::update(session_id session, const held_buffers& held) {
    const auto found = entries_.find(session);
    if (found == entries_.end()) {
        return;
    }
    const auto before = found->second.held.total();
    found->second.held = held;
    count(found->second, before, held.total());
}

void buffer_budget::close(session_id session) {
    const auto found = entries_.find(session);
    if (found == entries_.end()) {
        return;
    }
    count(found->second, found->second.held.total(), 0);
    entries_.erase(found);
}

void buffer_budget::count(entry& each, std::size_t before, std::size_t after) {
    if (before == after) {
        return;
    }
    total_ = total_ - before + after;
    auto& sum = organisations_[each.organisation];
    sum = sum - before + after;
    if (sum == 0) {
        organisations_.erase(each.organisation);
    }
}

bool buffer_budget::has_room(const entry& each) const {
    const auto sum = organisations_.find(each.organisation);
    return total_ < limits_.process &&
           (sum == organisations_.end() || sum->second < limits_.organisation);
}

bool buffer_budget::may_handle(session_id session) const {
    const auto found = entries_.find(session);
    return found == entries_.end() ||
           found->second.held.waiting + found->second.held.output < limits_.pause;
}

std::size_t buffer_budget::read_allowance(session_id session) const {
    const auto found = entries_.find(session);
    if (found == entries_.end()) {
        return 0;
    }
    const auto& held = found->second.held;
    if (held.waiting + held.output >= limits_.pause) {
        return 0;
    }
    if (has_room(found->second)) {
        return limits_.read_size;
    }
    return held.total() < limits_.allowance ? limits_.allowance - held.total() : 0;
}

bool buffer_budget::exceeded(session_id session) const {
    const auto found = entries_.find(session);
    return (found != entries_.end() && found->second.held.output > limits_.unread) ||
           total_ > hard_limit(limits_.process);
}

std::optional<session_id> buffer_budget::oldest_not_started() const {
    const auto waits_longer = [](const auto& left, const auto& right) {
        return std::tuple{left.second.started, left.second.opened, left.first} <
               std::tuple{right.second.started, right.second.opened, right.first};
    };
    const auto found = std::min_element(entries_.begin(), entries_.end(), waits_longer);
    if (found == entries_.end() || found->second.started) {
        return {};
    }
    return found->first;
}

std::optional<budget_verdict> buffer_budget::overdue(time_point now, const entry& each) const {
    const auto& held = each.held;
    if (held.line_begun != no_deadline && now - held.line_begun > limits_.line_time) {
        return budget_verdict::unfinished_line;
    }
    if (held.output > limits_.unread) {
        return budget_verdict::unread_answers;
    }
    if (held.output > 0 &&
        now - std::max(held.output_begun, held.last_progress) > limits_.unread_time) {
        return budget_verdict::unread_answers;
    }
    if (!each.started && now - each.opened > limits_.startup_time) {
        return budget_verdict::no_startup;
    }
    return {};
}

std::vector<budget_closing> buffer_budget::due(time_point now) const {
    std::vector<budget_closing> closings;
    for (const auto& [session, each] : entries_) {
        if (const auto verdict = overdue(now, each)) {
            closings.push_back({session, *verdict, each.held.total()});
        }
    }
    free_room(now, closings);
    return closings;
}

/// Closes the connections that have held an unfinished line or unread answers longest, of the
/// organisations over their limit or, when the process is over its limit, of all. Above the hard
/// limit the ones with the most unread answers are closed first, whatever their age.
void buffer_budget::free_room(time_point now, std::vector<budget_closing>& closings) const {
    auto sums = organisations_;
    auto total = total_;
    std::set<session_id> closed;
    for (const auto& each : closings) {
        sums[entries_.at(each.session).organisation] -= each.held;
        total -= each.held;
        closed.insert(each.session);
    }
    const bool crowded = total >= limits_.process;
    const bool hard = total > hard_limit(limits_.process);
    std::set<organisation_id> over;
    for (const auto& [organisation, sum] : sums) {
        if (sum >= limits_.organisation) {
            over.insert(organisation);
        }
    }
    if (!crowded && over.empty()) {
        return;
    }
    for (const auto& [session, each] : candidates(now, hard)) {
        auto& sum = sums[each->organisation];
        const bool frees_process = crowded && total > low_mark(limits_.process);
        const bool frees_organisation =
            over.contains(each->organisation) && sum > low_mark(limits_.organisation);
        if (closed.contains(session) || (!frees_process && !frees_organisation)) {
            continue;
        }
        const auto held = each->held.total();
        closings.push_back({session, budget_verdict::no_room, held});
        sum -= held;
        total -= held;
    }
}

/// Connections that may be closed to free room, in the order in which they are.
std::vector<std::pair<session_id, const buffer_budget::entry*>>
buffer_budget::candidates(time_point now, bool hard) const {
    std::vector<std::pair<session_id, const entry*>> found;
    for (const auto& [session, each] : entries_) {
        const auto since = each.held.begun();
        const bool old = since != no_deadline && now - since > limits_.crowded_time;
        const bool unread = hard && each.held.output > 0;
        if (each.held.total() > limits_.allowance && (old || unread)) {
            found.emplace_back(session, &each);
        }
    }
    std::sort(found.begin(), found.end(), [hard](const auto& left, const auto& right) {
        const auto rank = [hard](const auto& each) {
            const auto unread = hard ? each.second->held.output : 0;
            return std::tuple{std::numeric_limits<std::size_t>::max() - unread,
                              each.second->held.begun(), each.first};
        };
        return rank(left) < rank(right);
    });
    return found;
}

} // namespace jackdawvane
