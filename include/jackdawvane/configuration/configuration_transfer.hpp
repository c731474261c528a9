#pragma once

#include "jackdawvane/configuration/configuration_history.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/peer.hpp"

#include <utility>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

/// @file
/// @brief Transfer of changed rows between two VMs, in slices that the receiver requests.

namespace jackdawvane {

/// @brief A document with the digest of its rows.
struct digested_document {
    const configuration_document& document;
    content_digest digest;
};

/// @brief Limits of the transfers that one VM serves.
struct part_limits {
    std::size_t slice{16384}; ///< Bytes of text in one message.
    /// Texts of over one slice that are begun within `window`; further receivers ask others.
    std::size_t long_transfers{6};
    duration window{std::chrono::seconds{1}};
};

/// @brief Answers requests for the document in force; each text is made once per revision, by the
/// VM that read the store, and passed on by the others.
class configuration_part_server {
  public:
    explicit configuration_part_server(part_limits limits = {}) : limits_{limits} {}

    /// @brief Discards the texts of the document that was in force before.
    void on_changed() { texts_.clear(); }

    /// @brief Keeps a text that led to the document in force, to pass it on as it is.
    /// @param after revision whose rows it changes; 0: it has all rows
    void keep(revision after, std::string text) { texts_[after] = std::move(text); }

    /// @brief Answer to @a request from @a vm.
    [[nodiscard]] configuration_part answer(time_point now, const vm_id& vm,
                                            const configuration_request& request,
                                            const digested_document& present,
                                            const configuration_history& history);

  private:
    [[nodiscard]] bool may_begin(time_point now, const vm_id& vm);

    part_limits limits_;
    /// Packed texts by the revision whose rows they change; 0: all rows.
    std::map<revision, std::string> texts_;
    std::deque<std::pair<time_point, vm_id>> begun_; ///< Long transfers within the window.
};

/// @brief Collects the slices of one text.
class configuration_part_collector {
  public:
    enum class progress { unusable, incomplete, complete };

    /// @brief Adds @a part, which starts anew when it is of another revision or at offset 0.
    [[nodiscard]] progress add(const configuration_part& part);

    /// @brief Whether the text has all rows of its revision instead of those that changed.
    [[nodiscard]] bool has_all_rows() const noexcept { return head_.after == revision{}; }

    /// @brief Request for the next slice, by a VM with the document @a present.
    [[nodiscard]] configuration_request next(const digested_document& present) const;

    /// @brief Document that results from the complete text.
    /// @return the document, or `malformed_request` when the text is damaged or its rows do not
    /// have the digest that its sender announced
    [[nodiscard]] result<configuration_document> finish(const digested_document& present) const;

    /// @brief Revision whose rows the text changes; 0: it has all rows.
    [[nodiscard]] revision base() const noexcept { return head_.after; }
    [[nodiscard]] const std::string& text() const noexcept { return text_; }

    void clear() { *this = {}; }

  private:
    configuration_part head_; ///< Last slice, without its text.
    std::string text_;
};

} // namespace jackdawvane
