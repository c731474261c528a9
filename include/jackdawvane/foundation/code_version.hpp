#pragma once

namespace jackdawvane {

/// @brief Version of the code: what `git describe` printed for it, or else the project's version.
[[nodiscard]] const char* code_version() noexcept;

} // namespace jackdawvane
