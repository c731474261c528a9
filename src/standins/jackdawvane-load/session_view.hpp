#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Checks the session consistency of one session in one partition.
///
/// The session writes increasing numbers to its own key and increments a counter that all sessions
/// share. With read-your-writes and monotonic reads, neither value ever decreases for the session.
class session_view {
  public:
    /// @param session unique name of the session
    session_view(std::string session, std::string partition)
        : session_{std::move(session)}, partition_{std::move(partition)} {}

    [[nodiscard]] const std::string& partition() const noexcept { return partition_; }
    [[nodiscard]] Json::Value next_write();
    [[nodiscard]] Json::Value read() const;

    /// @brief Checks the answer to the last write.
    /// @return description of a violation, or nothing
    [[nodiscard]] std::optional<std::string> check_write(const Json::Value& results);
    /// @brief Checks the answer to a read.
    /// @param in_session whether the read carried the session's token
    /// @return description of a violation, or nothing
    [[nodiscard]] std::optional<std::string> check_read(const Json::Value& results,
                                                        bool in_session);
    /// @brief Switches to a new key, because the last write may still run later.
    void abandon_key();
    /// @brief Drops values that were read but not acknowledged, after the server reported them
    /// lost.
    void forget_unacknowledged();

  private:
    [[nodiscard]] std::string own_key() const;
    [[nodiscard]] std::string counter_key() const { return "counter/" + partition_; }
    [[nodiscard]] std::string value_of(std::uint64_t number) const;

    std::string session_;
    std::string partition_;
    std::uint64_t key_generation_{0};
    std::uint64_t last_attempted_{0};
    std::uint64_t last_acknowledged_{0};
    std::uint64_t last_seen_{0};
    std::int64_t last_counter_{0};
};

} // namespace jackdawvane::standin
