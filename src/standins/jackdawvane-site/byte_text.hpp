#pragma once

#include <string>
#include <string_view>

namespace jackdawvane::standin {

/// @brief UTF-8 text whose characters have the values of @a bytes, which need not be UTF-8.
[[nodiscard]] inline std::string byte_text(std::string_view bytes) {
    std::string text;
    for (const char each : bytes) {
        const auto byte = static_cast<unsigned char>(each);
        if (byte < 0x80) {
            text += each;
        } else {
            text += static_cast<char>(0xC0 | (byte >> 6));
            text += static_cast<char>(0x80 | (byte & 0x3F));
        }
    }
    return text;
}

} // namespace jackdawvane::standin
