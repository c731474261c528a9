#include "jackdawvane/routing/session_token.hpp"

#include <utility>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

#include <openssl/evp.h>
#include <xxhash.h>

namespace jackdawvane {

namespace {

/// First byte of a token; increased when the layout changes.
constexpr std::uint8_t layout_version = 1;
constexpr std::size_t number_size = 8;
constexpr std::size_t length_size = 2;

void put_number(std::string& bytes, std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) {
        bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

std::uint64_t checksum(std::string_view bytes) noexcept {
    return XXH3_64bits(bytes.data(), bytes.size());
}

/// Reads consecutive fields. Once the input is too short, all further reads fail.
class byte_reader {
  public:
    explicit byte_reader(std::string_view bytes) noexcept : bytes_{bytes} {}

    std::string_view take(std::size_t size) noexcept {
        if (bytes_.size() < size) {
            failed_ = true;
            return {};
        }
        const auto taken = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return taken;
    }

    std::uint64_t number(std::size_t size) noexcept {
        std::uint64_t value{0};
        for (const char byte : take(size)) {
            value = (value << 8U) | static_cast<std::uint8_t>(byte);
        }
        return value;
    }

    [[nodiscard]] bool failed() const noexcept { return failed_; }
    [[nodiscard]] bool at_end() const noexcept { return bytes_.empty() && !failed_; }

  private:
    std::string_view bytes_;
    bool failed_{false};
};

std::string to_base64url(const std::string& bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                        reinterpret_cast<const unsigned char*>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(text.find_last_not_of('=') + 1);
    return text;
}

std::optional<std::string> from_base64url(std::string_view text) {
    std::string padded{text};
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                        reinterpret_cast<const unsigned char*>(padded.data()),
                                        static_cast<int>(padded.size()));
    if (padding == 3 || length < static_cast<int>(padding)) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

error malformed(const char* detail) {
    return {error_kind::malformed_token, detail, {}};
}

result<std::vector<session_position>> read_positions(std::string_view body) {
    byte_reader reader{body};
    if (reader.number(1) != layout_version) {
        return malformed("the token has an unknown layout");
    }
    const auto count = reader.number(length_size);
    if (count > max_token_groups) {
        return malformed("the token names more than 32 groups");
    }
    std::vector<session_position> positions;
    std::set<std::string_view> groups;
    for (std::uint64_t i = 0; i < count && !reader.failed(); ++i) {
        const auto group = reader.take(reader.number(length_size));
        const term seen_term{reader.number(number_size)};
        const log_position position{reader.number(number_size)};
        if (!groups.insert(group).second) {
            return malformed("the token names a group twice");
        }
        positions.push_back({group_id{group}, seen_term, position});
    }
    if (!reader.at_end()) {
        return malformed("the token has a wrong length");
    }
    return positions;
}

auto order_of(const session_position& seen) noexcept {
    return std::tuple{seen.term, seen.position};
}

template <class Positions>
auto locate(Positions& positions, const group_id& group) noexcept {
    return std::find_if(positions.begin(), positions.end(),
                        [&group](const auto& known) { return known.group == group; });
}

} // namespace

std::string encode_token(const std::vector<session_position>& positions) {
    if (positions.empty()) {
        return {};
    }
    std::string bytes;
    put_number(bytes, layout_version, 1);
    put_number(bytes, positions.size(), length_size);
    for (const auto& seen : positions) {
        put_number(bytes, seen.group.str().size(), length_size);
        bytes += seen.group.str();
        put_number(bytes, seen.term.value(), number_size);
        put_number(bytes, seen.position.value(), number_size);
    }
    put_number(bytes, checksum(bytes), number_size);
    return to_base64url(bytes);
}

result<std::vector<session_position>> decode_token(std::string_view text) {
    if (text.empty()) {
        return std::vector<session_position>{};
    }
    if (text.size() > max_token_size) {
        return malformed("the token is longer than 6144 characters");
    }
    const auto bytes = from_base64url(text);
    // Several texts can decode to the same bytes; only the canonical one is accepted.
    if (!bytes || bytes->size() <= number_size || to_base64url(*bytes) != text) {
        return malformed("the token is not base64url");
    }
    const std::string_view body{bytes->data(), bytes->size() - number_size};
    byte_reader trailer{std::string_view{*bytes}.substr(body.size())};
    if (trailer.number(number_size) != checksum(body)) {
        return malformed("the checksum of the token does not match");
    }
    return read_positions(body);
}

const session_position* find_position(const std::vector<session_position>& positions,
                                      const group_id& group) noexcept {
    const auto found = locate(positions, group);
    return found == positions.end() ? nullptr : &*found;
}

void merge(std::vector<session_position>& positions, const session_position& seen) {
    const auto found = locate(positions, seen.group);
    if (found == positions.end()) {
        positions.push_back(seen);
        return;
    }
    if (order_of(*found) < order_of(seen)) {
        *found = seen;
    }
}

} // namespace jackdawvane
