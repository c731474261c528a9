#include "jackdawvane/sessions/messages.hpp"

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

const char* to_string(statement_error problem) noexcept {
    const auto& table = enum_names<statement_error>::table;
    const auto* const found = std::find_if(table.begin(), table.end(),
                                           [&](const auto& each) { return each.first == problem; });
    return found == table.end() ? "none" : found->second;
}

} // namespace jackdawvane
