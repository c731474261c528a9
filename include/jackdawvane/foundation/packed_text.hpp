#pragma once

#include "jackdawvane/foundation/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

/// @file
/// @brief Compressed text that a JSON string can hold.

namespace jackdawvane {

/// @brief @a text compressed with zlib and encoded as base64.
/// @throws std::runtime_error when zlib has no memory
[[nodiscard]] std::string pack_text(std::string_view text);

/// @brief Inverse of `pack_text`.
/// @param limit maximum size of the result in bytes
/// @return the text, or `malformed_request` when @a packed is damaged or its text is longer
[[nodiscard]] result<std::string> unpack_text(std::string_view packed, std::size_t limit);

} // namespace jackdawvane
