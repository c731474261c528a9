#include "jackdawvane/adapters/peer_traffic.hpp"

#include <utility>

#include <string_view>

namespace jackdawvane {

namespace {

const std::string unknown_region{"unknown"};

constexpr std::string_view configuration_methods{"configuration."};
constexpr std::string_view announcements{"configuration.announce"};

const char* text_of(peer_channel channel) noexcept {
    return channel == peer_channel::stream ? "tcp " : "udp ";
}

void count_bytes(diagnostics_port& out, const char* name, const char* label, std::string value,
                 std::uint64_t amount) {
    out.measure({metric_kind::counter, name, label, std::move(value), static_cast<double>(amount)});
}

} // namespace

void peer_traffic::update_regions(const peer_message& message) {
    const auto* const probe = std::get_if<membership_probe>(&message);
    if (probe == nullptr) {
        return;
    }
    for (const auto& update : probe->updates) {
        if (!update.entry.place.region.empty()) {
            regions_[update.entry.vm] = update.entry.place.region;
        }
    }
}

void peer_traffic::add(direction way, peer_channel channel, const char* method, const vm_id& vm,
                       std::size_t bytes) {
    by_method_[{way, channel, method}].total += bytes;
    by_region_[{way, channel, region_of(vm)}].total += bytes;
}

void peer_traffic::add_work(direction way, const char* method, std::chrono::microseconds spent) {
    work_[{way, peer_channel::stream, method}].total += static_cast<std::uint64_t>(spent.count());
}

std::string peer_traffic::configuration_summary() {
    std::string text;
    const auto append = [&](const std::map<key, counter>& counters, const char* unit) {
        for (const auto& [counted, sum] : counters) {
            if (counted.name.starts_with(configuration_methods) && counted.name != announcements) {
                text += std::string{" "} +
                        (counted.way == direction::sent ? "sent_" : "received_") +
                        counted.name.substr(configuration_methods.size()) + unit +
                        std::to_string(sum.total);
            }
        }
    };
    append(by_method_, "_bytes=");
    append(work_, "_us=");
    summary_queue_ = std::max(summary_queue_, largest_queue_);
    if (text != summary_) {
        summary_ = std::move(text);
        summary_printed_ = false;
        return {};
    }
    if (std::exchange(summary_printed_, true)) {
        return {};
    }
    return "configuration traffic" + summary_ +
           " largest_queue_bytes=" + std::to_string(std::exchange(summary_queue_, 0));
}

const std::string& peer_traffic::region_of(const vm_id& vm) const {
    const auto found = regions_.find(vm);
    return found == regions_.end() ? unknown_region : found->second.str();
}

std::uint64_t peer_traffic::drops(peer_drop_reason reason) const {
    const auto found = drops_.find(reason);
    return found == drops_.end() ? 0 : found->second;
}

std::uint64_t peer_traffic::bytes(direction way, peer_channel channel,
                                  const region_id& region) const {
    const auto found = by_region_.find({way, channel, region.str()});
    return found == by_region_.end() ? 0 : found->second.total;
}

std::string peer_traffic::path_label(const key& counted) const {
    const bool sent = counted.way == direction::sent;
    const auto& from = sent ? own_region_.str() : counted.name;
    const auto& to = sent ? counted.name : own_region_.str();
    return text_of(counted.channel) + from + " to " + to;
}

void peer_traffic::report(diagnostics_port& out) {
    for (auto& [counted, bytes] : by_method_) {
        const auto* const name =
            counted.way == direction::sent ? "peer_sent_bytes_total" : "peer_received_bytes_total";
        const auto added = bytes.total - std::exchange(bytes.reported, bytes.total);
        count_bytes(out, name, "method", text_of(counted.channel) + counted.name, added);
    }
    for (auto& [counted, bytes] : by_region_) {
        const auto* const name = counted.way == direction::sent
                                     ? "peer_region_sent_bytes_total"
                                     : "peer_region_received_bytes_total";
        const auto added = bytes.total - std::exchange(bytes.reported, bytes.total);
        count_bytes(out, name, "path", path_label(counted), added);
    }
    for (auto& [counted, spent] : work_) {
        const auto* const name = counted.way == direction::sent ? "peer_encode_microseconds_total"
                                                                : "peer_handle_microseconds_total";
        const auto added = spent.total - std::exchange(spent.reported, spent.total);
        count_bytes(out, name, "method", counted.name, added);
    }
    out.measure({metric_kind::gauge,
                 "peer_largest_queue_bytes",
                 "",
                 {},
                 static_cast<double>(std::exchange(largest_queue_, 0))});
    for (const auto& [reason, total] : drops_) {
        const auto added = total - std::exchange(reported_drops_[reason], total);
        const auto* const text = reason == peer_drop_reason::wrong_mac ? "wrong_mac" : "malformed";
        count_bytes(out, "peer_messages_dropped_total", "reason", text, added);
    }
}

} // namespace jackdawvane
