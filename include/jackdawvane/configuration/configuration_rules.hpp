#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Validation of the configuration document, and how an edit changes it.

namespace jackdawvane {

/// @brief Exclusive upper bound of a document's text in bytes; the store's limit is 1 MB.
inline constexpr std::size_t max_document_bytes = 1'000'000;

/// @brief Maximum number of accepted edits in a document's history.
inline constexpr std::size_t max_recent_edits = 200;

/// @brief Lowest connection limit of a backend server.
///
/// An owner VM uses half of (limit - 4). Below 8 that is fewer than two connections, and one open
/// transaction, which pins its connection, blocks the server for all other requests.
inline constexpr std::uint32_t min_connection_limit = 8;

/// @brief One validation error of a configuration.
struct problem {
    std::string table;
    std::string row;
    std::string key; ///< Key path within the row; empty for the entire row.
    std::string message;
    std::string remedy;

    /// @brief All members in one line of text.
    [[nodiscard]] std::string text() const;
};

/// @brief Validates all tables of @a document, including the references between them.
/// @return all validation errors; empty when the document is valid
/// @complexity O(n log n) in the number of rows
[[nodiscard]] std::vector<problem> validate(const configuration_document& document);

/// @brief Document that results from @a edit.
///
/// The new document has the next revision and @a edit as the last entry of its history. The oldest
/// edits are dropped when there are more than @ref max_recent_edits or the text gets too long.
/// @return the document; `conflict`, with both values, when a row differs from the edit's
/// `before`; `invalid_configuration` when the result is invalid or too large
/// @note Strong exception safety: @a document is not changed.
[[nodiscard]] result<configuration_document> apply(const configuration_document& document,
                                                   const configuration_edit& edit);

/// @brief Edit that reverts @a edit; it conflicts when the rows have changed since.
[[nodiscard]] configuration_edit inverse(const configuration_edit& edit, edit_id id);

/// @brief Names of the tables that operators can edit.
[[nodiscard]] const std::vector<std::string>& table_names();

/// @brief JSON of one row; nothing when the table or row does not exist.
[[nodiscard]] std::optional<Json::Value>
row_value(const configuration_document& document, const std::string& table, const std::string& row);

/// @brief As `row_value`, without the members that have their default.
[[nodiscard]] std::optional<Json::Value> compact_row_value(const configuration_document& document,
                                                           const std::string& table,
                                                           const std::string& row);

/// @brief Sets a row, or deletes it when @a value is absent or null; appends the decoding errors of
/// @a value to @a problems.
void set_row(configuration_document& document, const std::string& table, const std::string& row,
             const std::optional<Json::Value>& value, std::vector<problem>& problems);

/// @brief Edit with id @a id in the document's history; null when there is none.
[[nodiscard]] const configuration_edit* find_edit(const configuration_document& document,
                                                  const edit_id& id);

/// @brief Whether the history contains every edit after revision @a after.
[[nodiscard]] bool has_all_edits_after(const configuration_document& document, revision after);

/// @brief JSON text of @a document as kept in the store.
[[nodiscard]] std::string document_text(const configuration_document& document);

/// @brief Parses the JSON text of a document; an empty text is the empty document of revision 0.
[[nodiscard]] result<configuration_document> parse_document(std::string_view text);

} // namespace jackdawvane
