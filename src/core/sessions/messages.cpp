#include "jackdawvane/sessions/messages.hpp"

#include "jackdawvane/sessions/ports.hpp"

#include <utility>

#include <algorithm>
#include <array>

namespace jackdawvane {

const char* to_string(statement_kind kind) noexcept {
    constexpr std::array<const char*, 10> names{"begin",      "commit", "rollback", "read",
                                                "write",      "set",    "prepare",  "execute",
                                                "deallocate", "unknown"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* to_string(command_kind kind) noexcept {
    const auto& table = enum_names<command_kind>::table;
    const auto* const found = std::find_if(table.begin(), table.end(),
                                           [&](const auto& each) { return each.first == kind; });
    return found == table.end() ? "" : found->second;
}

const char* to_string(close_reason reason) noexcept {
    constexpr std::array<std::pair<close_reason, const char*>, 4> names{
        {{close_reason::refused, "refused"},
         {close_reason::rejected, "rejected"},
         {close_reason::timeout, "timeout"},
         {close_reason::lost, "lost"}}};
    const auto* const found = std::find_if(names.begin(), names.end(),
                                           [&](const auto& each) { return each.first == reason; });
    return found == names.end() ? "" : found->second;
}

const char* to_string(statement_error problem) noexcept {
    const auto& table = enum_names<statement_error>::table;
    const auto* const found = std::find_if(table.begin(), table.end(),
                                           [&](const auto& each) { return each.first == problem; });
    return found == table.end() ? "none" : found->second;
}

} // namespace jackdawvane
