#include "jackdawvane/limits/rate_limiter.hpp"

#include "jackdawvane/foundation/age_text.hpp"

#include <utility>

#include <algorithm>
#include <type_traits>
#include <variant>

namespace jackdawvane {

namespace {

/// A failed renewal is retried after the renewal interval divided by this.
constexpr int renewal_retry_divisor = 3;
/// The store's clock may run faster than the local one by one part in this many.
constexpr int clock_margin_divisor = 10;
/// Transfers of smaller parts are not worth a store call.
constexpr std::uint32_t smallest_transfer = whole_share / 50;

template <class Message>
concept limiter_message = std::is_same_v<Message, token_request> ||
    std::is_same_v<Message, token_grant> || std::is_same_v<Message, token_acknowledgement> ||
    std::is_same_v<Message, share_request> || std::is_same_v<Message, share_notice>;

} // namespace

rate_limiter::rate_limiter(vm_id self, vm_incarnation incarnation, location place,
                           rate_limiter_settings settings, id_sequence<request_id>& ids,
                           random_engine& random)
    : context_{{std::move(self), incarnation, settings.shares, ids, random, {}, {}, false},
               std::move(place),
               settings,
               {}} {}

void rate_limiter::configure(time_point now,
                             const std::map<organisation_id, organisation_row>& rows,
                             revision newer, actions& out) {
    advance_time(now, out);
    if (newer <= revision_ || leaving_) {
        return;
    }
    configured_at_ = revision_ == revision{} ? now : configured_at_;
    revision_ = newer;
    for (auto it = rows_.begin(); it != rows_.end();) {
        it = rows.contains(it->first) ? std::next(it) : remove(now, it, out);
    }
    for (const auto& [organisation, row] : rows) {
        apply(now, organisation, {row.rate, row.burst}, out);
    }
    for (auto& [id, group] : groups_) {
        create_held_limiters(now, group, now, out);
    }
    refresh_all_groups(now, out);
}

/// Sets the limits of one organisation. Returns early for an unchanged row, as most rows of a new
/// configuration are.
void rate_limiter::apply(time_point now, const organisation_id& organisation,
                         share_limits fleet_limits, actions& out) {
    auto [found, created] = rows_.try_emplace(organisation);
    auto& row = found->second;
    if (!created && row.fleet_limits == fleet_limits) {
        return;
    }
    row.fleet_limits = fleet_limits;
    if (created) {
        row.group = &group_of(organisation);
        if (row.group->configured++ == 0) {
            row.group->share.activate(now, out);
            row.group->share.fleet_changed(now, out); // The fleet may be known already.
        }
    }
    const auto limiter = organisations_.find(organisation);
    if (limiter != organisations_.end()) {
        limiter->second.limiter.configure(now, fleet_limits, out);
        reschedule(now, limiter->second);
    }
}

/// Removes an organisation that is no longer in the configuration.
rate_limiter::row_map::iterator rate_limiter::remove(time_point now, row_map::iterator row,
                                                     actions& out) {
    const auto found = organisations_.find(row->first);
    if (found != organisations_.end()) {
        auto& entry = found->second;
        entry.limiter.retire(now);
        std::erase_if(pending_, [&](const auto& each) { return each.second == &entry; });
        std::erase(entry.group.members, &entry);
        organisations_due_.erase({entry.due, &entry});
        organisations_.erase(found);
    }
    auto& group = *row->second.group;
    if (--group.configured == 0) {
        group.share.leave(now, out);
    }
    return rows_.erase(row);
}

void rate_limiter::set_fleet(time_point now, std::span<const vm_entry> live,
                             const std::set<vm_id>& gone, actions& out) {
    advance_time(now, out);
    std::map<vm_id, vm_entry> fleet;
    for (const auto& vm : live) {
        fleet.emplace_hint(fleet.end(), vm.vm, vm);
    }
    if (fleet == context_.live && gone == context_.gone) {
        return;
    }
    context_.live = std::move(fleet);
    context_.gone = gone;
    for (auto& [id, group] : groups_) {
        group.share.fleet_changed(now, out);
    }
    refresh_all_groups(now, out);
}

admission rate_limiter::admit(time_point now, const organisation_id& organisation,
                              request_id handle, time_point deadline, actions& out) {
    return admit(now, {handle, organisation, default_priority, deadline, no_deadline}, out);
}

admission rate_limiter::admit(time_point now, const admission_request& request, actions& out) {
    const auto& organisation = request.organisation;
    const auto handle = request.handle;
    advance_time(now, out);
    auto* const found = find_or_create(now, organisation, now, out);
    if (found == nullptr) {
        return {handle,
                admission_state::refused,
                {error_kind::rate_exceeded,
                 "organisation " + organisation.str() + " has no rate in the configuration",
                 {}}};
    }
    auto decision = found->limiter.admit(now, request, out);
    if (decision.state == admission_state::pending) {
        pending_[handle] = found;
    }
    reschedule(now, *found);
    return decision;
}

void rate_limiter::withdraw(request_id handle) {
    const auto found = pending_.find(handle);
    if (found == pending_.end()) {
        return;
    }
    found->second->limiter.withdraw(handle);
    reschedule(now_, *found->second);
    pending_.erase(found);
    std::erase_if(context_.decisions, [&](const admission& each) { return each.handle == handle; });
}

std::vector<admission> rate_limiter::take_decisions() {
    for (const auto& each : context_.decisions) {
        pending_.erase(each.handle);
    }
    return std::exchange(context_.decisions, {});
}

rate_limiter::group_state& rate_limiter::group_of(const organisation_id& organisation) {
    const auto id = share_group_of(organisation, context_.limits.groups);
    const auto found = groups_.find(id);
    return found != groups_.end()
               ? found->second
               : groups_.emplace(id, group_state{share_group{id, context_}, {}, 0, no_deadline})
                     .first->second;
}

/// Limiter of @a organisation, created at its first use; null without a row in the configuration.
rate_limiter::organisation_state* rate_limiter::find_or_create(time_point now,
                                                               const organisation_id& organisation,
                                                               time_point started, actions& out) {
    const auto found = organisations_.find(organisation);
    if (found != organisations_.end()) {
        return &found->second;
    }
    const auto row = rows_.find(organisation);
    if (row == rows_.end()) {
        return nullptr;
    }
    auto& group = *row->second.group;
    auto& made =
        organisations_
            .emplace(organisation,
                     organisation_state{
                         {organisation, group.share, context_, started}, group, no_deadline})
            .first->second;
    group.members.push_back(&made);
    made.limiter.configure(now, row->second.fleet_limits, out);
    reschedule(now, made);
    return &made;
}

/// A holder has limiters for all organisations of its group: their buckets fill up before the first
/// request arrives.
void rate_limiter::create_held_limiters(time_point now, group_state& group, time_point started,
                                        actions& out) {
    if (!group.share.ledger().holder() || group.members.size() == group.configured) {
        return;
    }
    for (const auto& [organisation, row] : rows_) {
        if (row.group == &group) {
            std::ignore = find_or_create(now, organisation, started, out);
        }
    }
}

/// Updates the limiters after an event of their group.
void rate_limiter::refresh_group(time_point now, group_state& group, actions& out) {
    refresh_members(now, group, out);
    summarise_groups();
}

void rate_limiter::refresh_all_groups(time_point now, actions& out) {
    for (auto& [id, group] : groups_) {
        refresh_members(now, group, out);
    }
    summarise_groups();
}

void rate_limiter::refresh_members(time_point now, group_state& group, actions& out) {
    if (group.share.take_changed()) {
        create_held_limiters(now, group, configured_at_, out);
        for (auto* const each : group.members) {
            each->limiter.share_changed(now, out);
            reschedule(now, *each);
        }
    }
    group.due = group.share.next_deadline();
}

/// Next deadline of all groups, and what this VM's parts of them require.
void rate_limiter::summarise_groups() {
    groups_due_ = no_deadline;
    holder_ = false;
    needs_lease_ = false;
    for (const auto& [id, each] : groups_) {
        groups_due_ = std::min(groups_due_, each.due);
        holder_ = holder_ || each.share.ledger().holder();
        needs_lease_ = needs_lease_ || each.share.ledger().needs_lease();
    }
}

void rate_limiter::reschedule(time_point now, organisation_state& entry) {
    const auto due = entry.limiter.next_deadline(now);
    if (due == entry.due) {
        return;
    }
    organisations_due_.erase({entry.due, &entry});
    entry.due = due;
    if (due != no_deadline) {
        organisations_due_.emplace(due, &entry);
    }
}

bool rate_limiter::on_peer(time_point now, const vm_id& from, const peer_message& message,
                           actions& out) {
    advance_time(now, out);
    return std::visit(
        [&](const auto& content) {
            if constexpr (limiter_message<std::decay_t<decltype(content)>>) {
                handle_message(now, from, content, out);
                return true;
            } else {
                return false;
            }
        },
        message);
}

void rate_limiter::handle_message(time_point now, const vm_id& from, const share_request& message,
                                  actions& out) {
    auto* const found = find_or_create(now, message.organisation, now, out);
    if (found == nullptr || !found->group.share.ledger().verified()) {
        return;
    }
    auto& group = found->group;
    const auto part = spare_part(now, group, found->limiter.lacking_fraction(message));
    if (part >= smallest_transfer && group.share.start_transfer(now, from, part, out)) {
        refresh_group(now, group, out);
    }
}

void rate_limiter::handle_message(time_point now, const vm_id& /*from*/,
                                  const share_notice& message, actions& out) {
    const auto found = groups_.find(message.group);
    if (found != groups_.end()) {
        found->second.share.on_notice(now, message, out);
        refresh_group(now, found->second, out);
    }
}

template <class Message>
void rate_limiter::handle_message(time_point now, const vm_id& from, const Message& message,
                                  actions& out) {
    if (auto* const found = find_or_create(now, message.organisation, now, out)) {
        found->limiter.on_peer(now, from, message, out);
        reschedule(now, *found);
    }
}

/// Part of the group's share that no organisation needs at this VM, up to what the requester lacks.
std::uint32_t rate_limiter::spare_part(time_point now, const group_state& group,
                                       double lacking) const {
    double spare = std::min(lacking, 1.0);
    for (const auto* const each : group.members) {
        spare = std::min(spare, each->limiter.spare_fraction(now));
    }
    return static_cast<std::uint32_t>(std::max(0.0, spare) * whole_share);
}

bool rate_limiter::on_store(time_point now, const store_answer& answer, actions& out) {
    advance_time(now, out);
    if (answer.era > era_ && context_.lease_held) {
        lose_lease(now, "in era " + std::to_string(answer.era), out);
        renew_lease(now, out);
    }
    era_ = std::max(era_, answer.era);
    if (abandoned_.erase(answer.id) > 0) {
        return true;
    }
    if (lease_pending_ && answer.id == lease_call_) {
        finish_renewal(now, answer, out);
        return true;
    }
    for (auto& [id, group] : groups_) {
        if (group.share.on_store(now, answer, out)) {
            refresh_group(now, group, out);
            return true;
        }
    }
    return false;
}

void rate_limiter::paused(time_point now, actions& out) {
    now_ = now;
    if (now < lease_until_) {
        return; // No VM can have found the lease expired.
    }
    if (std::exchange(lease_pending_, false)) {
        abandoned_.insert(lease_call_);
    }
    lose_lease(now, "after a pause", out);
    renew_lease(now, out);
}

/// Has to precede every use of a part: its owner may use it only while the lease runs.
void rate_limiter::advance_time(time_point now, actions& out) {
    now_ = now;
    if (context_.lease_held && now >= lease_until_) {
        lose_lease(now, "without a renewal", out);
        renew_lease(now, out);
    }
}

/// Stops the use of all parts until the lease is renewed and their entries are confirmed.
void rate_limiter::lose_lease(time_point now, const std::string& how, actions& out) {
    context_.lease_held = false;
    lease_at_ = now;
    if (holder_) {
        count(out, "share_leases_lapsed_total");
        log(out, "limits", log_level::warning,
            "lease lapsed " + how + " known_era=" + std::to_string(era_) +
                " age_ms=" + age_text(now, lease_sent_) +
                "; no share is used until its record entry is confirmed");
    }
    for (auto& [id, group] : groups_) {
        group.share.on_lease_lapsed(now, out);
    }
    refresh_all_groups(now, out);
}

void rate_limiter::leave(time_point now, actions& out) {
    advance_time(now, out);
    leaving_ = true;
    for (auto& [id, group] : groups_) {
        group.share.leave(now, out);
    }
    refresh_all_groups(now, out);
}

bool rate_limiter::left() const noexcept {
    return leaving_ && !lease_pending_ && !lease_stored_ &&
           std::all_of(groups_.begin(), groups_.end(),
                       [](const auto& entry) { return entry.second.share.ledger().left(); });
}

void rate_limiter::tick(time_point now, actions& out) {
    advance_time(now, out);
    for (auto& [id, group] : groups_) {
        if (group.due <= now) {
            group.share.tick(now, out);
            refresh_group(now, group, out);
        }
    }
    std::vector<organisation_state*> due;
    for (const auto& [at, entry] : organisations_due_) {
        if (at > now) {
            break;
        }
        due.push_back(entry);
    }
    for (auto* const entry : due) {
        entry->limiter.tick(now, out);
        reschedule(now, *entry);
    }
    renew_lease(now, out);
}

time_point rate_limiter::next_deadline() const {
    auto due = needs_lease() && !lease_pending_ ? lease_at_ : no_deadline;
    if (needs_lease() && context_.lease_held) {
        due = std::min(due, lease_until_);
    }
    if (leaving_ && lease_stored_ && !needs_lease() && !lease_pending_) {
        due = now_;
    }
    if (!organisations_due_.empty()) {
        due = std::min(due, organisations_due_.begin()->first);
    }
    return std::min(due, groups_due_);
}

const organisation_limiter* rate_limiter::find(const organisation_id& organisation) const {
    const auto found = organisations_.find(organisation);
    return found == organisations_.end() ? nullptr : &found->second.limiter;
}

const share_group* rate_limiter::find_group(const organisation_id& organisation) const {
    const auto found = groups_.find(share_group_of(organisation, context_.limits.groups));
    return found == groups_.end() ? nullptr : &found->second.share;
}

Json::Value rate_limiter::describe() const {
    Json::Value json{Json::objectValue};
    for (const auto& [organisation, entry] : organisations_) {
        json[organisation.str()] = entry.limiter.describe(now_);
    }
    return json;
}

bool rate_limiter::needs_lease() const noexcept {
    return needs_lease_;
}

void rate_limiter::finish_renewal(time_point now, const store_answer& answer, actions& out) {
    lease_pending_ = false;
    lease_stored_ = answer.status == store_status::ok && !lease_ends_;
    if (!lease_stored_) {
        const auto retry = context_.limits.lease_renewal / renewal_retry_divisor;
        lease_at_ = std::min(lease_at_, now + retry);
        return;
    }
    if (context_.lease_held && answer.version != lease_version_) {
        lose_lease(now, "in the store", out); // The renewal created it anew.
    }
    lease_version_ = answer.version;
    lease_until_ =
        lease_sent_ + context_.limits.lease - context_.limits.lease / clock_margin_divisor;
    lease_at_ = std::max(lease_at_, lease_sent_ + context_.limits.lease_renewal);
    if (now >= lease_until_) {
        lease_at_ = now; // The answer took longer than the lease.
        return;
    }
    if (!std::exchange(context_.lease_held, true)) {
        for (auto& [id, group] : groups_) {
            group.share.on_lease_renewed(now, out);
        }
        refresh_all_groups(now, out);
    }
}

void rate_limiter::renew_lease(time_point now, actions& out) {
    const bool needed = needs_lease();
    const bool ends = !needed && lease_stored_ && leaving_;
    if (lease_pending_ || (!ends && (!needed || now < lease_at_))) {
        return;
    }
    store_request request;
    request.id = context_.ids.next();
    request.operation = ends ? store_operation::release_lease : store_operation::renew_lease;
    request.key = lease_key(context_.self);
    request.value = std::to_string(context_.incarnation.value());
    request.lease = context_.limits.lease;
    lease_call_ = request.id;
    lease_ends_ = ends;
    lease_sent_ = now;
    lease_pending_ = true;
    lease_at_ = now + context_.limits.lease_renewal;
    out.emplace_back(std::move(request));
}

} // namespace jackdawvane
