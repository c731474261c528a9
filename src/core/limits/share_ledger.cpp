#include "jackdawvane/limits/share_ledger.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <random>

namespace jackdawvane {

namespace {

/// A smaller unassigned part is not worth a change that every holder has to read.
constexpr std::uint32_t smallest_distribution = whole_share / 100;
/// A part kept for a target that does not join is distributed after this time.
constexpr duration join_timeout = std::chrono::seconds{60};

bool contains(const std::vector<vm_id>& vms, const vm_id& vm) {
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

share_ledger::share_ledger(share_group_id group, share_context& context)
    : group_{std::move(group)}, context_{context} {}

void share_ledger::activate(time_point now, actions& out) {
    active_ = true;
    leaving_ = false;
    schedule_shared_work(now);
    advance(now, out);
}

void share_ledger::set_targets(time_point now, std::vector<vm_id> targets, actions& out) {
    const bool was_target = target();
    const bool changed = targets != targets_;
    targets_ = std::move(targets);
    // VMs that start together see the fleet grow. A join on each intermediate view would leave
    // parts with VMs that are not targets in the end.
    const bool listed = record_.find(context_.self) != nullptr;
    if (target() && (!was_target || (changed && !listed))) {
        const auto& settings = context_.settings;
        targeted_since_ = was_target ? targeted_since_ : now;
        // An earlier incarnation may have tokens in transit.
        const auto earliest = settings.settle + random_delay(settings.join_spread);
        const auto limit = targeted_since_ + settings.join_settle_limit;
        join_at_ = std::min(now + earliest, std::max(limit, targeted_since_ + earliest));
        first_join_at_ = std::min(now + earliest + settings.join_settle, std::max(limit, join_at_));
        untargeted_since_ = no_deadline;
    } else if (!target() && was_target) {
        untargeted_since_ = now;
    }
    std::erase_if(expired_, [&](const share_holder& holder) {
        // Once it is listed again, its expired lease no longer counts.
        return !context_.gone.contains(holder.vm);
    });
    schedule_shared_work(now);
    advance(now, out);
}

void share_ledger::on_notice(time_point now, const share_notice& notice, actions& out) {
    notified_version_ = std::max(notified_version_, notice.version);
    // The answer to a call in flight may be older than the notice. After a pause past the lease
    // only the store shows whether this VM still has its part.
    const bool usable = call_kind_ == call_kind::none && !confirm_needed_;
    if (notice.record && usable && notice.version > version_) {
        observe(now, *notice.record, notice.version, out);
    }
    read_needed_ = read_needed_ || notified_version_ > version_;
    advance(now, out);
}

bool share_ledger::on_store(time_point now, const store_answer& answer, actions& out) {
    if (abandoned_.erase(answer.id) > 0) {
        return true;
    }
    if (call_kind_ == call_kind::none || answer.id != call_id_) {
        return false;
    }
    switch (std::exchange(call_kind_, call_kind::none)) {
    case call_kind::read:
        finish_read(now, answer, out);
        break;
    case call_kind::swap:
        finish_swap(now, answer, out);
        break;
    default:
        finish_lease_read(now, answer, out);
        break;
    }
    advance(now, out);
    return true;
}

bool share_ledger::start_transfer(time_point now, const vm_id& receiver, std::uint32_t part,
                                  actions& out) {
    const bool busy = call_kind_ != call_kind::none || read_needed_ || transfer_ || now < retry_at_;
    if (busy || !verified() || part == 0 || part > usable_part()) {
        return false;
    }
    read_needed_ = record_.find(receiver) == nullptr; // It may have joined since the last read.
    transfer_ = transfer{receiver, part, 0};
    report(out, "gives " + std::to_string(part) + " millionths to " + receiver.str());
    advance(now, out);
    return true;
}

void share_ledger::on_lease_lapsed(time_point now, actions& out) {
    expired_.clear();
    if (!holder() && call_kind_ != call_kind::swap && unresolved_.empty()) {
        return; // It has no part that another VM could reclaim.
    }
    abandon_call();
    verified_ = false;
    confirm_needed_ = true;
    read_needed_ = true;
    transfer_.reset();
    advance(now, out);
}

void share_ledger::on_lease_renewed(time_point now, actions& out) {
    retry_at_ = std::min(retry_at_, now);
    retry_delay_ = duration{0};
    advance(now, out);
}

void share_ledger::leave(time_point now, actions& out) {
    leaving_ = true;
    transfer_.reset();
    advance(now, out);
}

void share_ledger::tick(time_point now, actions& out) {
    advance(now, out);
}

time_point share_ledger::next_deadline() const noexcept {
    if (call_kind_ != call_kind::none) {
        return no_deadline;
    }
    if (!read_needed_ && confirm_needed_ && !context_.lease_held) {
        return no_deadline; // Waits for the answer to the lease renewal.
    }
    if (record_not_needed()) {
        return no_deadline;
    }
    if (read_needed_ || confirm_needed_ || !unresolved_.empty() || transfer_) {
        return retry_at_;
    }
    auto due = std::min({shared_work_at_, lease_check_at_, drained_at_, non_target_notice_at_});
    if (holder() || target()) {
        due = std::min(due, refresh_at_);
    }
    if (waits_to_join() && context_.lease_held) {
        due = std::min(due, record_.find(context_.self) != nullptr ? join_at_ : first_join_at_);
    }
    if (drained_at_ == no_deadline && holder() && untargeted_since_ != no_deadline) {
        due = std::min(due, untargeted_since_ + context_.settings.release_delay);
    }
    return std::max(due, retry_at_);
}

std::uint32_t share_ledger::usable_part() const noexcept {
    const auto* own = own_entry();
    if (leaving_ || own == nullptr || drained_at_ != no_deadline) {
        return 0;
    }
    auto part = own->part;
    if (transfer_) {
        part -= std::min(part, transfer_->part);
    }
    for (const auto& open : unresolved_) {
        part = std::min(part, open.own_part);
    }
    return part;
}

double share_ledger::usable_fraction() const noexcept {
    return static_cast<double>(usable_part()) / whole_share;
}

bool share_ledger::holder() const noexcept {
    return own_entry() != nullptr;
}

bool share_ledger::verified() const noexcept {
    return verified_ && (!holder() || context_.lease_held);
}

bool share_ledger::lapsed() const noexcept {
    return holder() && !context_.lease_held;
}

bool share_ledger::needs_lease() const noexcept {
    return holder() || waits_to_join();
}

bool share_ledger::target() const noexcept {
    return contains(targets_, context_.self);
}

bool share_ledger::left() const noexcept {
    return leaving_ && !holder() && (!read_needed_ || record_not_needed()) && unresolved_.empty() &&
           call_kind_ == call_kind::none;
}

/// Starts the next store call if one is due. At most one is in flight.
void share_ledger::advance(time_point now, actions& out) {
    if (now >= refresh_at_ && (holder() || target())) {
        read_needed_ = true;
    }
    drop_outdated(now);
    if (call_kind_ != call_kind::none || now < retry_at_) {
        return;
    }
    if (record_not_needed()) {
        return;
    }
    if (read_needed_) {
        start_read(out);
        return;
    }
    if (confirm_needed_ && !context_.lease_held) {
        return;
    }
    const auto next = desired(now);
    if (now >= shared_work_at_) {
        shared_work_at_ = no_deadline;
    }
    if (now >= non_target_notice_at_) {
        non_target_notice_at_ = no_deadline;
        notify(non_target_holders(), out);
    }
    if (next) {
        start_swap(*next, out);
        return;
    }
    if (!unresolved_.empty()) {
        // A change without an answer could still be applied to this version. Writing an equal
        // record raises the version, which rules that out.
        start_swap(record_, out);
        return;
    }
    if (now < lease_check_at_) {
        return;
    }
    lease_check_at_ = no_deadline;
    if (const auto* subject = lease_to_check()) {
        start_lease_read(*subject, out);
    }
}

/// Drops a transfer that is no longer possible, and stops the use of a part that is to be released.
void share_ledger::drop_outdated(time_point now) {
    const bool known = transfer_ && record_.find(transfer_->receiver) != nullptr;
    if (transfer_ && !read_needed_ &&
        (!known || own_entry() == nullptr || own_entry()->part < transfer_->part)) {
        transfer_.reset();
    }
    const auto* entry = record_.find(context_.self);
    const bool own = entry != nullptr && entry->incarnation <= context_.incarnation;
    drained_at_ = own && !should_hold_part(now)
                      ? std::min(drained_at_, now + context_.settings.settle)
                      : no_deadline;
}

std::optional<share_record> share_ledger::desired(time_point now) const {
    auto next = record_;
    const bool removed = remove_reclaimed(next);
    const bool placed = update_own_entry(now, next);
    const bool moved = apply_transfer(next);
    bool changed = removed || placed || moved || confirm_needed_;
    // A remainder too small for a write of its own is distributed with the next write: with parts
    // that do not add up to the whole, a burst of one token could never be used.
    if ((changed && all_targets_joined(next)) ||
        (now >= shared_work_at_ && distribution_due(now, next))) {
        next.distribute();
        changed = true;
    }
    return changed ? std::optional{std::move(next)} : std::nullopt;
}

bool share_ledger::should_hold_part(time_point now) const noexcept {
    if (leaving_ || superseded() || !active_) {
        return false;
    }
    return target() || (untargeted_since_ != no_deadline &&
                        now < untargeted_since_ + context_.settings.release_delay);
}

bool share_ledger::waits_to_join() const noexcept {
    return !holder() && target() && !leaving_ && !superseded() && active_;
}

/// Whether this VM is not a target and has not seen the record. It does not read the record: if an
/// earlier incarnation has an entry, a holder sends the record.
bool share_ledger::record_not_needed() const noexcept {
    return read_needed_ && !target() && version_ == 0 && notified_version_ == 0 &&
           unresolved_.empty();
}

bool share_ledger::update_own_entry(time_point now, share_record& next) const {
    auto* own = next.find(context_.self);
    if (own != nullptr && own->incarnation > context_.incarnation) {
        return false;
    }
    if (!should_hold_part(now)) {
        if (own == nullptr || now < drained_at_) {
            return false;
        }
        next.remove(context_.self);
        return true;
    }
    const bool joined = own != nullptr && own->incarnation == context_.incarnation;
    if (!joined && (now < join_at_ || !context_.lease_held)) {
        return false;
    }
    if (own != nullptr) {
        // The entry of an earlier incarnation: that process has ended, its tokens are lost.
        return std::exchange(own->incarnation, context_.incarnation) != context_.incarnation;
    }
    if (!target() || now < first_join_at_) {
        return false;
    }
    // Rounded up: the parts of a burst of one token have to add up to a token.
    const auto count = static_cast<std::uint32_t>(targets_.size());
    const auto equal_part = (whole_share + count - 1) / count;
    next.holders.push_back(
        {context_.self, context_.incarnation, std::min(equal_part, next.unassigned())});
    return true;
}

bool share_ledger::remove_reclaimed(share_record& next) const {
    bool changed = false;
    for (const auto& expired : expired_) {
        const auto* entry = next.find(expired.vm);
        if (entry != nullptr && entry->incarnation == expired.incarnation &&
            context_.gone.contains(expired.vm)) {
            next.remove(expired.vm);
            changed = true;
        }
    }
    return changed;
}

bool share_ledger::apply_transfer(share_record& next) const {
    if (!transfer_) {
        return false;
    }
    auto* own = next.find(context_.self);
    auto* receiver = next.find(transfer_->receiver);
    if (own == nullptr || receiver == nullptr || own->part < transfer_->part) {
        return false;
    }
    own->part -= transfer_->part;
    receiver->part += transfer_->part;
    return true;
}

bool share_ledger::distribution_due(time_point now, const share_record& next) const {
    if (next.holders.empty() || next.unassigned() < smallest_distribution) {
        return false;
    }
    return all_targets_joined(next) ||
           (incomplete_since_ != no_deadline && now >= incomplete_since_ + join_timeout);
}

bool share_ledger::all_targets_joined(const share_record& record) const {
    return std::all_of(targets_.begin(), targets_.end(),
                       [&](const vm_id& vm) { return record.find(vm) != nullptr; });
}

bool share_ledger::superseded() const noexcept {
    const auto* entry = record_.find(context_.self);
    return entry != nullptr && entry->incarnation > context_.incarnation;
}

const share_holder* share_ledger::own_entry() const noexcept {
    const auto* entry = record_.find(context_.self);
    return entry != nullptr && entry->incarnation == context_.incarnation ? entry : nullptr;
}

const share_holder* share_ledger::lease_to_check() const {
    for (const auto& holder : record_.holders) {
        const bool known = std::find(expired_.begin(), expired_.end(), holder) != expired_.end();
        if (holder.vm != context_.self && !known && context_.gone.contains(holder.vm)) {
            return &holder;
        }
    }
    return nullptr;
}

void share_ledger::schedule_shared_work(time_point now) {
    if (!holder()) {
        return;
    }
    const bool complete = all_targets_joined(record_);
    incomplete_since_ = complete ? no_deadline : std::min(incomplete_since_, now);
    if (complete && distribution_due(now, record_)) {
        shared_work_at_ = std::min(shared_work_at_, now + takeover_delay());
    } else if (!complete && record_.unassigned() >= smallest_distribution) {
        const auto join_deadline = std::max(now, incomplete_since_ + join_timeout);
        shared_work_at_ = std::min(shared_work_at_, join_deadline + takeover_delay());
    }
    if (lease_to_check() != nullptr && lease_check_at_ == no_deadline) {
        lease_check_at_ = now + takeover_delay();
    }
    if (!non_target_holders().empty() && non_target_notice_at_ == no_deadline) {
        non_target_notice_at_ = now + context_.settings.release_delay + takeover_delay();
    }
}

/// Live VMs that have an entry without being targets. A VM that has restarted since does not know
/// of its entry.
std::vector<vm_id> share_ledger::non_target_holders() const {
    std::vector<vm_id> found;
    for (const auto& holder : record_.holders) {
        if (holder.vm != context_.self && context_.live.contains(holder.vm) &&
            !contains(targets_, holder.vm)) {
            found.push_back(holder.vm);
        }
    }
    return found;
}

/// Work that only one VM has to do is done by the first live holder by rendezvous rank. Each
/// following holder waits longer, so that it normally finds the work done.
duration share_ledger::takeover_delay() {
    std::vector<vm_entry> candidates;
    for (const auto& holder : record_.holders) {
        const auto found = context_.live.find(holder.vm);
        if (found != context_.live.end() && !context_.gone.contains(holder.vm)) {
            candidates.push_back(found->second);
        }
    }
    const auto ranked = rank_vms(group_.str(), candidates);
    const auto own = std::find(ranked.begin(), ranked.end(), context_.self);
    const auto step = context_.settings.takeover_step;
    return (own - ranked.begin()) * step + random_delay(step / 4);
}

duration share_ledger::random_delay(duration longest) {
    std::uniform_int_distribution<duration::rep> choose{
        0, std::max<duration::rep>(0, longest.count())};
    return duration{choose(context_.random)};
}

void share_ledger::report(actions& out, std::string text, log_level level) const {
    log(out, "limits", level, "share " + group_.str() + ": " + std::move(text));
}

} // namespace jackdawvane
