#pragma once

namespace jackdawvane {

/// @brief Generates the numbers 1, 2, 3, ... as ids of type @a Id.
template <class Id>
class id_sequence {
  public:
    id_sequence() = default;
    /// @brief Sequence that continues after @a last.
    explicit id_sequence(Id last) noexcept : last_{last} {}

    /// @brief Returns an id that this sequence has not returned before.
    [[nodiscard]] Id next() noexcept { return last_ = last_.next(); }

  private:
    Id last_;
};

} // namespace jackdawvane
