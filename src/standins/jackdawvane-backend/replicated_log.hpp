#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/node/backend.hpp"

#include <string>
#include <vector>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Log entry: a committed transaction, or the no-op entry that starts a term.
struct log_entry {
    jackdawvane::term term;
    request_name name;       ///< Key of the request table; empty for an unnamed transaction.
    std::string fingerprint; ///< Digest of the request that first used the name.
    Json::Value statements{Json::arrayValue};
    Json::Value results{Json::arrayValue}; ///< First answer, returned for a repeated name.
    steady_clock::time_point written_at;   ///< Local time of the append; not replicated.

    static constexpr auto fields() {
        return std::tuple{field("term", &log_entry::term), field("name", &log_entry::name),
                          field("fingerprint", &log_entry::fingerprint),
                          field("statements", &log_entry::statements),
                          field("results", &log_entry::results)};
    }
};

/// @brief Replicated log of a database group; the first entry has position 1.
class replicated_log {
  public:
    /// @brief Position of the last entry; 0 for an empty log.
    [[nodiscard]] log_position last() const noexcept { return log_position{entries_.size()}; }
    /// @brief Term of the entry at @a position; 0 for position 0 and past the end.
    [[nodiscard]] term term_at(log_position position) const noexcept;
    [[nodiscard]] term last_term() const noexcept { return term_at(last()); }
    [[nodiscard]] const log_entry& at(log_position position) const;
    /// @brief First position of each term, oldest first.
    [[nodiscard]] const std::vector<term_start>& history() const noexcept { return history_; }

    void append(log_entry entry);
    /// @brief Removes all entries past @a position.
    void truncate(log_position position);

  private:
    std::vector<log_entry> entries_;
    std::vector<term_start> history_;
};

/// @brief End of the common prefix of @a log and a log with @a history and last position @a last.
///
/// A term has only one primary, so logs that agree in the term of a position agree up to it.
[[nodiscard]] log_position common_prefix(const replicated_log& log,
                                         const std::vector<term_start>& history, log_position last);

} // namespace jackdawvane::standin
