#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <string_view>
#include <unordered_map>

namespace jackdawvane {

/// @brief SHA-256 digest of @a key as lower-case hexadecimal digits.
[[nodiscard]] key_digest digest_of(std::string_view key);

/// @brief Maps callers' API keys to organisations; stores only digests of the keys.
///
/// The look-up compares digests, not keys, and takes variable time. A timing attack could reveal
/// at most a stored digest: the attacker would have to choose keys by digest prefix, and finding a
/// key for the complete digest requires a preimage of SHA-256.
class key_registry {
  public:
    key_registry() = default;
    /// @brief Registry of all keys in @a document.
    explicit key_registry(const configuration_document& document);

    /// @brief Looks up the organisation of @a key.
    /// @return the organisation, `missing_key` for an empty key, or `unknown_key`
    /// @complexity one digest and one hash look-up
    [[nodiscard]] result<organisation_id> authenticate(std::string_view key) const;

    [[nodiscard]] std::size_t size() const noexcept { return organisations_.size(); }

  private:
    std::unordered_map<key_digest, organisation_id> organisations_;
};

/// @brief Whether @a organisation may use @a route.
/// @return success, or `organisation_not_allowed`
[[nodiscard]] result<void> authorise(const route_row& route, const organisation_id& organisation);

} // namespace jackdawvane
