#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"

#include <string>
#include <vector>

namespace jackdawvane::ctl {

/// @brief Mistake in an edit file.
struct file_problem {
    std::size_t line{0}; ///< Line in the file; 0 when the mistake lies outside it.
    problem what;
};

/// @brief Changes that an edit file asks for, and the mistakes of the resulting document.
struct file_edit {
    std::vector<row_change> changes; ///< Without rows that are as the file wants them already.
    std::vector<file_problem> problems;
};

/// @brief Reads an edit file: an object of tables, each an object of rows; null deletes a row.
/// @param text JSON with comments
/// @param present document that the rows are compared with
/// @return changes and all mistakes, or `malformed_request` when @a text is not JSON
[[nodiscard]] result<file_edit> read_edit(const std::string& text,
                                          const configuration_document& present);

} // namespace jackdawvane::ctl
