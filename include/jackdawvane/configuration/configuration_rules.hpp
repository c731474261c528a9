#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Rules of the configuration document: what is valid and how an edit changes it.

namespace jackdawvane {

/// @brief Size in bytes that the text of a document stays below; the store's limit is 1 MB.
inline constexpr std::size_t max_document_bytes = 1'000'000;

/// @brief Number of accepted edits that a document keeps.
inline constexpr std::size_t kept_edits = 200;

/// @brief Lowest connection limit of a backend server.
///
/// An owner uses half of (limit - 4). Below 8 that is under two connections, and one pinned
/// transaction blocks the server for all other requests.
inline constexpr std::uint32_t min_connection_limit = 8;

/// @brief One mistake in a configuration.
struct problem {
    std::string table;
    std::string row;
    std::string key; ///< Key path within the row; empty for the row as a whole.
    std::string message;
    std::string remedy;

    /// @brief All parts in one line.
    [[nodiscard]] std::string text() const;
};

/// @brief Checks all tables of @a document as one joined set.
/// @return every mistake; empty when the document is valid
/// @complexity O(n log n) in the number of rows
[[nodiscard]] std::vector<problem> validate(const configuration_document& document);

/// @brief Document that results from @a edit.
///
/// The new document has the next revision and ends its list of edits with @a edit. The oldest
/// edits are dropped when more than @ref kept_edits are held or the text gets too long.
/// @return the document; `conflict` when a row is not as the edit's `before` says, with both
/// values; `invalid_configuration` when the result has mistakes or is too large
/// @note Strong exception safety: @a document is not changed.
[[nodiscard]] result<configuration_document> apply(const configuration_document& document,
                                                   const configuration_edit& edit);

/// @brief Edit that takes @a edit back; conflicts when its rows have changed since.
[[nodiscard]] configuration_edit inverse(const configuration_edit& edit, edit_id id);

/// @brief Names of the tables whose rows operators edit.
[[nodiscard]] const std::vector<std::string>& table_names();

/// @brief JSON of one row; nothing when the table or row does not exist.
[[nodiscard]] std::optional<Json::Value>
row_value(const configuration_document& document, const std::string& table, const std::string& row);

/// @brief Sets a row or, for no or a null @a value, deletes it; appends mistakes in its form to @a
/// problems.
void set_row(configuration_document& document, const std::string& table, const std::string& row,
             const std::optional<Json::Value>& value, std::vector<problem>& problems);

/// @brief Kept edit with id @a id; null when there is none.
[[nodiscard]] const configuration_edit* find_edit(const configuration_document& document,
                                                  const edit_id& id);

/// @brief Whether the kept edits reach back to the one that followed @a after.
[[nodiscard]] bool keeps_edits_after(const configuration_document& document, revision after);

/// @brief Text of @a document as it lies in the store.
[[nodiscard]] std::string document_text(const configuration_document& document);

/// @brief Document with text @a text; an empty text is the empty document of revision 0.
[[nodiscard]] result<configuration_document> parse_document(std::string_view text);

} // namespace jackdawvane
