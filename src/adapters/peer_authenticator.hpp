#pragma once

#include <utility>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawvane::detail {

/// @brief Authenticates messages between VMs with a MAC, so that only holders of the secret can
/// send them.
///
/// A message is the base64 form of the first 18 bytes of the HMAC-SHA256 of its text, a space and
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

    /// @brief Message that consists of the MAC of @a text and @a text.
    [[nodiscard]] std::string add_mac(std::string_view text) const;

    /// @brief Text of @a message; nothing when its MAC is wrong.
    [[nodiscard]] std::optional<std::string_view> verify(std::string_view message) const;

  private:
    struct keyed_mac;

    std::unique_ptr<keyed_mac> mac_;
};

} // namespace jackdawvane::detail
