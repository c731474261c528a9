#include "programs/jackdawvanectl/commands.hpp"

#include "jackdawvane/configuration/key_registry.hpp"

#include <utility>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "programs/jackdawvanectl/edit_file.hpp"

namespace jackdawvane::ctl {

namespace {

/// Random bytes in a key; 192 bits are infeasible to guess.
constexpr std::size_t key_bytes = 24;

/// Hexadecimal digits of a SHA-256 digest. Keys are shorter and start with a prefix, so the two
/// cannot be confused.
constexpr std::size_t digest_digits = 64;

std::string pretty(const Json::Value& json) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, json);
}

bool is_digest(const std::string& text) {
    return text.size() == digest_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

exit_code commands::fail(const error& problem) {
    out_ << problem.message() << '\n';
    return problem.kind == error_kind::store_unavailable ? unreachable : not_accepted;
}

exit_code commands::report(const edit_outcome& outcome) {
    switch (outcome.state) {
    case edit_state::accepted:
        out_ << "accepted as revision " << outcome.revision << " (edit " << outcome.id << ")\n";
        return done;
    case edit_state::unsettled:
        out_ << "unsettled: " << outcome.problem.detail << '\n';
        return unsettled;
    case edit_state::not_accepted:
        break;
    }
    out_ << "not accepted";
    if (outcome.problem.kind == error_kind::none) {
        out_ << " (edit " << outcome.id << ")\n";
        return not_accepted;
    }
    out_ << ": ";
    return fail(outcome.problem);
}

exit_code commands::show(const std::string& table, const std::string& row) {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    auto json = to_json(document.value());
    json.removeMember("recent_edits");
    if (!table.empty()) {
        const auto& names = table_names();
        if (std::find(names.begin(), names.end(), table) == names.end()) {
            out_ << "there is no table " << table << "; use routes, pools, organisations or keys\n";
            return not_accepted;
        }
        json = Json::Value{json[table]};
    }
    if (!row.empty()) {
        const auto value = row_value(document.value(), table, row);
        if (!value) {
            out_ << table << " has no row " << row << "; `get " << table << "` lists them\n";
            return not_accepted;
        }
        json = *value;
    }
    out_ << pretty(json) << '\n';
    return done;
}

exit_code commands::edit_from(const std::string& path, bool only_check) {
    std::ifstream file{path};
    std::stringstream text;
    if (!(text << file.rdbuf())) {
        out_ << path << ": cannot be read; check the path\n";
        return invalid_input;
    }
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    auto edit = read_edit(text.str(), document.value());
    if (!edit) {
        out_ << path << ": " << edit.error().message() << '\n';
        return invalid_input;
    }
    for (const auto& [line, what] : edit.value().problems) {
        out_ << path << (line == 0 ? "" : ":" + std::to_string(line)) << ": " << what.text()
             << '\n';
    }
    if (!edit.value().problems.empty()) {
        return invalid_input;
    }
    out_ << edit.value().changes.size() << " rows to change\n";
    if (only_check || edit.value().changes.empty()) {
        return done;
    }
    return report(session_.submit(document.value().revision, std::move(edit.value().changes)));
}

exit_code commands::check(const std::string& path) {
    return edit_from(path, true);
}

exit_code commands::apply_file(const std::string& path) {
    return edit_from(path, false);
}

exit_code commands::history() {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    for (const auto& edit : document.value().recent_edits) {
        out_ << edit.revision << "  " << edit.id << "  " << edit.operator_name;
        for (const auto& change : edit.changes) {
            out_ << "  " << (change.before ? (change.after ? "~" : "-") : "+") << change.table
                 << "/" << change.row;
        }
        out_ << '\n';
    }
    return done;
}

exit_code commands::undo(revision at) {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    const auto& edits = document.value().recent_edits;
    const auto found = std::find_if(edits.begin(), edits.end(),
                                    [&](const auto& edit) { return edit.revision == at; });
    if (found == edits.end()) {
        out_ << "revision " << at << " is not in the history; `history` lists the kept edits\n";
        return not_accepted;
    }
    auto reverted = inverse(*found, edit_id{});
    return report(session_.submit(document.value().revision, std::move(reverted.changes)));
}

exit_code commands::issue_key(const std::string& organisation, const std::string& label) {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    const auto key = "jdv-" + random_hex(key_bytes);
    const key_row row{organisation_id{organisation}, label};
    const auto outcome = session_.submit(
        document.value().revision, {{"keys", digest_of(key).str(), std::nullopt, to_json(row)}});
    const auto code = report(outcome);
    if (code == done || code == unsettled) {
        out_ << "key " << key << "\ndigest " << digest_of(key)
             << "\nonly the digest is stored; the key is not shown again\n";
    }
    return code;
}

exit_code commands::revoke_key(const std::string& key_or_digest) {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    const auto digest = is_digest(key_or_digest) ? key_or_digest : digest_of(key_or_digest).str();
    const auto row = row_value(document.value(), "keys", digest);
    if (!row) {
        out_ << "there is no key with digest " << digest << "; `get keys` lists them\n";
        return not_accepted;
    }
    return report(
        session_.submit(document.value().revision, {{"keys", digest, row, std::nullopt}}));
}

exit_code commands::settle(const std::string& id) {
    const auto outcome = session_.settle(edit_id{id});
    // That the edit was not accepted is a valid answer here, whatever the error kind; `report`
    // alone would return `unreachable` for `store_unavailable`.
    const auto code = report(outcome);
    return outcome.state == edit_state::not_accepted ? not_accepted : code;
}

} // namespace jackdawvane::ctl
