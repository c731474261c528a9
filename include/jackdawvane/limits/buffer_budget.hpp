#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <utility>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jackdawvane {

/// @brief Limits of the bytes that are buffered for callers' connections, and of the time that a
/// connection may hold them.
struct buffer_limits {
    /// @brief Derives the limits for a machine with @a memory bytes.
    [[nodiscard]] static buffer_limits for_memory(std::uint64_t memory) noexcept;

    std::size_t process{std::size_t{128} * 1000 * 1000}; ///< Bytes, of all connections.
    /// Bytes of all connections of one organisation, and of those not yet accepted.
    std::size_t organisation{std::size_t{64} * 1000 * 1000};
    /// Bytes that a connection may hold while the process or the organisation is over its limit, so
    /// that ordinary statements are still read then.
    std::size_t allowance{8192};
    /// Bytes of answers and statements at which a connection is not read any further.
    std::size_t pause{std::size_t{256} * 1024};
    /// Bytes of unread answers at which a connection is closed: two answers of the largest size.
    std::size_t unread{std::size_t{2} * 1024 * 1024 + 4096};
    std::size_t read_size{std::size_t{64} * 1024}; ///< Bytes, as counted, of one read.
    /// From the beginning of a line to its end: 1 MiB at 140 kbit/s.
    duration line_time{std::chrono::seconds{60}};
    /// Without the caller's reading any byte of its answers.
    duration unread_time{std::chrono::seconds{30}};
    duration startup_time{std::chrono::seconds{15}}; ///< From the connection to its first line.
    /// Time for which a connection may hold an unfinished line or unread answers while the process
    /// or the organisation is over its limit.
    duration crowded_time{std::chrono::seconds{2}};
};

/// @brief What one connection holds, and since when.
struct held_buffers {
    std::size_t input{0};   ///< Bytes received of an unfinished line, or of lines not handled yet.
    std::size_t waiting{0}; ///< Bytes of statements without an answer, with their copies.
    std::size_t output{0};  ///< Bytes of answers that the caller has not read.
    time_point line_begun{no_deadline};   ///< `no_deadline` without an unfinished line.
    time_point output_begun{no_deadline}; ///< When `output` became more than 0.
    time_point last_progress{};           ///< When the caller last read a part of an answer.

    [[nodiscard]] std::size_t total() const noexcept { return input + waiting + output; }
    /// @brief Since when it has held an unfinished line or unread answers.
    [[nodiscard]] time_point begun() const noexcept { return std::min(line_begun, output_begun); }
};

/// @brief Why a connection is closed.
enum class budget_verdict {
    unfinished_line, ///< A line was not completed within `line_time`.
    unread_answers,  ///< Answers were not read within `unread_time`, or exceed `unread`.
    no_startup,      ///< No first line within `startup_time`, or its place was needed.
    no_room,         ///< The process or the organisation needs the memory that it holds.
};

/// @brief Name of @a verdict in logs and metrics.
[[nodiscard]] const char* to_string(budget_verdict verdict) noexcept;

/// @brief A connection to close.
struct budget_closing {
    session_id session;
    budget_verdict verdict{budget_verdict::no_room};
    std::size_t held{0}; ///< Bytes.
};

/// @brief Decides which callers' connections may be read and which ones are closed, so that callers
/// that send or read slowly, partly or too much cannot exhaust the memory (the load condition).
///
/// It counts the bytes that each connection holds. Connections that hold nothing are never closed
/// once they have started. Holds no data, and does no I/O.
class buffer_budget {
  public:
    explicit buffer_budget(const buffer_limits& limits) : limits_{limits} {}

    void open(time_point now, session_id session);
    /// @brief Notes the first line of a connection.
    void start(session_id session);
    /// @brief Notes the organisation of an accepted connection.
    void assign(session_id session, const organisation_id& organisation);
    void update(session_id session, const held_buffers& held);
    void close(session_id session);

    /// @brief Whether a complete line of the connection may be handled now.
    [[nodiscard]] bool may_handle(session_id session) const;
    /// @brief Bytes that may be read from the connection now; 0 pauses it.
    [[nodiscard]] std::size_t read_allowance(session_id session) const;
    /// @brief Connections to close, each once. Linear in the connections; call it periodically, and
    /// after output was added when `exceeded`.
    [[nodiscard]] std::vector<budget_closing> due(time_point now) const;
    /// @brief Whether answers have exceeded a limit, so that `due` must not wait.
    [[nodiscard]] bool exceeded(session_id session) const;
    /// @brief Connection that has waited longest without a first line.
    [[nodiscard]] std::optional<session_id> oldest_not_started() const;
    [[nodiscard]] std::size_t total() const noexcept { return total_; }

  private:
    struct entry {
        organisation_id organisation;
        held_buffers held;
        time_point opened{};
        bool started{false};
    };
    using entries = std::unordered_map<session_id, entry>;

    [[nodiscard]] bool has_room(const entry& each) const;
    [[nodiscard]] std::optional<budget_verdict> overdue(time_point now, const entry& each) const;
    void free_room(time_point now, std::vector<budget_closing>& closings) const;
    [[nodiscard]] std::vector<std::pair<session_id, const entry*>> candidates(time_point now,
                                                                              bool hard) const;
    void count(entry& each, std::size_t before, std::size_t after);

    buffer_limits limits_;
    entries entries_;
    std::map<organisation_id, std::size_t> organisations_; ///< Bytes; no entry for 0.
    std::size_t total_{0};
};

} // namespace jackdawvane
