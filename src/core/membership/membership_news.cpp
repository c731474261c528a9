#include "jackdawvane/membership/membership.hpp"

#include <utility>

#include <algorithm>
#include <cmath>

/// @file
/// @brief How membership news is taken, queued and attached to datagrams.

namespace jackdawvane {

namespace {

constexpr const char* log_part = "membership";

/// Payload that stays below the smallest path MTU in use (1280 bytes) with all headers.
constexpr std::size_t max_datagram_bytes = 1200;

/// Room for the JSON-RPC frame: method, sender and incarnation.
constexpr std::size_t frame_bytes = 200;

/// Sends of one piece of news per VM, times the logarithm of the fleet's size.
constexpr double sends_factor = 2;

/// Time in which a new VM's datagrams are filled up with what it may not know yet.
constexpr duration newcomer_time = std::chrono::seconds{20};

/// More records than fit into one datagram.
constexpr std::size_t newcomer_records = 8;

/// Attaches updates to a probe as long as the datagram has room.
class datagram_filler {
  public:
    datagram_filler(const member_table& table, membership_probe& probe)
        : table_{table}, probe_{probe}, room_{max_datagram_bytes - frame_bytes -
                                              write_json(to_json(probe)).size()} {}

    /// Whether the datagram holds the news about @a record now.
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

void membership::spread(member_record& record, std::uint32_t least) {
    record.sends_left = std::max(record.sends_left, least == 0 ? send_limit() : least);
    news_.insert(record.entry.vm);
    next_gossip_ = std::min(next_gossip_, last_event_ + settings_.gossip_interval);
}

void membership::take_updates(time_point now, const std::vector<member_update>& updates,
                              actions& out) {
    for (const auto& update : updates) {
        take_update(now, update, out);
    }
}

void membership::take_update(time_point now, const member_update& update, actions& out) {
    const auto merged = table_.merge(now, update);
    auto& record = *table_.find(update.entry.vm);
    switch (merged) {
    case merge_result::unchanged:
        return;
    case merge_result::stale:
        spread(record, 1);
        return;
    case merge_result::itself:
        log(out, log_part, log_level::info,
            "refuted that this VM is " + std::string{to_json(update.health).asString()});
        spread(record);
        return;
    case merge_result::news:
        break;
    }
    changed_ = true;
    spread(record);
    if (record.health == member_health::suspect) {
        record.suspect_until = std::min(record.suspect_until, now + suspicion_time());
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
    log(out, log_part, log_level::info, std::to_string(live_.size()) + " VMs count as live");
}

void membership::send(time_point now, const vm_id& to, membership_probe probe, actions& out) {
    auto* const record = table_.find(to);
    if (record == nullptr) {
        return;
    }
    probe.revision = revision_;
    probe.store_age = now - store_heard_;
    attach_updates(now, *record, probe);
    out.emplace_back(
        send_to_peer{to, record->entry.peer, peer_channel::datagram, std::move(probe)});
}

/// A VM ignores datagrams of a VM that it does not know. Later, when the news must have arrived,
/// only a VM that does not answer gets the introduction again.
bool membership::introduces_itself(time_point now, const member_record& to) {
    if (self_sent_ != table_.self_version()) {
        self_sent_ = table_.self_version();
        self_changed_ = now;
    }
    const bool recent = now - self_changed_ < newcomer_time || now - to.known_since < newcomer_time;
    return to.health != member_health::alive || (recent && to.told_self != table_.self_version());
}

void membership::attach_updates(time_point now, member_record& to, membership_probe& probe) {
    datagram_filler datagram{table_, probe};
    if (to.health != member_health::alive) {
        datagram.attach(to); // Lets a suspect refute.
    }
    if (introduces_itself(now, to)) {
        datagram.attach(table_.self());
    }
    std::vector<member_record*> waiting;
    waiting.reserve(news_.size());
    for (const auto& vm : news_) {
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
            news_.erase(record->entry.vm);
        }
    }
    // One known record per datagram repairs lost news. A newcomer gets as many as fit, the dead
    // first, because its first list does not tell them apart.
    const bool newcomer = now - to.known_since < newcomer_time;
    auto known = choose(newcomer ? newcomer_records : 1, [](const member_record& record) {
        return record.incarnation.value() > 0 || record.listed;
    });
    if (newcomer) {
        const auto dead = choose(newcomer_records, [](const member_record& record) {
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
    if (news_.empty()) {
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
