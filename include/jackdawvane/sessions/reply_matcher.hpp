#pragma once

#include "jackdawvane/sessions/messages.hpp"

#include <utility>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_set>

namespace jackdawvane {

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

/// @brief Decides for one connection to a backend server which answers are proved to belong to the
/// pending command.
///
/// A server may answer a command twice, the second time late, so the order of the answers proves
/// nothing. Signatures prove the answers to callers' statements: a server never uses one twice on a
/// connection, and uses none for own commands. Answers to own commands and errors are told apart by
/// their transaction state and log position.
class reply_matcher {
  public:
    /// @brief Judges an answer and remembers it.
    /// @param pending form of the oldest unanswered command, or nothing when there is none; the
    /// result is then never `own`
    [[nodiscard]] reply_verdict match(std::optional<reply_form> pending,
                                      const statement_reply& reply);
    /// @brief Whether so many answers are remembered that the connection should be replaced.
    [[nodiscard]] bool exhausted() const noexcept;

  private:
    [[nodiscard]] reply_verdict match_statement(reply_form pending, const statement_reply& reply,
                                                bool repeated);
    [[nodiscard]] reply_verdict match_own_command(reply_form pending, const statement_reply& reply,
                                                  bool repeated);
    [[nodiscard]] reply_verdict match_error(reply_form pending, const statement_reply& reply,
                                            bool repeated);
    [[nodiscard]] bool may_have_foreign_rows(const statement_reply& reply);
    [[nodiscard]] bool goes_back(const statement_reply& reply) const noexcept;
    void accept(const statement_reply& reply);

    std::unordered_set<std::uint64_t> seen_; ///< Fingerprints of all answers of the connection.
    /// Fingerprints of the first row of each answer, and of all its rows.
    std::set<std::pair<std::uint64_t, std::uint64_t>> rows_;
    transaction_state state_{transaction_state::idle};
    std::optional<log_point> newest_position_;
    /// Since the last answer with a signature, an answer to an own command was accepted that looks
    /// like an earlier one, so the command's true answer may still follow.
    bool answer_may_follow_{false};
};

} // namespace jackdawvane
