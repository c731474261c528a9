#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/node/peer.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawvane {

/// @brief Maximum number of groups in a token; a session with more has to start anew.
inline constexpr std::size_t max_token_groups = 32;

/// @brief Maximum number of characters of a token; keeps the header that carries it well below
/// the usual limit of 8 KiB.
inline constexpr std::size_t max_token_size = 6144;

/// @brief Encodes @a positions as base64url with a checksum; no positions give an empty token.
///
/// More than `max_token_groups` positions are encoded as well, and rejected by @ref decode_token:
/// omitting one would silently drop a guarantee of the session.
[[nodiscard]] std::string encode_token(const std::vector<session_position>& positions);

/// @brief Decodes a token; an empty text is a new session.
/// @return the positions, or `malformed_token`
[[nodiscard]] result<std::vector<session_position>> decode_token(std::string_view text);

/// @brief Entry of @a group in @a positions, or null.
[[nodiscard]] const session_position* find_position(const std::vector<session_position>& positions,
                                                    const group_id& group) noexcept;

/// @brief Merges @a seen into @a positions; the (term, position) of a group never decreases.
void merge(std::vector<session_position>& positions, const session_position& seen);

} // namespace jackdawvane
