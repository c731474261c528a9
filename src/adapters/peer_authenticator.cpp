#include "peer_authenticator.hpp"

#include <array>
#include <stdexcept>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace jackdawvane::detail {

namespace {

constexpr std::size_t digest_size = 32; // bytes of SHA-256
constexpr std::size_t mac_size = 18;    // bytes; a multiple of 3 needs no base64 padding
constexpr std::size_t mac_text_size = mac_size / 3 * 4;
constexpr std::size_t prefix_size = mac_text_size + 1;

struct free_context {
    void operator()(EVP_MAC_CTX* context) const noexcept { EVP_MAC_CTX_free(context); }
};

} // namespace

struct peer_authenticator::keyed_mac {
    std::unique_ptr<EVP_MAC_CTX, free_context> context;

    // Initialising without a key reuses the key set by the constructor and its precomputed state.
    [[nodiscard]] std::array<char, mac_text_size + 1> compute(std::string_view text) const {
        std::array<unsigned char, digest_size> digest{};
        std::size_t size{0};
        const auto* const data = reinterpret_cast<const unsigned char*>(text.data());
        const bool computed =
            EVP_MAC_init(context.get(), nullptr, 0, nullptr) == 1 &&
            EVP_MAC_update(context.get(), data, text.size()) == 1 &&
            EVP_MAC_final(context.get(), digest.data(), &size, digest.size()) == 1;
        if (!computed) {
            throw std::runtime_error{"HMAC-SHA256 failed; check the OpenSSL installation"};
        }
        std::array<char, mac_text_size + 1> encoded{};
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()), digest.data(), mac_size);
        return encoded;
    }
};

peer_authenticator::peer_authenticator(const std::string& secret)
    : mac_{std::make_unique<keyed_mac>()} {
    EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    mac_->context.reset(algorithm == nullptr ? nullptr : EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
    std::string digest{"SHA256"};
    const std::array parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
        OSSL_PARAM_construct_end()};
    const auto* const key = reinterpret_cast<const unsigned char*>(secret.data());
    if (!mac_->context ||
        EVP_MAC_init(mac_->context.get(), key, secret.size(), parameters.data()) != 1) {
        throw std::runtime_error{"HMAC-SHA256 is not available; check the OpenSSL installation"};
    }
}

peer_authenticator::~peer_authenticator() = default;

std::string peer_authenticator::add_mac(std::string_view text) const {
    const auto mac = mac_->compute(text);
    std::string message;
    message.reserve(prefix_size + text.size() + 1);
    message.append(mac.data(), mac_text_size);
    message += ' ';
    message.append(text);
    return message;
}

std::optional<std::string_view> peer_authenticator::verify(std::string_view message) const {
    if (message.size() < prefix_size || message[mac_text_size] != ' ') {
        return {};
    }
    const auto text = message.substr(prefix_size);
    const auto mac = mac_->compute(text);
    if (CRYPTO_memcmp(mac.data(), message.data(), mac_text_size) != 0) {
        return {};
    }
    return text;
}

} // namespace jackdawvane::detail
