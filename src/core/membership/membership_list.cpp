#include "jackdawvane/membership/membership.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <array>

/// @file
/// @brief The platform's VM list and the contact to the store.

namespace jackdawvane {

namespace {

/// Task name under which the delegates of a failure domain are chosen.
constexpr const char* delegate_task = "vm-list";

/// Time past a long poll's wait after which it counts as failed.
constexpr duration answer_grace = std::chrono::seconds{2};

/// A long poll answered sooner than this without a newer list counts as failed.
constexpr duration shortest_hold = std::chrono::seconds{1};

/// A list with fewer new VMs than this part of it is not read again; gossip brings the others.
constexpr std::size_t reread_divisor = 20;

/// Age of the last evidence of the store at which a VM asks it itself, by its rank among the
/// delegates. The first delegate's answer reaches the others by their probes' store age before
/// these ask, and all ask in time for an answer before the isolation time.
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
    list_held_ = wait > duration{0};
    list_sent_ = now;
    list_at_ = now + wait + answer_grace;
}

void membership::list_failed(time_point now) {
    list_pending_ = false;
    list_at_ = now + jittered(list_back_off_);
    list_back_off_ = std::min(2 * list_back_off_, settings_.retry_ceiling);
}

duration membership::jittered(duration longest) {
    std::uniform_int_distribution<duration::rep> spread_over{longest.count() / 2, longest.count()};
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
    const bool foreign_silent = now - foreign_heard_ >= settings_.isolation / 2;
    const auto rank = std::min(delegate_rank_, evidence_ages.size() - 1);
    return foreign_silent && now - store_heard_ >= evidence_ages.at(rank);
}

void membership::poll_list(time_point now, actions& out) {
    if (list_pending_ && now >= list_at_) {
        list_failed(now);
    }
    if (list_pending_ && list_held_ && needs_store_evidence(now)) {
        // The held call tells nothing for up to 30 s; a short one replaces it.
        list_pending_ = false;
        list_at_ = now;
    }
    if (list_pending_ || now < list_at_) {
        return;
    }
    if (!list_read_ || needs_store_evidence(now) || now >= list_reread_at_) {
        list_reread_at_ = no_deadline;
        read_list(now, duration{0}, out);
        return;
    }
    if (delegate_rank_ < settings_.delegates_per_domain) {
        list_reread_at_ = no_deadline; // The held call tells what changes.
        read_list(now, settings_.list_wait, out);
    }
}

bool membership::on_store(time_point now, const store_answer& answer, actions& out) {
    if (!list_pending_ || answer.id != list_id_) {
        return false;
    }
    event(now);
    if (answer.status != store_status::ok) {
        list_failed(now);
        return true;
    }
    on_store_heard(now);
    list_pending_ = false;
    list_at_ = now;
    const bool newer = answer.version > list_version_ || !list_read_;
    if (list_held_ && !newer && now - list_sent_ < shortest_hold) {
        list_failed(now); // A lagging list; asking again at once would not end.
        return true;
    }
    list_back_off_ = settings_.retry_floor;
    if (newer && answer.version >= list_version_) {
        // While this VM starts, it takes the listed VMs for live, and the others that start with
        // it read the list themselves.
        const bool joining = !list_read_ || now - *started_ < settings_.joining_for;
        const auto changed = table_.take_list(now, answer.vms, answer.version, joining);
        for (const auto& vm : changed) {
            changed_ = true;
            if (!joining) {
                spread(*table_.find(vm));
            }
        }
        const bool again = joining && changed.size() * reread_divisor > answer.vms.size();
        list_reread_at_ = again ? now + jittered(settings_.list_reread) : no_deadline;
        list_at_ = list_read_ ? now + settings_.list_pause : now;
        list_version_ = answer.version;
        list_read_ = true;
    }
    poll_list(now, out);
    refresh(now, out);
    return true;
}

void membership::on_store_heard(time_point now) {
    store_heard_ = std::max(store_heard_, now);
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
    const bool store_silent = now - store_heard_ >= settings_.isolation;
    return started_ && store_silent && now - foreign_heard_ >= settings_.isolation;
}

} // namespace jackdawvane
