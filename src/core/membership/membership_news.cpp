#include "jackdawvane/membership/membership.hpp"

#include <utility>

#include <algorithm>
#include <cmath>

/// @file
/// @brief Applies and queues membership updates and attaches them to datagrams.

namespace jackdawvane {

namespace {

constexpr const char* log_component = "membership";

/// Payload that stays below the smallest path MTU in use (1280 bytes) with all headers.
constexpr std::size_t max_datagram_bytes = 1200;

/// Room for the JSON-RPC frame: method, sender and incarnation.
constexpr std::size_t frame_bytes = 200;

/// Each VM sends an update this many times the binary logarithm of the fleet's size.
constexpr double sends_factor = 2;

/// Time for which datagrams to a new VM are filled with records that it may not know yet.
constexpr duration new_vm_period = std::chrono::seconds{20};

/// More records than fit into one datagram.
constexpr std::size_t new_vm_records = 8;

/// Attaches updates to a probe while the datagram has room.
class datagram_filler {
  public:
    datagram_filler(const member_table& table, membership_probe& probe)
        : table_{table}, probe_{probe}, room_{max_datagram_bytes - frame_bytes -
                                              write_json(to_json(probe)).size()} {}

    /// @return whether the datagram contains an update about @a record
    bool attach(const member_record& record) {
        if (attached_.contains(record.entry.vm)) {
            return true;
        }
        auto update = table_.update_about(record);
        const auto size = write_json(to_json(update)).size() + 1;
        if (size > room_) {
            return false;
        }
        room_ -= size;
        attached_.insert(record.entry.vm);
        probe_.updates.push_back(std::move(update));
        return true;
    }

  private:
    const member_table& table_;
    membership_probe& probe_;
    std::size_t room_;
    std::set<vm_id> attached_;
};

} // namespace

std::uint32_t membership::send_limit() const {
    const auto size = static_cast<double>(table_.records().size() + 1);
    return static_cast<std::uint32_t>(std::ceil(sends_factor * std::log2(size)));
}

void membership::queue_update(member_record& record, std::uint32_t min_sends) {
    record.sends_left = std::max(record.sends_left, min_sends == 0 ? send_limit() : min_sends);
    queued_updates_.insert(record.entry.vm);
    next_gossip_ = std::min(next_gossip_, last_event_ + settings_.gossip_interval);
}

void membership::apply_updates(time_point now, const std::vector<member_update>& updates,
                               actions& out) {
    for (const auto& update : updates) {
        apply_update(now, update, out);
    }
}

void membership::apply_update(time_point now, const member_update& update, actions& out) {
    const auto merged = table_.merge(now, update);
    auto& record = *table_.find(update.entry.vm);
    switch (merged) {
    case merge_result::unchanged:
        return;
    case merge_result::stale:
        queue_update(record, 1);
        return;
    case merge_result::refuted:
        log(out, log_component, log_level::info,
            "refuted an update that reports this VM as " +
                std::string{to_json(update.health).asString()});
        queue_update(record);
        return;
    case merge_result::changed:
        break;
    }
    changed_ = true;
    queue_update(record);
    if (record.health == member_health::suspect) {
        record.suspect_until = std::min(record.suspect_until, now + scaled_suspicion_timeout());
        suspects_.insert(update.entry.vm);
    }
}

void membership::refresh(time_point now, actions& out) {
    const bool first = refreshed_at_ == time_point::min();
    if (!changed_ || (!first && now < refreshed_at_ + settings_.change_interval)) {
        return;
    }
    changed_ = false;
    auto present = table_.live();
    if (present == live_) {
        return;
    }
    live_ = std::move(present);
    refreshed_at_ = now;
    delegate_rank_ = find_delegate_rank();
    ++version_;
    log(out, log_component, log_level::info,
        std::to_string(live_.size()) + " live VMs in the fleet");
}

void membership::send(time_point now, const vm_id& to, membership_probe probe, actions& out) {
    auto* const record = table_.find(to);
    if (record == nullptr) {
        return;
    }
    probe.revision = revision_;
    probe.store_age = now - store_answered_at_;
    attach_updates(now, *record, probe);
    out.emplace_back(
        send_to_peer{to, record->entry.peer, peer_channel::datagram, std::move(probe)});
}

/// Whether a datagram to @a to carries this VM's own record: VMs ignore datagrams from a VM that
/// they do not know. After `new_vm_period` the record must have arrived, and only VMs that are not
/// alive are sent it again.
bool membership::must_attach_self(time_point now, const member_record& to) {
    if (announced_self_version_ != table_.self_version()) {
        announced_self_version_ = table_.self_version();
        self_changed_at_ = now;
    }
    const bool recent =
        now - self_changed_at_ < new_vm_period || now - to.known_since < new_vm_period;
    return to.health != member_health::alive ||
           (recent && to.acknowledged_self_version != table_.self_version());
}

void membership::attach_updates(time_point now, member_record& to, membership_probe& probe) {
    datagram_filler datagram{table_, probe};
    if (to.health != member_health::alive) {
        datagram.attach(to); // Lets a suspect refute the suspicion.
    }
    if (must_attach_self(now, to)) {
        datagram.attach(table_.self());
    }
    std::vector<member_record*> waiting;
    waiting.reserve(queued_updates_.size());
    for (const auto& vm : queued_updates_) {
        waiting.push_back(table_.find(vm));
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto* left, const auto* right) {
        return left->sends_left > right->sends_left;
    });
    for (auto* const record : waiting) {
        if (!datagram.attach(*record)) {
            return;
        }
        if (--record->sends_left == 0) {
            queued_updates_.erase(record->entry.vm);
        }
    }
    // One random record per datagram repairs lost updates. A new VM gets as many as fit, dead ones
    // first, because the list that it started from does not show which VMs are dead.
    const bool is_new_vm = now - to.known_since < new_vm_period;
    auto known = choose(is_new_vm ? new_vm_records : 1, [](const member_record& record) {
        return record.incarnation.value() > 0 || record.listed;
    });
    if (is_new_vm) {
        const auto dead = choose(new_vm_records, [](const member_record& record) {
            return record.health == member_health::dead && record.listed;
        });
        known.insert(known.begin(), dead.begin(), dead.end());
    }
    for (const auto& vm : known) {
        if (!datagram.attach(*table_.find(vm))) {
            return;
        }
    }
}

void membership::gossip(time_point now, actions& out) {
    if (queued_updates_.empty()) {
        next_gossip_ = no_deadline;
        return;
    }
    next_gossip_ = now + settings_.gossip_interval;
    const auto receivers = choose(1, [](const member_record& record) { return record.is_up(); });
    for (const auto& vm : receivers) {
        membership_probe message;
        message.kind = probe_kind::ack;
        message.target = settings_.self.vm;
        send(now, vm, std::move(message), out);
    }
}

} // namespace jackdawvane
