#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"

#include <string>
#include <vector>

namespace jackdawvane::ctl {

/// @brief Error in an edit file.
struct file_problem {
    std::size_t line{0}; ///< Line in the file; 0 when the row is not in it.
    problem what;
};

/// @brief Changes that an edit file requests, and the errors of the resulting document.
struct file_edit {
    std::vector<row_change> changes; ///< Excludes rows that already have the requested value.
    std::vector<file_problem> problems;
};

/// @brief Reads an edit file: an object of tables, each an object of rows; null deletes a row.
/// @param text JSON with comments
/// @param current document that the rows are compared with
/// @return changes and all errors, or `malformed_request` when @a text is not JSON
[[nodiscard]] result<file_edit> read_edit(const std::string& text,
                                          const configuration_document& current);

} // namespace jackdawvane::ctl
