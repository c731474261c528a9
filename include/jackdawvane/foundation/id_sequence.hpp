#pragma once

namespace jackdawvane {

/// @brief Hands out the numbers 1, 2, 3, ... as ids of type @a Id.
template <class Id>
class id_sequence {
  public:
    /// @brief An id that this sequence has not handed out before.
    [[nodiscard]] Id next() noexcept { return last_ = last_.next(); }

  private:
    Id last_;
};

} // namespace jackdawvane
