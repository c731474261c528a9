#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/connection_owner.hpp"

/// @file
/// @brief Connection owner: statements for servers that are warming up.

namespace jackdawvane {

namespace {

/// Between two log lines about the refusals of one server.
constexpr duration report_interval = std::chrono::seconds{1};

} // namespace

bool connection_owner::warm_up_refuses(time_point now, const forwarded_statement& statement) {
    const auto* entry = warm_up_.enabled() ? state_.directory.find(statement.backend) : nullptr;
    if (entry == nullptr) {
        return false;
    }
    if (now >= entry->warm_from) {
        warm_up_.forget(statement.backend);
        return false;
    }
    const auto* group = state_.find_group(entry->registration.group);
    if (group == nullptr || group->warm_up_rate <= 0) {
        return false;
    }
    return !warm_up_.take(now, statement.backend, group->warm_up_rate, statement.begin ? 2 : 1);
}

/// A statement of an open transaction keeps its connection and is sent again.
void connection_owner::refuse_warming_up(time_point now, const queued& next, proxy_output& out) {
    const auto& statement = next.statement;
    count(out.common, "warm_up_refusals_total");
    auto& reported = warm_up_reported_at_.try_emplace(statement.backend).first->second;
    if (now - reported >= report_interval) {
        reported = now;
        const auto* entry = state_.directory.find(statement.backend);
        log(out.common, "owner", log_level::info,
            "not_run request=" + statement.main.id.str() + " entry=" + next.entry.str() +
                " backend=" + statement.backend.str() + " reason=warm_up remaining_ms=" +
                std::to_string(to_milliseconds(entry->warm_from - now)) +
                " list_age_ms=" + age_text(now, state_.directory.read_at()));
    }
    attempt_result result;
    result.attempt = statement.attempt;
    result.lease = statement.lease;
    result.backend = statement.backend;
    result.answered = true;
    result.reply.problem = statement_error::busy;
    result.reply.state =
        statement.continues_transaction ? transaction_state::open : transaction_state::idle;
    report(next.entry, std::move(result));
}

} // namespace jackdawvane
