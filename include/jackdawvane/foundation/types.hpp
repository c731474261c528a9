#pragma once

#include <utility>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace jackdawvane {

/// @brief Strongly typed text identifier; ids of different kinds do not convert to each other.
template <class Tag>
class basic_id {
  public:
    basic_id() = default;
    explicit basic_id(std::string text) noexcept : text_{std::move(text)} {}
    explicit basic_id(std::string_view text) : text_{text} {}
    explicit basic_id(const char* text) : text_{text} {}

    [[nodiscard]] const std::string& str() const noexcept { return text_; }
    [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

    friend auto operator<=>(const basic_id&, const basic_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const basic_id& id) {
        return out << id.text_;
    }

  private:
    std::string text_;
};

/// @brief Strongly typed number; numbers of different kinds do not convert to each other.
template <class Tag>
class basic_number {
  public:
    constexpr basic_number() = default;
    constexpr explicit basic_number(std::uint64_t value) noexcept : value_{value} {}

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return value_; }
    [[nodiscard]] constexpr basic_number next() const noexcept { return basic_number{value_ + 1}; }

    friend constexpr auto operator<=>(const basic_number&, const basic_number&) = default;
    friend std::ostream& operator<<(std::ostream& out, const basic_number& number) {
        return out << number.value_;
    }

  private:
    std::uint64_t value_{0};
};

using vm_id = basic_id<struct vm_id_tag>;
using failure_domain_id = basic_id<struct failure_domain_id_tag>;
using region_id = basic_id<struct region_id_tag>;
using organisation_id = basic_id<struct organisation_id_tag>;
using backend_server_id = basic_id<struct backend_server_id_tag>;
using group_id = basic_id<struct group_id_tag>;
using pool_name = basic_id<struct pool_name_tag>;
using route_name = basic_id<struct route_name_tag>;
/// @brief Set of organisations whose rates are divided among the same VMs in the same proportions.
using share_group_id = basic_id<struct share_group_id_tag>;
/// @brief Idempotency key that a caller assigns to a non-idempotent request.
using request_name = basic_id<struct request_name_tag>;
/// @brief Identifies one edit of the configuration, chosen by the operator's client.
using edit_id = basic_id<struct edit_id_tag>;
/// @brief Hexadecimal SHA-256 digest of a caller's API key.
using key_digest = basic_id<struct key_digest_tag>;
/// @brief Identifies an interactive transaction by its owner VM, the VM's incarnation and a number.
using transaction_id = basic_id<struct transaction_id_tag>;

/// @brief Election term of a database group.
using term = basic_number<struct term_tag>;
/// @brief Position of an entry in the log of a database group; 0 is the empty log.
using log_position = basic_number<struct log_position_tag>;
/// @brief Revision of the configuration document; increases with each accepted edit.
using revision = basic_number<struct revision_tag>;
/// @brief Incarnation number of a VM's process; a restarted or replaced process has a higher one.
using vm_incarnation = basic_number<struct vm_incarnation_tag>;
/// @brief Host-local number of an open connection to a backend server.
using connection_id = basic_number<struct connection_id_tag>;
/// @brief Host-local number of a caller's request that waits for its answer.
using caller_id = basic_number<struct caller_id_tag>;
/// @brief Number of a request, unique at the VM that issued it.
using request_id = basic_number<struct request_id_tag>;

/// @brief Numeric address and port of a process.
struct endpoint {
    std::string address;   ///< IP address as text.
    std::uint16_t port{0}; ///< TCP or UDP port.

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// @brief Position of a VM or backend server in the platform.
struct location {
    region_id region;
    failure_domain_id domain;

    friend auto operator<=>(const location&, const location&) = default;
};

} // namespace jackdawvane

template <class Tag>
struct std::hash<jackdawvane::basic_id<Tag>> {
    std::size_t operator()(const jackdawvane::basic_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<jackdawvane::basic_number<Tag>> {
    std::size_t operator()(const jackdawvane::basic_number<Tag>& number) const noexcept {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
