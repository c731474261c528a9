#include "standins/jackdawvane-backend/database.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t entries_per_answer = 500;
constexpr std::size_t reported_terms = 32;

} // namespace

backend_status database::status() const {
    backend_status status;
    status.role = role_;
    status.accepted_term = accepted_;
    status.last_entry_term = log_.last_term();
    status.position = log_.last();
    const auto& history = log_.history();
    const auto skipped = history.size() - std::min(history.size(), reported_terms);
    status.history.assign(history.begin() + static_cast<std::ptrdiff_t>(skipped), history.end());
    return status;
}

void database::record(const char* change, Json::Value value) const {
    if (journal_) {
        Json::Value line;
        line[change] = std::move(value);
        journal_(line);
    }
}

void database::record_term() const {
    Json::Value accepted;
    accepted["term"] = to_json(accepted_);
    accepted["candidate"] = to_json(candidate_);
    record("accepted", std::move(accepted));
}

void database::replay(const Json::Value& change) {
    if (change.isMember("entry")) {
        append(from_json<log_entry>(change["entry"]).value());
    } else if (change.isMember("truncate")) {
        truncate(log_position{change["truncate"].asUInt64()});
    } else if (change.isMember("accepted")) {
        accepted_ = term{change["accepted"]["term"].asUInt64()};
        candidate_ = vm_id{change["accepted"]["candidate"].asString()};
    }
}

void database::append(log_entry entry) {
    record("entry", to_json(entry));
    log_.append(std::move(entry));
    state_.apply(log_.at(log_.last()), log_.last());
}

void database::truncate(log_position position) {
    record("truncate", to_json(position));
    log_.truncate(position);
    state_.rebuild(log_);
}

void database::adopt_term(term higher, vm_id candidate) {
    accepted_ = higher;
    candidate_ = std::move(candidate);
    role_ = backend_role::replica;
    source_ = {};
    record_term();
}

void database::reject(backend_answer& answer, std::string reason) {
    answer.problem = {error_kind::conflict, std::move(reason), {}};
}

bool database::is_fenced(const backend_request& request, backend_answer& answer) const {
    if (request.mode == access_mode::read) {
        return false;
    }
    const bool other_term = request.expected_term != term{} && request.expected_term != accepted_;
    if (role_ == backend_role::primary && !other_term) {
        return false;
    }
    answer.problem = {error_kind::fenced,
                      role_ == backend_role::primary
                          ? "the expected term differs from the accepted term"
                          : "this server is not the primary",
                      {}};
    return true;
}

bool database::is_repeat(const request_name& name, const std::string& fingerprint,
                         backend_answer& answer) const {
    const auto* first = name.empty() ? nullptr : state_.find(name);
    if (first == nullptr) {
        return false;
    }
    if (first->fingerprint != fingerprint) {
        answer.problem = {
            error_kind::name_reused, "the request name was used with another fingerprint", {}};
        return true;
    }
    const auto& entry = log_.at(first->written);
    answer.repeated = true;
    answer.written = first->written;
    answer.written_term = entry.term;
    answer.results = entry.results;
    return true;
}

void database::execute(const backend_request& request, backend_answer& answer) {
    if (is_fenced(request, answer)) {
        return;
    }
    const bool writes = request.mode == access_mode::write;
    if (writes && is_repeat(request.name, request.fingerprint, answer)) {
        return;
    }
    transaction_view view;
    auto results = state_.run(request.statements, request.mode, view);
    if (!results) {
        answer.problem = results.error();
        return;
    }
    ++executed_;
    answer.results = results.value();
    if (writes) {
        append({accepted_,
                request.name,
                request.fingerprint,
                request.statements,
                std::move(results).value(),
                {}});
        answer.written = log_.last();
        answer.written_term = accepted_;
    }
}

void database::begin(const backend_request& request, backend_answer& answer) const {
    (void)is_fenced(request, answer);
}

