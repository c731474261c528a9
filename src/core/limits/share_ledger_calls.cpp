#include "jackdawvane/limits/share_ledger.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief Store calls of the share ledger and the handling of their answers.

namespace jackdawvane {

namespace {

/// A conflict is retried after a random delay of up to this time, to separate concurrent writers.
constexpr duration conflict_spread = std::chrono::milliseconds{100};
/// A lease that still exists is read again after this time.
constexpr duration lease_check_interval = std::chrono::seconds{10};
/// A transfer is dropped after this many conflicts; the receiver asks again.
constexpr int transfer_attempts = 3;

store_request request_for(store_operation operation, std::string key) {
    store_request request;
    request.operation = operation;
    request.key = std::move(key);
    return request;
}

} // namespace

void share_ledger::call(call_kind kind, store_request request, actions& out) {
    request.id = context_.ids.next();
    call_kind_ = kind;
    call_id_ = request.id;
    out.emplace_back(std::move(request));
}

void share_ledger::start_read(actions& out) {
    call(call_kind::read, request_for(store_operation::read, share_key(group_)), out);
}

void share_ledger::start_swap(const share_record& next, actions& out) {
    const auto* own = next.find(context_.self);
    const bool present = own != nullptr && own->incarnation == context_.incarnation;
    unresolved_.push_back({version_, present ? own->part : 0, affected_by(next)});
    proposed_ = next;
    auto swap = request_for(store_operation::compare_and_swap, share_key(group_));
    swap.value = write_json(to_json(next));
    swap.version = version_;
    call(call_kind::swap, std::move(swap), out);
}

void share_ledger::start_lease_read(const share_holder& subject, actions& out) {
    lease_subject_ = subject;
    call(call_kind::read_lease, request_for(store_operation::read, lease_key(subject.vm)), out);
}

void share_ledger::finish_read(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::not_found) {
        observe(now, {}, 0, out);
        return;
    }
    if (answer.status != store_status::ok) {
        retry_later(now);
        return;
    }
    observe_text(now, answer, out);
}

void share_ledger::finish_swap(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::ok) {
        transfer_.reset();
        confirm_needed_ = false;
        observe(now, proposed_, answer.version, out);
        return;
    }
    if (answer.status == store_status::unavailable) {
        report(out, "no answer to a record update, part counts as transferred until read back",
               log_level::warning);
        transfer_.reset();
        read_needed_ = true;
        retry_later(now);
        return;
    }
    unresolved_.pop_back(); // A conflict wrote nothing.
    if (transfer_ && ++transfer_->attempts >= transfer_attempts) {
        transfer_.reset();
    }
    retry_at_ = now + random_delay(conflict_spread);
    read_needed_ = true;
    if (answer.status == store_status::conflict && !answer.value.empty()) {
        observe_text(now, answer, out);
    }
}

void share_ledger::finish_lease_read(time_point now, const store_answer& answer, actions& out) {
    if (answer.status == store_status::unavailable) {
        lease_check_at_ = now + lease_check_interval;
        return;
    }
    const auto holder_text = std::to_string(lease_subject_.incarnation.value());
    if (answer.status == store_status::ok && answer.value == holder_text) {
        lease_check_at_ = now + lease_check_interval + takeover_delay();
        return;
    }
    report(out, "reclaims the part of " + lease_subject_.vm.str());
    expired_.push_back(lease_subject_);
    if (lease_to_check() != nullptr) {
        lease_check_at_ = now;
    }
}

void share_ledger::observe_text(time_point now, const store_answer& answer, actions& out) {
    const auto json = parse_json(answer.value);
    const auto record =
        json ? from_json<share_record>(json.value()) : result<share_record>{json.error()};
    if (!record) {
        report(out, "cannot parse the share record: " + record.error().message(), log_level::error);
        read_needed_ = true;
        retry_later(now);
        return;
    }
    observe(now, record.value(), answer.version, out);
}

void share_ledger::observe(time_point now, share_record record, std::uint64_t version,
                           actions& out) {
    const bool was_holder = holder();
    const auto* const earlier = record.find(context_.self);
    inherited_ = inherited_ || (earlier != nullptr && earlier->incarnation < context_.incarnation);
    if (version != version_) {
        expired_.clear(); // A holder may have confirmed its entry since its lease was read.
    }
    record_ = std::move(record);
    version_ = version;
    read_needed_ = notified_version_ > version_;
    confirm_needed_ = confirm_needed_ && holder();
    verified_ = !confirm_needed_;
    retry_delay_ = duration{0};
    const auto refresh = context_.settings.refresh;
    refresh_at_ = now + refresh * 3 / 4 + random_delay(refresh / 2);
    resolve_proposals(out);
    if (holder() != was_holder) {
        const auto* own = own_entry();
        report(out, own == nullptr ? "no longer a holder"
                                   : "now holds " + std::to_string(own->part) + " millionths");
    }
    schedule_shared_work(now);
}

/// A change to an older version either took effect before this record or never will.
void share_ledger::resolve_proposals(actions& out) {
    std::vector<vm_id> changed;
    for (const auto& open : unresolved_) {
        if (open.base != version_) {
            changed.insert(changed.end(), open.notify.begin(), open.notify.end());
        }
    }
    std::erase_if(unresolved_, [&](const proposal& open) { return open.base != version_; });
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    notify(changed, out);
}

std::vector<vm_id> share_ledger::affected_by(const share_record& next) const {
    std::vector<vm_id> affected;
    for (const auto& holder : next.holders) {
        const auto* before = record_.find(holder.vm);
        const bool raised = before != nullptr && holder.part > before->part;
        if (holder.vm != context_.self && raised) {
            affected.push_back(holder.vm);
        }
    }
    return affected;
}

void share_ledger::notify(const std::vector<vm_id>& vms, actions& out) const {
    for (const auto& vm : vms) {
        const auto found = context_.live.find(vm);
        if (found != context_.live.end()) {
            out.emplace_back(send_to_peer{vm, found->second.peer, peer_channel::stream,
                                          share_notice{group_, version_, record_}});
        }
    }
}

void share_ledger::retry_later(time_point now) {
    const auto& settings = context_.settings;
    retry_delay_ = std::clamp(retry_delay_ * 2, settings.shortest_retry, settings.longest_retry);
    retry_at_ = now + retry_delay_ / 2 + random_delay(retry_delay_);
}

void share_ledger::abandon_call() {
    if (call_kind_ == call_kind::none) {
        return;
    }
    abandoned_.insert(call_id_); // A swap in flight stays among the unresolved proposals.
    call_kind_ = call_kind::none;
}

} // namespace jackdawvane
