#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <string_view>
#include <unordered_map>

namespace jackdawvane {

/// @brief SHA-256 digest of @a key in lower-case hexadecimal digits.
[[nodiscard]] key_digest digest_of(std::string_view key);

/// @brief Maps callers' keys to organisations; holds digests only.
///
/// The look-up compares digests, not keys, in variable time. What its duration tells about a
/// stored digest is of no use: to exploit it, an attacker has to choose keys by digest prefix,
/// and finding a key for a whole digest needs a preimage of SHA-256.
class key_registry {
  public:
    key_registry() = default;
    /// @brief Registry of all keys of @a document.
    explicit key_registry(const configuration_document& document);

    /// @brief Organisation that @a key belongs to.
    /// @return the organisation, `missing_key` for an empty key, or `unknown_key`
    /// @complexity one digest and one hash look-up
    [[nodiscard]] result<organisation_id> authenticate(std::string_view key) const;

    /// @brief Number of keys.
    [[nodiscard]] std::size_t size() const noexcept { return organisations_.size(); }

  private:
    std::unordered_map<key_digest, organisation_id> organisations_;
};

/// @brief Whether @a organisation may use @a route.
/// @return success, or `organisation_not_allowed`
[[nodiscard]] result<void> authorise(const route_row& route, const organisation_id& organisation);

} // namespace jackdawvane
