#include "jackdawvane/configuration/key_registry.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

#include <openssl/evp.h>

namespace jackdawvane {

key_digest digest_of(std::string_view key) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size{0};
    if (EVP_Digest(key.data(), key.size(), bytes.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error{"SHA-256 is not available; check the OpenSSL installation"};
    }
    static constexpr std::string_view digits{"0123456789abcdef"};
    std::string text;
    text.reserve(size_t{2} * size);
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xFU];
    }
    return key_digest{std::move(text)};
}

key_registry::key_registry(const configuration_document& document) {
    organisations_.reserve(document.keys.size());
    for (const auto& [digest, row] : document.keys) {
        organisations_.emplace(digest, row.organisation);
    }
}

result<organisation_id> key_registry::authenticate(std::string_view key) const {
    if (key.empty()) {
        return error{error_kind::missing_key, "the request has no API key", {}};
    }
    const auto found = organisations_.find(digest_of(key));
    if (found == organisations_.end()) {
        return error{
            error_kind::unknown_key, "the API key is not registered or has been withdrawn", {}};
    }
    return found->second;
}

result<void> authorise(const route_row& route, const organisation_id& organisation) {
    const auto& admitted = route.organisations;
    const bool allowed =
        route.open || admitted.empty() ||
        std::find(admitted.begin(), admitted.end(), organisation) != admitted.end();
    if (!allowed) {
        return error{error_kind::organisation_not_allowed,
                     "organisation " + organisation.str() + " is not allowed to use the route",
                     {}};
    }
    return boost::outcome_v2::success();
}

} // namespace jackdawvane
