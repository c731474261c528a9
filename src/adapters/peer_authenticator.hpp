#pragma once

#include <utility>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawvane::detail {

/// @brief Seals messages between VMs with a keyed MAC, so that strangers cannot send any.
///
/// A sealed message is the base64 form of the first 18 bytes of its HMAC-SHA256, a space and
/// the text. The MAC covers the whole text and is checked before the text is parsed.
class peer_authenticator {
  public:
    /// @param secret shared by the fleet
    /// @throws std::runtime_error when OpenSSL offers no HMAC-SHA256
    explicit peer_authenticator(const std::string& secret);
    peer_authenticator(const peer_authenticator&) = delete;
    peer_authenticator& operator=(const peer_authenticator&) = delete;
    peer_authenticator(peer_authenticator&&) = delete;
    peer_authenticator& operator=(peer_authenticator&&) = delete;
    ~peer_authenticator();

    /// @brief Sealed form of @a text.
    [[nodiscard]] std::string seal(std::string_view text) const;

    /// @brief Text of the sealed message @a sealed; nothing when its MAC is wrong.
    [[nodiscard]] std::optional<std::string_view> open(std::string_view sealed) const;

  private:
    struct keyed_mac;

    std::unique_ptr<keyed_mac> mac_;
};

} // namespace jackdawvane::detail
