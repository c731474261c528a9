#include "jackdawvane/routing/transaction_handle.hpp"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawvane {

namespace {

// An unreserved character in URLs, so that the id can be part of a path.
constexpr char separator = '~';
constexpr std::size_t part_count = 7;

std::vector<std::string_view> split(std::string_view text) {
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<std::uint64_t> number_from(std::string_view text) {
    std::uint64_t value{0};
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
    return whole ? std::optional{value} : std::nullopt;
}

} // namespace

transaction_id encode_transaction(const transaction_handle& handle) {
    std::string text = handle.owner.str();
    text += separator;
    text += std::to_string(handle.incarnation.value());
    text += separator;
    text += std::to_string(handle.number);
    text += separator;
    text += handle.mode == access_mode::write ? 'w' : 'r';
    text += separator;
    text += handle.group.str();
    text += separator;
    text += handle.backend.str();
    text += separator;
    text += handle.route.str();
    return transaction_id{std::move(text)};
}

result<transaction_handle> decode_transaction(const transaction_id& id) {
    const auto parts = split(id.str());
    const error unknown{error_kind::unknown_transaction, "malformed transaction id", {}};
    if (parts.size() != part_count || (parts[3] != "w" && parts[3] != "r")) {
        return unknown;
    }
    const auto incarnation = number_from(parts[1]);
    const auto number = number_from(parts[2]);
    if (!incarnation || !number) {
        return unknown;
    }
    return transaction_handle{vm_id{parts[0]},
                              vm_incarnation{*incarnation},
                              *number,
                              parts[3] == "w" ? access_mode::write : access_mode::read,
                              group_id{parts[4]},
                              backend_server_id{parts[5]},
                              route_name{parts[6]}};
}

} // namespace jackdawvane
