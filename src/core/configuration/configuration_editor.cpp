#include "jackdawvane/configuration/configuration_editor.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "config";

error store_silent(const std::string& detail) {
    return {error_kind::store_unavailable, detail, {}};
}

} // namespace

configuration_editor::configuration_editor(editor_settings settings, id_sequence<request_id>& ids,
                                           random_engine& random)
    : settings_{settings}, ids_{ids}, random_{random} {}

void configuration_editor::submit(time_point now, configuration_edit edit, actions& out) {
    edit_ = std::move(edit);
    only_settle_ = false;
    open_write_.reset();
    start(now, out);
}

void configuration_editor::settle(time_point now, edit_id id, revision after, actions& out) {
    edit_ = {};
    edit_.id = std::move(id);
    only_settle_ = true;
    started_at_ = after;
    open_write_.reset();
    start(now, out);
}

void configuration_editor::start(time_point now, actions& out) {
    outcome_.reset();
    give_up_at_ = now + settings_.time_limit;
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
    // A lagging read must not lead back behind a version that is known to exist.
    const auto lowest = std::max(version_, open_write_.value_or(0));
    if (answer.version < lowest) {
        retry(now);
        return;
    }
    auto parsed = parse_document(answer.value);
    if (!parsed) {
        finish(open_write_ ? edit_state::unsettled : edit_state::not_accepted, {}, parsed.error(),
               out);
        return;
    }
    document_ = std::move(parsed).value();
    version_ = answer.version;
    decide(now, out);
}

void configuration_editor::decide(time_point now, actions& out) {
    if (const auto* const accepted = find_edit(document_, edit_.id)) {
        finish(edit_state::accepted, accepted->revision, {error_kind::none, {}, {}}, out);
        return;
    }
    if (only_settle_) {
        write(document_, step::fencing, out);
        return;
    }
    // At the version of a lost write, the same edit is written again: only one of the two can
    // take effect, and both make the same document.
    if (!open_write_ || version_ == *open_write_) {
        apply_edit(out);
        return;
    }
    settle_absent(now, out);
}

void configuration_editor::apply_edit(actions& out) {
    auto changed = apply(document_, edit_);
    if (!changed) {
        finish(edit_state::not_accepted, {}, changed.error(), out);
        return;
    }
    written_ = std::move(changed).value();
    started_at_ = document_.revision;
    write(written_, step::writing, out);
}

/// The edit is not in the document and the version has moved past all its writes.
void configuration_editor::settle_absent(time_point now, actions& out) {
    if (!keeps_edits_after(document_, started_at_)) {
        finish(edit_state::unsettled, {},
               {error_kind::conflict,
                "the document no longer keeps the edits of that time; compare the rows with "
                "`jackdawvanectl get`",
                {}},
               out);
        return;
    }
    open_write_.reset();
    if (only_settle_) {
        finish(edit_state::not_accepted, {}, {error_kind::none, {}, {}}, out);
        return;
    }
    if (now < give_up_at_) {
        apply_edit(out);
        return;
    }
    give_up(out);
}

void configuration_editor::on_written(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::ok) {
        document_ = std::move(written_);
        version_ = answer.version;
        finish(edit_state::accepted, document_.revision, {error_kind::none, {}, {}}, out);
        return;
    }
    if (answer.status == store_status::unavailable) {
        open_write_ = version_;
        log(out, log_part, log_level::warning,
            "edit " + edit_.id.str() + ": no answer to the write, reading back");
        retry(now);
        return;
    }
    // A definite conflict means that the version has moved on; read the newer document.
    version_ = std::max(version_, answer.version);
    read(out);
}

void configuration_editor::on_fenced(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::ok) {
        version_ = answer.version;
        settle_absent(now, out);
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
    if (now >= give_up_at_) {
        give_up(out);
        return;
    }
    if (step_ == step::waiting && now >= retry_at_) {
        read(out);
    }
}

void configuration_editor::give_up(actions& out) {
    if (only_settle_ || open_write_ || step_ == step::writing) {
        finish_unsettled(out);
        return;
    }
    finish(edit_state::not_accepted, {},
           store_silent("the store did not answer in time; nothing was written"), out);
}

void configuration_editor::finish_unsettled(actions& out) {
    finish(edit_state::unsettled, {},
           store_silent("it is not known whether the edit was accepted; ask with "
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
    log(out, log_part, log_level::info, std::move(line));
}

time_point configuration_editor::next_deadline() const {
    if (step_ == step::idle) {
        return no_deadline;
    }
    return step_ == step::waiting ? std::min(retry_at_, give_up_at_) : give_up_at_;
}

} // namespace jackdawvane