void database::run(const backend_request& request, open_transaction& transaction,
                   backend_answer& answer) const {
    if (is_fenced(transaction.begin, answer)) {
        return;
    }
    auto results = state_.run(request.statements, transaction.begin.mode, transaction.view);
    if (!results) {
        answer.problem = results.error();
        return;
    }
    for (const auto& statement : request.statements) {
        transaction.statements.append(statement);
    }
    for (const auto& entry : results.value()) {
        transaction.results.append(entry);
    }
    answer.results = std::move(results).value();
}

void database::commit(const backend_request& request, const open_transaction& transaction,
                      backend_answer& answer) {
    const auto& begin = transaction.begin;
    if (is_fenced(begin, answer)) {
        return;
    }
    const auto& name = request.name.empty() ? begin.name : request.name;
    const auto& fingerprint = request.fingerprint.empty() ? begin.fingerprint : request.fingerprint;
    const bool writes = begin.mode == access_mode::write;
    if (writes && is_repeat(name, fingerprint, answer)) {
        return;
    }
    if (writes && state_.is_stale(transaction.view)) {
        answer.problem = {error_kind::statement_failed,
                          "another transaction changed a key that this one accessed",
                          {}};
        return;
    }
    ++executed_;
    answer.results = transaction.results;
    if (writes) {
        append({accepted_, name, fingerprint, transaction.statements, transaction.results, {}});
        answer.written = log_.last();
        answer.written_term = accepted_;
    }
}

void database::accept_term(const backend_request& request, backend_answer& answer) {
    if (request.expected_term <= accepted_) {
        reject(answer, "this term or a higher one is already accepted");
        return;
    }
    adopt_term(request.expected_term, request.candidate);
}

void database::promote(const backend_request& request, backend_answer& answer) {
    if (request.expected_term != accepted_ || request.candidate != candidate_ ||
        candidate_.empty()) {
        reject(answer, "the term is not accepted for this candidate");
        return;
    }
    if (role_ == backend_role::primary) {
        return; // Promotion is idempotent for the same term and candidate.
    }
    if (log_.last_term() == accepted_) {
        reject(answer, "the term already had a primary");
        return;
    }
    role_ = backend_role::primary;
    source_ = {};
    append({accepted_, {}, {}, Json::arrayValue, Json::arrayValue, {}});
    answer.written = log_.last();
    answer.written_term = accepted_;
}

void database::follow(const backend_request& request, backend_answer& answer) {
    if (request.expected_term < accepted_) {
        reject(answer, "a higher term is already accepted");
        return;
    }
    if (request.primary == self_) {
        if (role_ != backend_role::primary || request.expected_term != accepted_) {
            reject(answer, "this server is not the primary of the term");
        }
        return;
    }
    if (request.expected_term > accepted_) {
        adopt_term(request.expected_term, {});
    } else if (role_ == backend_role::primary) {
        reject(answer, "this server is the primary of the term");
        return;
    }
    source_ = request.primary;
}

log_answer database::serve_log(const log_request& request, steady_clock::time_point now) {
    if (request.term > accepted_) {
        adopt_term(request.term, {});
    }
    log_answer answer;
    if (role_ != backend_role::primary || request.term != accepted_) {
        return answer;
    }
    answer.term = accepted_;
    answer.last = log_.last();
    answer.matches =
        request.after <= log_.last() && log_.term_at(request.after) == request.last_term;
    if (!answer.matches) {
        answer.history = log_.history();
        return answer;
    }
    for (auto position = request.after.next(); position <= log_.last();
         position = position.next()) {
        const auto& entry = log_.at(position);
        if (answer.entries.size() == entries_per_answer || entry.written_at + request.lag > now) {
            break;
        }
        answer.entries.push_back(entry);
    }
    return answer;
}

bool database::replicate(const log_request& request, const log_answer& answer) {
    if (role_ != backend_role::replica || answer.term != accepted_ || accepted_ == term{}) {
        return false;
    }
    // The log may have changed while the request was in flight.
    if (request.after != log_.last() || request.last_term != log_.last_term()) {
        return false;
    }
    if (!answer.matches) {
        truncate(common_prefix(log_, answer.history, answer.last));
        return true;
    }
    for (const auto& entry : answer.entries) {
        append(entry);
    }
    return !answer.entries.empty();
}

} // namespace jackdawvane::standin
