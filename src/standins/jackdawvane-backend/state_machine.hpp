#pragma once

#include "jackdawvane/foundation/error.hpp"

#include <map>
#include <optional>
#include <string>

#include "standins/jackdawvane-backend/replicated_log.hpp"

namespace jackdawvane::standin {

/// @brief Reads and writes of a transaction that has not been committed yet.
struct transaction_view {
    std::map<std::string, Json::Value> changed; ///< Null marks a deleted key.
    /// Position of the last change of each accessed key, at the transaction's first access.
    std::map<std::string, log_position> seen;
};

/// @brief Fingerprint and log position of the transaction that first used a request name.
struct named_result {
    std::string fingerprint;
    log_position written;
};

/// @brief Key-value map and request table: the state that results from the log entries.
class state_machine {
  public:
    /// @brief Runs @a statements on top of @a view.
    ///
    /// Statements: `{"op": "get"|"put"|"add"|"delete", "key": str, "value": any}`. Each result
    /// contains the key and its value after the statement.
    /// @return one result per statement, or `statement_failed`
    [[nodiscard]] result<Json::Value> run(const Json::Value& statements, access_mode mode,
                                          transaction_view& view) const;
    /// @brief Whether a key that @a view accessed has been changed by another transaction since.
    [[nodiscard]] bool is_stale(const transaction_view& view) const;
    /// @brief Applies the entry at @a position.
    void apply(const log_entry& entry, log_position position);
    /// @brief Discards the state and applies all entries of @a log.
    void rebuild(const replicated_log& log);
    /// @brief Entry of the request table; null when the name has not been used.
    [[nodiscard]] const named_result* find(const request_name& name) const;

  private:
    struct versioned_value {
        Json::Value value;
        log_position changed;
    };

    [[nodiscard]] Json::Value load(const std::string& key, transaction_view& view) const;
    [[nodiscard]] result<Json::Value> run_one(const Json::Value& statement, access_mode mode,
                                              transaction_view& view) const;

    std::map<std::string, versioned_value> values_;
    std::map<request_name, named_result> names_;
};

} // namespace jackdawvane::standin
