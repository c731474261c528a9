#include "jackdawvane/membership/membership.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <array>

/// @file
/// @brief Reads the platform's VM list and tracks contact to the store.

namespace jackdawvane {

namespace {

/// Rendezvous key by which the delegates of a failure domain are chosen.
constexpr const char* delegate_task = "vm-list";

/// Time allowed for an answer in addition to the wait of a long poll.
constexpr duration answer_grace = std::chrono::seconds{2};

/// A long poll that returns sooner than this without a newer list counts as failed.
constexpr duration min_poll_duration = std::chrono::seconds{1};

/// The list is read again if more than 1 / `reread_divisor` of its VMs changed; otherwise gossip
/// delivers the rest.
constexpr std::size_t reread_divisor = 20;

/// Time since the last known answer of the store at which a VM queries it, by the VM's rank among
/// the delegates. The answer to the first delegate reaches the others through the store age in
/// probes before they query, and all query early enough to have an answer before
/// `isolation_timeout`.
constexpr std::array<duration, 3> evidence_ages{std::chrono::milliseconds{2000},
                                                std::chrono::milliseconds{3000},
                                                std::chrono::milliseconds{4200}};

} // namespace

void membership::read_list(time_point now, duration wait, actions& out) {
    store_request request;
    request.id = list_id_ = ids_.next();
    request.operation = store_operation::list_vms;
    request.version = list_version_;
    request.wait = wait;
    out.emplace_back(std::move(request));
    list_pending_ = true;
    list_long_poll_ = wait > duration{0};
    list_sent_at_ = now;
    list_due_at_ = now + wait + answer_grace;
}

void membership::list_failed(time_point now) {
    list_pending_ = false;
    list_due_at_ = now + jittered(list_back_off_);
    list_back_off_ = std::min(2 * list_back_off_, settings_.retry_ceiling);
}

duration membership::jittered(duration max_delay) {
    std::uniform_int_distribution<duration::rep> spread_over{max_delay.count() / 2,
                                                             max_delay.count()};
    return duration{spread_over(random_)};
}

std::size_t membership::find_delegate_rank() const {
    const auto chosen = delegates(delegate_task, settings_.self.place.domain, live_,
                                  settings_.delegates_per_domain);
    const auto found = std::find(chosen.begin(), chosen.end(), settings_.self.vm);
    return found == chosen.end() ? settings_.delegates_per_domain
                                 : static_cast<std::size_t>(found - chosen.begin());
}

bool membership::needs_store_evidence(time_point now) const {
    const bool other_domains_silent =
        now - other_domain_heard_at_ >= settings_.isolation_timeout / 2;
    const auto rank = std::min(delegate_rank_, evidence_ages.size() - 1);
    return other_domains_silent && now - store_answered_at_ >= evidence_ages.at(rank);
}

void membership::poll_list(time_point now, actions& out) {
    if (list_pending_ && now >= list_due_at_) {
        list_failed(now);
    }
    if (list_pending_ && list_long_poll_ && needs_store_evidence(now)) {
        // The long poll may not return for up to 30 s; an immediate read replaces it.
        list_pending_ = false;
        list_due_at_ = now;
    }
    if (list_pending_ || now < list_due_at_) {
        return;
    }
    if (!list_read_ || needs_store_evidence(now) || now >= list_reread_at_) {
        list_reread_at_ = no_deadline;
        read_list(now, duration{0}, out);
        return;
    }
    if (delegate_rank_ < settings_.delegates_per_domain) {
        list_reread_at_ = no_deadline; // The long poll reports changes.
        read_list(now, settings_.list_poll_wait, out);
    }
}

bool membership::on_store(time_point now, const store_answer& answer, actions& out) {
    if (!list_pending_ || answer.id != list_id_) {
        return false;
    }
    note_event(now);
    if (answer.status != store_status::ok) {
        list_failed(now);
        return true;
    }
    on_store_answered(now);
    list_pending_ = false;
    list_due_at_ = now;
    const bool newer = answer.version > list_version_ || !list_read_;
    if (list_long_poll_ && !newer && now - list_sent_at_ < min_poll_duration) {
        list_failed(now); // The list lags; an immediate retry would loop.
        return true;
    }
    list_back_off_ = settings_.retry_floor;
    if (newer && answer.version >= list_version_) {
        // While joining, this VM presumes listed VMs live and does not gossip the changes, because
        // VMs that start at the same time read the list themselves.
        const bool joining = !list_read_ || now - *started_ < settings_.join_duration;
        const auto changed = table_.apply_list(now, answer.vms, answer.version, joining);
        for (const auto& vm : changed) {
            changed_ = true;
            if (!joining) {
                queue_update(*table_.find(vm));
            }
        }
        const bool again = joining && changed.size() * reread_divisor > answer.vms.size();
        list_reread_at_ = again ? now + jittered(settings_.list_reread_delay) : no_deadline;
        list_due_at_ = list_read_ ? now + settings_.list_poll_delay : now;
        list_version_ = answer.version;
        list_read_ = true;
    }
    poll_list(now, out);
    refresh(now, out);
    return true;
}

void membership::on_store_answered(time_point now) {
    store_answered_at_ = std::max(store_answered_at_, now);
}

const vm_entry* membership::entry_of(const vm_id& vm) const {
    const auto* const record = table_.find(vm);
    return record == nullptr ? nullptr : &record->entry;
}

vm_incarnation membership::incarnation_of(const vm_id& vm) const {
    const auto* const record = table_.find(vm);
    return record == nullptr ? vm_incarnation{} : record->incarnation;
}

revision membership::config_revision_of(const vm_id& vm) const {
    const auto* const record = table_.find(vm);
    return record == nullptr ? revision{} : record->configuration;
}

bool membership::listed_as_leaving() const {
    return table_.self().listed && table_.self().entry.state == vm_state::leaving;
}

bool membership::isolated(time_point now) const {
    const bool store_silent = now - store_answered_at_ >= settings_.isolation_timeout;
    return started_ && store_silent && now - other_domain_heard_at_ >= settings_.isolation_timeout;
}

} // namespace jackdawvane
