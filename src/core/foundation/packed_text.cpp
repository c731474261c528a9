#include "jackdawvane/foundation/packed_text.hpp"

#include <stdexcept>
#include <vector>

#include <openssl/evp.h>
#include <zlib.h>

namespace jackdawvane {

namespace {

constexpr int compression_level = 3;
constexpr std::size_t base64_group = 4; // characters
constexpr std::size_t binary_group = 3; // bytes

/// Capacity in bytes by which the unpacked text grows.
constexpr std::size_t unpacked_step = 65536;

error damaged(const char* what) {
    return {error_kind::malformed_request, std::string{"packed text: "} + what, {}};
}

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

/// Ends the stream also when the memory for the text cannot be allocated.
struct inflate_stream {
    z_stream state{};
    bool open{inflateInit(&state) == Z_OK};

    inflate_stream() = default;
    inflate_stream(const inflate_stream&) = delete;
    inflate_stream& operator=(const inflate_stream&) = delete;
    inflate_stream(inflate_stream&&) = delete;
    inflate_stream& operator=(inflate_stream&&) = delete;
    ~inflate_stream() {
        if (open) {
            inflateEnd(&state);
        }
    }
};

} // namespace

std::string pack_text(std::string_view text) {
    auto size = compressBound(text.size());
    std::vector<unsigned char> compressed(size);
    if (compress2(compressed.data(), &size, bytes_of(text), text.size(), compression_level) !=
        Z_OK) {
        throw std::runtime_error{"zlib could not compress a text; check the memory limit"};
    }
    // EVP_EncodeBlock appends a terminating zero.
    std::vector<unsigned char> encoded((size + binary_group - 1) / binary_group * base64_group + 1);
    const auto length = EVP_EncodeBlock(encoded.data(), compressed.data(), static_cast<int>(size));
    return {encoded.begin(), encoded.begin() + length};
}

result<std::string> unpack_text(std::string_view packed, std::size_t limit) {
    if (packed.empty() || packed.size() % base64_group != 0 || packed.size() > 2 * limit) {
        return damaged("length");
    }
    std::vector<unsigned char> compressed(packed.size() / base64_group * binary_group);
    const auto decoded =
        EVP_DecodeBlock(compressed.data(), bytes_of(packed), static_cast<int>(packed.size()));
    if (decoded < 0) {
        return damaged("not base64");
    }
    inflate_stream stream;
    if (!stream.open) {
        return damaged("no memory");
    }
    stream.state.next_in = compressed.data();
    stream.state.avail_in = static_cast<unsigned>(decoded);
    std::string text;
    int outcome = Z_OK;
    while (outcome == Z_OK) {
        const auto filled = text.size();
        if (filled > limit) {
            return damaged("too long");
        }
        text.resize(filled + unpacked_step);
        stream.state.next_out = reinterpret_cast<unsigned char*>(text.data()) + filled;
        stream.state.avail_out = unpacked_step;
        outcome = inflate(&stream.state, Z_NO_FLUSH);
        text.resize(filled + unpacked_step - stream.state.avail_out);
    }
    if (outcome != Z_STREAM_END || text.size() > limit) {
        return damaged(outcome == Z_STREAM_END ? "too long" : "not zlib");
    }
    return text;
}

} // namespace jackdawvane
