#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/connection_owner.hpp"

/// @file
/// @brief Connection owner: statements for servers of evacuated domains.

namespace jackdawvane {

/// The entry VM may know an older list. A transaction whose next statement doesn't run is aborted:
/// the entry VM releases its connection, which is rolled back.
void connection_owner::refuse_evacuated(time_point now, const queued& next, proxy_output& out) {
    const auto& statement = next.statement;
    log(out.common, "owner", log_level::info,
        "not_run request=" + statement.main.id.str() + " entry=" + next.entry.str() +
            " backend=" + statement.backend.str() +
            " reason=evacuation list_age_ms=" + age_text(now, state_.evacuations.read_at()));
    count(out.common, "evacuation_owner_refusals_total");
    report_not_run(next, statement.continues_transaction ? statement_error::aborted
                                                         : statement_error::busy);
}

} // namespace jackdawvane
