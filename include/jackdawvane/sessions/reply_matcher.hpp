#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <utility>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace jackdawvane {

/// A server that answers a command twice does so within this time of the first answer: ten times
/// the greatest delay of a second answer, as a server may slow down to a tenth of its speed.
inline constexpr duration second_answer_window = std::chrono::milliseconds{3000};

/// @brief Form of the answer that a command may receive.
enum class reply_form {
    statement,      ///< Read or commit of a caller: signature, any number of rows.
    write,          ///< Write of a caller: signature, no row.
    begin,          ///< Own command that opens a transaction.
    session_value,  ///< Own command that leaves the transaction state as it is.
    return_to_idle, ///< Own command after which no transaction is open.
};

/// @brief Name of @a form in logs.
[[nodiscard]] const char* to_string(reply_form form) noexcept;

/// @brief Whether an answer belongs to the oldest pending command of its connection.
enum class reply_verdict {
    own,      ///< It does.
    extra,    ///< It certainly belongs to an earlier command.
    unproved, ///< It may belong to this command or to an earlier one.
};

/// @brief Name of @a verdict in logs and metrics.
[[nodiscard]] const char* to_string(reply_verdict verdict) noexcept;

/// @brief Ordinary answer that looks as if it belonged to an earlier command.
enum class reply_doubt {
    none,
    grown_rows,    ///< A read whose rows begin like those of an earlier one and then differ.
    equal_refusal, ///< An error equal to an earlier one.
};

/// @brief Name of @a doubt in metrics.
[[nodiscard]] const char* to_string(reply_doubt doubt) noexcept;

/// @brief When a command was sent, or later, and when its answer was received, or earlier.
struct reply_times {
    time_point sent{};
    time_point received{};
};

/// @brief Decides for one connection to a backend server which answers are proved to belong to the
/// pending command.
///
/// A server may answer a command twice, the second time late, so the order of the answers proves
/// nothing. Signatures prove the answers to callers' statements: a server never uses one twice on a
/// connection, and uses none for own commands. Answers to own commands and errors are told apart by
/// their transaction state and log position.
///
/// A second answer is sent at most 300 ms after the first, and a server answers in order. So once a
/// command that was sent much later than that has a proved answer with a signature, no second
/// answer to the earlier command follows: neither its rows nor its error are remembered any longer.
class reply_matcher {
  public:
    /// @brief Judges an answer and remembers it.
    /// @param pending form of the oldest unanswered command, or nothing when there is none; the
    /// result is then never `own`
    /// @param times of the command and this answer; without them nothing is forgotten
    [[nodiscard]] reply_verdict match(std::optional<reply_form> pending,
                                      const statement_reply& reply, const reply_times& times = {});
    /// @brief Why the last answer was unproved, if it was an ordinary one.
    [[nodiscard]] reply_doubt doubt() const noexcept { return doubt_; }
    /// @brief Whether so many answers are remembered that the connection should be replaced.
    [[nodiscard]] bool exhausted() const noexcept;

  private:
    [[nodiscard]] reply_verdict match_statement(reply_form pending, const statement_reply& reply,
                                                bool repeated, const reply_times& times);
    [[nodiscard]] reply_verdict match_own_command(reply_form pending, const statement_reply& reply,
                                                  bool repeated);
    [[nodiscard]] reply_verdict match_error(reply_form pending, const statement_reply& reply,
                                            bool repeated);
    [[nodiscard]] bool may_have_foreign_rows(const statement_reply& reply, time_point received);
    [[nodiscard]] bool remember(const statement_reply& reply, time_point received);
    /// Forgets the answers to which no second one can follow any more.
    void forget_before(time_point sent);
    [[nodiscard]] bool goes_back(const statement_reply& reply) const noexcept;
    void accept(const statement_reply& reply);

    /// Fingerprints of all answers of the connection but errors.
    std::unordered_set<std::uint64_t> seen_;
    /// Fingerprints of errors, with the time when each was last received.
    std::unordered_map<std::uint64_t, time_point> errors_;
    /// Fingerprints of the first row of each answer, and of all its rows, likewise.
    std::map<std::pair<std::uint64_t, std::uint64_t>, time_point> rows_;
    reply_doubt doubt_{reply_doubt::none};
    transaction_state state_{transaction_state::idle};
    std::optional<log_point> newest_position_;
    /// Since the last answer with a signature, an answer to an own command was accepted that looks
    /// like an earlier one, so the command's true answer may still follow.
    bool answer_may_follow_{false};
};

} // namespace jackdawvane
