#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <optional>

namespace jackdawvane {

/// @brief Store key of the configuration document.
inline constexpr const char* configuration_key = "config";

/// @brief Outcome of an edit.
enum class edit_state {
    accepted,     ///< Permanently part of the document.
    not_accepted, ///< Not in the document, and no earlier write of it can take effect.
    unsettled,    ///< Unknown; a later status query with the edit's id tells.
};

/// @brief Result of one edit or of one later status query for it.
struct edit_outcome {
    edit_state state{edit_state::unsettled};
    edit_id id;
    jackdawvane::revision revision; ///< Revision created by the edit, when accepted.
    error problem{error_kind::none, {}, {}};
};

/// @brief Time limit of an edit and bounds of its retry delay.
struct editor_settings {
    duration time_limit{std::chrono::seconds{10}};
    duration retry_floor{std::chrono::milliseconds{100}};
    duration retry_ceiling{std::chrono::seconds{1}};
};

/// @brief Applies one edit at a time to the configuration document in the store.
///
/// An edit is written by compare-and-swap at the version that was read. After a version conflict
/// it is re-applied to the newer document. After a lost answer the document is read again and
/// searched for the edit's id. If the edit is absent, it is written again at the same version or,
/// when the version is already past that of the lost write, re-applied to the newer document.
///
/// A later status query cannot repeat the edit, and a write of the edit may still be in flight.
/// The query therefore writes the unchanged document by compare-and-swap before it reports "not
/// accepted": this increments the version, so that no earlier write can take effect.
class configuration_editor {
  public:
    configuration_editor(editor_settings settings, id_sequence<request_id>& ids,
                         random_engine& random);

    /// @brief Starts @a edit; its `before` values are checked against the stored document.
    /// @param edit the changes, and an id that was never used before
    void submit(time_point now, configuration_edit edit, actions& out);

    /// @brief Queries the outcome of the edit @a id that was started at revision @a after.
    void settle(time_point now, edit_id id, revision after, actions& out);

    /// @brief Handles an answer of the store.
    /// @return whether the answer was to a request of this editor
    bool on_store(time_point now, const store_answer& answer, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Result of the last edit or status query; nothing while it runs.
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
    void resolve_outcome(time_point now, actions& out);
    void apply_edit(actions& out);
    void resolve_absent_edit(time_point now, actions& out);
    void retry(time_point now);
    void finish(edit_state state, revision at, error problem, actions& out);
    void finish_unsettled(actions& out);
    void finish_timed_out(actions& out);

    editor_settings settings_;
    id_sequence<request_id>& ids_;
    random_engine& random_;
    configuration_edit edit_;
    bool status_query_only_{false};
    revision base_revision_; ///< The edit, if accepted, has a higher revision.
    /// Version expected by a write whose outcome is unknown.
    std::optional<std::uint64_t> lost_write_version_;
    configuration_document document_;
    configuration_document written_;
    std::uint64_t version_{0};
    request_id pending_;
    step step_{step::idle};
    time_point deadline_{no_deadline};
    time_point retry_at_{no_deadline};
    duration back_off_{0};
    std::optional<edit_outcome> outcome_;
};

} // namespace jackdawvane
