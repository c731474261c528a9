#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/node/peer.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawvane {

/// @brief Groups that one token may name; a session with more has to start anew.
inline constexpr std::size_t max_token_groups = 32;

/// @brief Characters of a token; keeps the header well under the usual limit of 8 KiB.
inline constexpr std::size_t max_token_size = 6144;

/// @brief Text form of @a positions: base64url with a checksum. No positions give an empty text.
///
/// More than `max_token_groups` positions are encoded too, and refused by @ref decode_token:
/// leaving one out would silently drop a guarantee of the session.
[[nodiscard]] std::string encode_token(const std::vector<session_position>& positions);

/// @brief Positions in a token; an empty text is a new session.
/// @return the positions, or `malformed_token`
[[nodiscard]] result<std::vector<session_position>> decode_token(std::string_view text);

/// @brief Position of @a group in @a positions, or null.
[[nodiscard]] const session_position* find_position(const std::vector<session_position>& positions,
                                                    const group_id& group) noexcept;

/// @brief Adds @a seen to @a positions. The (term, position) of a group never goes back.
void merge(std::vector<session_position>& positions, const session_position& seen);

} // namespace jackdawvane
