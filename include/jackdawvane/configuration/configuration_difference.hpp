#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/error.hpp"

#include <utility>

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

/// @file
/// @brief Rows in which two versions of the configuration differ.

namespace jackdawvane {

/// @brief Digest of the rows of a document, which depends neither on its revision nor on its
/// history. Equal rows have equal digests.
using content_digest = basic_number<struct content_digest_tag>;

/// @brief Table and name of a row.
using row_name = std::pair<std::string, std::string>;

/// @brief Names of all rows of @a document.
[[nodiscard]] std::set<row_name> all_rows(const configuration_document& document);

/// @brief Digest of all rows of @a document.
/// @complexity Linear in the number of rows. It is not derived from the digest of another document
/// and a list of changes, so that it shows a change that is missing in the list.
[[nodiscard]] content_digest digest_of(const configuration_document& document);

/// @brief Names of the rows that differ between two documents, or that only one of them has.
/// @complexity Linear in the number of rows; compares values without encoding them.
[[nodiscard]] std::set<row_name> changed_rows(const configuration_document& before,
                                              const configuration_document& after);

/// @brief JSON text of @a rows as they are in @a document; null for a row that it lacks.
[[nodiscard]] std::string rows_text(const configuration_document& document,
                                    const std::set<row_name>& rows);

/// @brief Replaces the rows of @a base that @a text lists, and drops the history of edits.
/// @return the document, or `malformed_request` when a table is unknown or a row cannot be decoded
[[nodiscard]] result<configuration_document> replace_rows(const configuration_document& base,
                                                          std::string_view text);

} // namespace jackdawvane
