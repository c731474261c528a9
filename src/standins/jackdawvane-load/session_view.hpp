#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <json/json.h>

namespace jackdawvane::standin {

/// @brief What one session may see in one partition: its own key and a shared counter.
///
/// The session writes rising numbers to its own key and adds to the counter that all sessions
/// share; both rise for a session that reads its own writes and reads monotonically.
class session_view {
  public:
    /// @param session unique name of the session
    session_view(std::string session, std::string partition)
        : session_{std::move(session)}, partition_{std::move(partition)} {}

    [[nodiscard]] const std::string& partition() const noexcept { return partition_; }
    /// @brief Statements of the next write.
    [[nodiscard]] Json::Value next_write();
    /// @brief Statements of a read.
    [[nodiscard]] Json::Value read() const;

    /// @brief Checks the answer to the last write.
    /// @return what is wrong, or nothing
    [[nodiscard]] std::optional<std::string> check_write(const Json::Value& results);
    /// @brief Checks the answer to a read.
    /// @param in_session whether the read carried the session's token
    /// @return what is wrong, or nothing
    [[nodiscard]] std::optional<std::string> check_read(const Json::Value& results,
                                                        bool in_session);
    /// @brief The last write may still run later; another key is used from now on.
    void abandon_key();
    /// @brief The server has told that what was seen but not acknowledged is lost.
    void forget_unacknowledged();

  private:
    [[nodiscard]] std::string own_key() const;
    [[nodiscard]] std::string counter_key() const { return "counter/" + partition_; }
    [[nodiscard]] std::string value_of(std::uint64_t number) const;

    std::string session_;
    std::string partition_;
    std::uint64_t epoch_{0};
    std::uint64_t attempted_{0};
    std::uint64_t acknowledged_{0};
    std::uint64_t seen_{0};
    std::int64_t counter_{0};
};

} // namespace jackdawvane::standin
