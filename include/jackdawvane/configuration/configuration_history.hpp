#pragma once

#include "jackdawvane/configuration/configuration_difference.hpp"

#include <deque>
#include <optional>

namespace jackdawvane {

/// @brief Revisions that this VM had in force, with the names of the rows that each one changed.
///
/// Holds no rows, so that its size doesn't grow with the document. The oldest steps are dropped.
class configuration_history {
  public:
    /// @brief Notes that the document changed from @a before to the next one in @a rows.
    void add(revision before, content_digest digest, std::set<row_name> rows);

    /// @brief Rows that changed since a VM had the revision @a after with the content @a digest.
    /// @return the names, or nothing when this VM never had that revision with that content, or no
    /// longer knows
    [[nodiscard]] std::optional<std::set<row_name>> rows_since(revision after,
                                                               content_digest digest) const;

  private:
    struct step {
        revision before;
        content_digest digest; ///< Of `before`.
        std::set<row_name> rows;
    };

    std::deque<step> steps_; ///< Oldest first.
    std::size_t names_{0};   ///< Sum over the steps.
};

} // namespace jackdawvane
