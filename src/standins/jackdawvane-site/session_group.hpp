#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Data item written by one statement.
struct row_write {
    std::string statement; ///< Id of the statement.
    std::string item;
    std::string data;
};

/// @brief Commit in the log of a group.
struct commit_entry {
    std::uint64_t term{0};
    std::uint64_t number{0};
    std::vector<row_write> writes;
    steady_clock::time_point at;
};

/// @brief How often a backend server sends an answer a second time on the same connection.
struct repeated_answers {
    double share{0};             ///< Of the answers, those to statements with the id `-` included.
    double cut_share{0};         ///< Of the second answers that are cut off before their end.
    milliseconds max_delay{300}; ///< From the answer to its repetition; at least 1 ms.
};

/// @brief One backend server of a group.
struct group_member {
    enum class condition { running, crashed, unresponsive };

    std::string id;
    std::string domain;
    std::string address; ///< Address and port.
    condition state{condition::running};
    bool primary{false};
    bool leaving{false};
    bool isolated{false}; ///< No replication traffic with the other members.
    std::uint64_t term{1};
    std::uint64_t held_term{0}; ///< Replication to this server is paused while above 0.
    std::vector<commit_entry> log;
    std::map<std::string, std::string> data;
    milliseconds lag{0};
    std::int64_t started_at_ms{0};
    std::uint64_t incarnation{1}; ///< Increases with each crash and restart.
    std::optional<steady_clock::time_point> successor_seen_at;
    std::uint32_t lose_answers{0}; ///< Number of next answers to drop after the statement has run.
    repeated_answers repeated;
    milliseconds extra_work{0}; ///< Added to the time of each statement of a caller.
    double fail_share{0};       ///< Of the reads and writes, which then have no effect.
    std::uint32_t busy{0};
    std::uint32_t connections{0};

    [[nodiscard]] bool running() const { return state == condition::running; }
    [[nodiscard]] std::string position() const;
    [[nodiscard]] bool has_reached(std::uint64_t required_term, std::uint64_t number) const;
};

/// @brief Roles, logs and data of one group's members. No I/O.
class session_group {
  public:
    using time = steady_clock::time_point;

    session_group(std::string name, std::vector<group_member> members);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] std::vector<group_member>& members() { return members_; }
    [[nodiscard]] group_member* find(const std::string& id);
    /// @brief Running primary of the newest term, or null.
    [[nodiscard]] const group_member* current_primary() const;

    /// @brief Appends a commit to the log of @a primary and applies its writes.
    const commit_entry& commit(group_member& primary, std::vector<row_write> writes, time now);
    /// @brief Starts a new term with the member @a id as the primary.
    /// @return false when it is unknown or not running
    bool promote(const std::string& id);
    void hold(group_member& member, std::uint64_t term) const;
    void step_down(group_member& member, std::uint64_t term) const;
    void crash(group_member& member) const;
    void restart(group_member& member, std::int64_t started_at_ms) const;

    /// @brief Replicates commits and demotes a primary that has been in contact with its successor.
    void replicate(time now);

    /// @brief Statements whose writes a promotion has rolled back.
    [[nodiscard]] const std::set<std::string>& rolled_back() const { return rolled_back_; }
    /// @brief State of the members, log of the newest primary and rolled back statements.
    [[nodiscard]] Json::Value describe() const;

  private:
    void update_replica(group_member& replica, const group_member& primary, time now);

    std::string name_;
    std::vector<group_member> members_;
    std::set<std::string> rolled_back_;
};

} // namespace jackdawvane::standin
