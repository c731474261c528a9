#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <optional>

namespace jackdawvane {

/// @brief Store key of the configuration document.
inline constexpr const char* configuration_key = "config";

/// @brief How an edit ended.
enum class edit_state {
    accepted,     ///< In the document, for good.
    not_accepted, ///< Not in the document, and no write of it can still take effect.
    unsettled,    ///< Not known; ask again later with the edit's id.
};

/// @brief Result of one edit or of one later question about it.
struct edit_outcome {
    edit_state state{edit_state::unsettled};
    edit_id id;
    jackdawvane::revision revision; ///< Revision that the edit made, when accepted.
    error problem{error_kind::none, {}, {}};
};

/// @brief Intervals of the editor.
struct editor_settings {
    duration time_limit{std::chrono::seconds{10}};
    duration retry_floor{std::chrono::milliseconds{100}};
    duration retry_ceiling{std::chrono::seconds{1}};
};

/// @brief Drives one edit at a time through the store.
///
/// An edit is written by compare-and-swap at the version that was read. After a definite
/// conflict it is re-applied to the newer document. After a lost answer the document is read
/// back and searched for the edit's id; if it is not there, the edit is written again, at the
/// same version or, when the version has moved past the lost write, re-applied.
///
/// A later question cannot repeat the edit, and its write may still be under way. It therefore
/// writes the unchanged document by compare-and-swap before it reports "not accepted": this
/// moves the version on, so that no earlier write can take effect.
class configuration_editor {
  public:
    configuration_editor(editor_settings settings, id_sequence<request_id>& ids,
                         random_engine& random);

    /// @brief Starts @a edit; its `before` values are checked against the stored document.
    /// @param edit an id that was never used before, and the changes
    void submit(time_point now, configuration_edit edit, actions& out);

    /// @brief Finds out what became of the edit @a id that was started at revision @a after.
    void settle(time_point now, edit_id id, revision after, actions& out);

    /// @brief Takes a store answer.
    /// @return whether the answer belongs to this part
    bool on_store(time_point now, const store_answer& answer, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Result of the last edit or question; nothing while it runs.
    [[nodiscard]] const std::optional<edit_outcome>& outcome() const noexcept { return outcome_; }

    /// @brief Document that was last read or written.
    [[nodiscard]] const configuration_document& document() const noexcept { return document_; }

  private:
    enum class step { idle, reading, writing, fencing, waiting };

    void start(time_point now, actions& out);
    void read(actions& out);
    void write(const configuration_document& changed, step next, actions& out);
    void on_read(time_point now, const store_answer& answer, actions& out);
    void on_written(time_point now, const store_answer& answer, actions& out);
    void on_fenced(time_point now, const store_answer& answer, actions& out);
    void decide(time_point now, actions& out);
    void apply_edit(actions& out);
    void settle_absent(time_point now, actions& out);
    void retry(time_point now);
    void finish(edit_state state, revision at, error problem, actions& out);
    void finish_unsettled(actions& out);
    void give_up(actions& out);

    editor_settings settings_;
    id_sequence<request_id>& ids_;
    random_engine& random_;
    configuration_edit edit_;
    bool only_settle_{false};
    revision started_at_;                     ///< The edit, if accepted, has a later revision.
    std::optional<std::uint64_t> open_write_; ///< Version of a write whose fate is not known.
    configuration_document document_;
    configuration_document written_;
    std::uint64_t version_{0};
    request_id pending_;
    step step_{step::idle};
    time_point give_up_at_{no_deadline};
    time_point retry_at_{no_deadline};
    duration back_off_{0};
    std::optional<edit_outcome> outcome_;
};

} // namespace jackdawvane
