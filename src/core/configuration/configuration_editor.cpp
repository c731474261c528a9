#include "jackdawvane/configuration/configuration_editor.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "config";

error store_unavailable_error(const std::string& detail) {
    return {error_kind::store_unavailable, detail, {}};
}

} // namespace

configuration_editor::configuration_editor(editor_settings settings, id_sequence<request_id>& ids,
                                           random_engine& random)
    : settings_{settings}, ids_{ids}, random_{random} {}

void configuration_editor::submit(time_point now, configuration_edit edit, actions& out) {
    edit_ = std::move(edit);
    status_query_only_ = false;
    lost_write_version_.reset();
    start(now, out);
}

void configuration_editor::settle(time_point now, edit_id id, revision after, actions& out) {
    edit_ = {};
    edit_.id = std::move(id);
    status_query_only_ = true;
    base_revision_ = after;
    lost_write_version_.reset();
    start(now, out);
}

void configuration_editor::start(time_point now, actions& out) {
    outcome_.reset();
    deadline_ = now + settings_.time_limit;
    back_off_ = settings_.retry_floor;
    read(out);
}

void configuration_editor::read(actions& out) {
    step_ = step::reading;
    retry_at_ = no_deadline;
    store_request request;
    request.id = pending_ = ids_.next();
    request.operation = store_operation::read;
    request.key = configuration_key;
    out.emplace_back(std::move(request));
}

void configuration_editor::write(const configuration_document& changed, step next, actions& out) {
    step_ = next;
    store_request request;
    request.id = pending_ = ids_.next();
    request.operation = store_operation::compare_and_swap;
    request.key = configuration_key;
    request.value = document_text(changed);
    request.version = version_;
    out.emplace_back(std::move(request));
}

bool configuration_editor::on_store(time_point now, const store_answer& answer, actions& out) {
    if (step_ == step::idle || step_ == step::waiting || answer.id != pending_) {
        return false;
    }
    switch (step_) {
    case step::reading:
        on_read(now, answer, out);
        break;
    case step::writing:
        on_written(now, answer, out);
        break;
    default:
        on_fenced(now, answer, out);
        break;
    }
    return true;
}

void configuration_editor::on_read(time_point now, const store_answer& answer, actions& out) {
    const bool absent = answer.status == store_status::not_found;
    if (answer.status != store_status::ok && !absent) {
        retry(now);
        return;
    }
    // Reject a stale read: it must not return to a version older than one known to exist.
    const auto lowest = std::max(version_, lost_write_version_.value_or(0));
    if (answer.version < lowest) {
        retry(now);
        return;
    }
    auto parsed = parse_document(answer.value);
    if (!parsed) {
        finish(lost_write_version_ ? edit_state::unsettled : edit_state::not_accepted, {},
               parsed.error(), out);
        return;
    }
    document_ = std::move(parsed).value();
    version_ = answer.version;
    resolve_outcome(now, out);
}

void configuration_editor::resolve_outcome(time_point now, actions& out) {
    if (const auto* const accepted = find_edit(document_, edit_.id)) {
        finish(edit_state::accepted, accepted->revision, {error_kind::none, {}, {}}, out);
        return;
    }
    if (status_query_only_) {
        write(document_, step::fencing, out);
        return;
    }
    // At the version expected by a lost write, the same edit is written again: only one of the two
    // writes can take effect, and both produce the same document.
    if (!lost_write_version_ || version_ == *lost_write_version_) {
        apply_edit(out);
        return;
    }
    resolve_absent_edit(now, out);
}

void configuration_editor::apply_edit(actions& out) {
    auto changed = apply(document_, edit_);
    if (!changed) {
        finish(edit_state::not_accepted, {}, changed.error(), out);
        return;
    }
    written_ = std::move(changed).value();
    base_revision_ = document_.revision;
    write(written_, step::writing, out);
}

/// Handles an edit that is not in the document when the version is past that of all its writes.
void configuration_editor::resolve_absent_edit(time_point now, actions& out) {
    if (!has_all_edits_after(document_, base_revision_)) {
        finish(edit_state::unsettled, {},
               {error_kind::conflict,
                "the document history no longer reaches back to that edit; compare the rows with "
                "`jackdawvanectl get`",
                {}},
               out);
        return;
    }
    lost_write_version_.reset();
    if (status_query_only_) {
        finish(edit_state::not_accepted, {}, {error_kind::none, {}, {}}, out);
        return;
    }
    if (now < deadline_) {
        apply_edit(out);
        return;
    }
    finish_timed_out(out);
}

void configuration_editor::on_written(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::ok) {
        document_ = std::move(written_);
        version_ = answer.version;
        finish(edit_state::accepted, document_.revision, {error_kind::none, {}, {}}, out);
        return;
    }
    if (answer.status == store_status::unavailable) {
        lost_write_version_ = version_;
        log(out, log_component, log_level::warning,
            "edit " + edit_.id.str() + ": no answer to the write; reading the document again");
        retry(now);
        return;
    }
    // A conflict means that the version has increased; read the newer document.
    version_ = std::max(version_, answer.version);
    read(out);
}

void configuration_editor::on_fenced(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::ok) {
        version_ = answer.version;
        resolve_absent_edit(now, out);
        return;
    }
    if (answer.status == store_status::unavailable) {
        retry(now);
        return;
    }
    read(out);
}

void configuration_editor::retry(time_point now) {
    step_ = step::waiting;
    std::uniform_int_distribution<duration::rep> spread{back_off_.count() / 2, back_off_.count()};
    retry_at_ = now + duration{spread(random_)};
    back_off_ = std::min(2 * back_off_, settings_.retry_ceiling);
}

void configuration_editor::tick(time_point now, actions& out) {
    if (step_ == step::idle) {
        return;
    }
    if (now >= deadline_) {
        finish_timed_out(out);
        return;
    }
    if (step_ == step::waiting && now >= retry_at_) {
        read(out);
    }
}

void configuration_editor::finish_timed_out(actions& out) {
    if (status_query_only_ || lost_write_version_ || step_ == step::writing) {
        finish_unsettled(out);
        return;
    }
    finish(edit_state::not_accepted, {},
           store_unavailable_error(
               "the store did not answer within the time limit; nothing was written"),
           out);
}

void configuration_editor::finish_unsettled(actions& out) {
    finish(edit_state::unsettled, {},
           store_unavailable_error("the outcome of the edit is unknown; query it with "
                                   "`jackdawvanectl settle " +
                                   edit_.id.str() + "` once the store answers"),
           out);
}

void configuration_editor::finish(edit_state state, revision at, error problem, actions& out) {
    step_ = step::idle;
    outcome_ = edit_outcome{state, edit_.id, at, std::move(problem)};
    static constexpr std::array names{"accepted", "not accepted", "unsettled"};
    auto line = "edit " + edit_.id.str() + ": " + names.at(static_cast<std::size_t>(state));
    if (state == edit_state::accepted) {
        line += " as revision " + std::to_string(at.value());
    }
    log(out, log_component, log_level::info, std::move(line));
}

time_point configuration_editor::next_deadline() const {
    if (step_ == step::idle) {
        return no_deadline;
    }
    return step_ == step::waiting ? std::min(retry_at_, deadline_) : deadline_;
}

} // namespace jackdawvane
