#include "jackdawvane/sessions/reply_matcher.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <functional>
#include <string>

namespace jackdawvane {

namespace {

constexpr const char* own_signature = "-"; ///< In answers to the proxy's own commands.
/// Answers that are remembered for one connection.
constexpr std::size_t remembered_limit = 4096;

bool has_signature(const statement_reply& reply) noexcept {
    return !reply.signature.empty() && reply.signature != own_signature;
}

/// Equal for the two answers to one command. A signature alone identifies the answer.
std::uint64_t fingerprint(const statement_reply& reply) {
    std::string text;
    if (reply.problem == statement_error::none && has_signature(reply)) {
        text = "S" + reply.signature;
    } else {
        text = to_string(reply.problem);
        text += '\n' + reply.detail + '\n' + std::to_string(static_cast<int>(reply.state));
        if (reply.position) {
            text += '\n' + std::to_string(reply.position->term.value()) + '.' +
                    std::to_string(reply.position->position.value());
        }
    }
    return std::hash<std::string>{}(text);
}

bool is_own_command(reply_form form) noexcept {
    return form != reply_form::statement && form != reply_form::write;
}

transaction_state state_after(reply_form form, transaction_state before) noexcept {
    switch (form) {
    case reply_form::begin:
        return transaction_state::open;
    case reply_form::return_to_idle:
        return transaction_state::idle;
    default:
        return before;
    }
}

} // namespace

const char* to_string(reply_form form) noexcept {
    constexpr std::array<const char*, 5> names{"statement", "write", "begin", "session_value",
                                               "return_to_idle"};
    return names.at(static_cast<std::size_t>(form));
}

const char* to_string(reply_verdict verdict) noexcept {
    constexpr std::array<const char*, 3> names{"own", "extra", "unproved"};
    return names.at(static_cast<std::size_t>(verdict));
}

const char* to_string(reply_doubt doubt) noexcept {
    constexpr std::array<const char*, 3> names{"none", "grown_rows", "equal_refusal"};
    return names.at(static_cast<std::size_t>(doubt));
}

/// @return whether an equal answer was known
bool reply_matcher::remember(const statement_reply& reply, time_point received) {
    const auto key = fingerprint(reply);
    if (reply.problem == statement_error::none) {
        return !seen_.insert(key).second;
    }
    const auto [known, created] = errors_.try_emplace(key, received);
    known->second = std::max(known->second, received);
    return !created;
}

void reply_matcher::forget_before(time_point sent) {
    const auto settled = [&](const auto& each) {
        return sent - each.second > second_answer_window;
    };
    std::erase_if(errors_, settled);
    std::erase_if(rows_, settled);
}

reply_verdict reply_matcher::match(std::optional<reply_form> pending, const statement_reply& reply,
                                   const reply_times& times) {
    doubt_ = reply_doubt::none;
    const bool repeated = remember(reply, times.received);
    if (!pending) {
        return repeated ? reply_verdict::extra : reply_verdict::unproved;
    }
    auto verdict = reply_verdict::unproved;
    if (reply.problem != statement_error::none) {
        verdict = match_error(*pending, reply, repeated);
    } else if (is_own_command(*pending)) {
        verdict = match_own_command(*pending, reply, repeated);
    } else {
        verdict = match_statement(*pending, reply, repeated, times);
    }
    if (verdict == reply_verdict::own) {
        accept(reply);
    }
    return verdict;
}

reply_verdict reply_matcher::match_statement(reply_form pending, const statement_reply& reply,
                                             bool repeated, const reply_times& times) {
    if (!has_signature(reply) || repeated) {
        return reply_verdict::extra;
    }
    const bool was_idle = state_ == transaction_state::idle;
    const bool state_fits =
        reply.state == transaction_state::idle || (!was_idle && reply.state == state_);
    const bool commits = !was_idle && reply.state == transaction_state::idle;
    const bool needs_no_row = pending == reply_form::write || commits;
    if (!state_fits || (needs_no_row && !reply.rows.empty())) {
        return reply_verdict::unproved;
    }
    if (may_have_foreign_rows(reply, times.received)) {
        doubt_ = reply_doubt::grown_rows;
        return reply_verdict::unproved;
    }
    forget_before(times.sent);
    answer_may_follow_ = false; // A server answers in order.
    return reply_verdict::own;
}

reply_verdict reply_matcher::match_own_command(reply_form pending, const statement_reply& reply,
                                               bool repeated) {
    const auto mismatch = repeated ? reply_verdict::extra : reply_verdict::unproved;
    if (reply.signature != own_signature || reply.state != state_after(pending, state_)) {
        return mismatch;
    }
    // Without a transaction, a write would be committed on its own.
    if (!reply.rows.empty() || goes_back(reply) || (repeated && pending == reply_form::begin)) {
        return reply_verdict::unproved;
    }
    answer_may_follow_ = answer_may_follow_ || repeated;
    return reply_verdict::own;
}

reply_verdict reply_matcher::match_error(reply_form pending, const statement_reply& reply,
                                         bool repeated) {
    const bool foreign_state =
        state_ == transaction_state::idle && reply.state != transaction_state::idle;
    const bool may_be_earlier = answer_may_follow_ && pending != reply_form::session_value &&
                                pending != reply_form::return_to_idle;
    doubt_ = repeated ? reply_doubt::equal_refusal : reply_doubt::none;
    if (repeated || foreign_state || may_be_earlier || goes_back(reply) || !reply.rows.empty()) {
        return reply_verdict::unproved;
    }
    return reply_verdict::own;
}

/// The second answer to an earlier read may be cut off, so that some of its rows precede those of
/// this answer.
bool reply_matcher::may_have_foreign_rows(const statement_reply& reply, time_point received) {
    if (reply.rows.empty()) {
        return false;
    }
    const std::hash<std::string> hash;
    std::string all;
    for (const auto& row : reply.rows) {
        all += row + '\n';
    }
    const std::pair<std::uint64_t, std::uint64_t> key{hash(reply.rows.front()), hash(all)};
    const auto same_start = rows_.lower_bound({key.first, 0});
    const bool known_start = same_start != rows_.end() && same_start->first.first == key.first;
    const auto [known, created] = rows_.try_emplace(key, received);
    known->second = std::max(known->second, received);
    return created && known_start;
}

bool reply_matcher::goes_back(const statement_reply& reply) const noexcept {
    return reply.position && newest_position_ && *reply.position < *newest_position_;
}

void reply_matcher::accept(const statement_reply& reply) {
    state_ = reply.state;
    if (reply.position) {
        newest_position_ =
            newest_position_ ? std::max(*newest_position_, *reply.position) : *reply.position;
    }
}

bool reply_matcher::exhausted() const noexcept {
    return seen_.size() + errors_.size() >= remembered_limit;
}

} // namespace jackdawvane
