#include "jackdawvane/configuration/configuration_replica.hpp"

#include "jackdawvane/configuration/configuration_editor.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "config";

/// Task name that selects the delegates of a failure domain for the configuration.
constexpr const char* delegate_task = "configuration";

/// A watch answered sooner than this without a newer version counts as failed. Otherwise a store
/// with stale reads would be polled without a delay.
constexpr duration min_watch_hold = std::chrono::seconds{1};

} // namespace

configuration_replica::configuration_replica(configuration_replica_settings settings,
                                             id_sequence<request_id>& ids, random_engine& random)
    : settings_{std::move(settings)}, ids_{ids}, random_{random},
      watch_back_off_{settings_.retry_floor}, pull_back_off_{settings_.retry_floor} {}

revision configuration_replica::present() const noexcept {
    return document_ ? document_->revision : revision{};
}

bool configuration_replica::watches() const noexcept {
    return is_delegate_ || (settings_.read_at_start && !document_);
}

bool configuration_replica::behind() const noexcept {
    return !document_ || present() < wanted_;
}

duration configuration_replica::jittered(duration longest) {
    std::uniform_int_distribution<duration::rep> spread{longest.count() / 2, longest.count()};
    return duration{spread(random_)};
}

void configuration_replica::on_membership(time_point now, std::span<const vm_entry> live,
                                          actions& out) {
    live_.assign(live.begin(), live.end());
    const auto chosen =
        delegates(delegate_task, settings_.domain, live_, settings_.delegates_per_domain);
    is_delegate_ = std::find(chosen.begin(), chosen.end(), settings_.self) != chosen.end();
    tick(now, out);
}

void configuration_replica::send(const vm_id& to, peer_message message, actions& out) const {
    const auto found = std::find_if(live_.begin(), live_.end(),
                                    [&](const vm_entry& entry) { return entry.vm == to; });
    if (found != live_.end()) {
        out.emplace_back(send_to_peer{to, found->peer, peer_channel::stream, std::move(message)});
    }
}

void configuration_replica::tick(time_point now, actions& out) {
    if (watch_pending_ && now >= watch_at_) {
        watch_pending_ = false;
        watch_failed(now);
    }
    if (!watch_pending_ && watches() && now >= watch_at_) {
        watch(now, out);
    }
    if (behind() && now >= pull_at_) {
        pull_next(now, out);
    }
}

time_point configuration_replica::next_deadline() const {
    const auto watch_due = watch_pending_ || watches() ? watch_at_ : no_deadline;
    return behind() && live_.size() > 1 ? std::min(watch_due, pull_at_) : watch_due;
}

void configuration_replica::watch(time_point now, actions& out) {
    store_request request;
    request.id = watch_id_ = ids_.next();
    request.operation = store_operation::watch;
    request.key = configuration_key;
    request.version = store_version_;
    request.wait = jittered(settings_.watch_wait);
    watch_pending_ = true;
    watch_sent_ = now;
    watch_at_ = now + request.wait + settings_.watch_grace;
    out.emplace_back(std::move(request));
}

void configuration_replica::watch_failed(time_point now) {
    watch_at_ = now + jittered(watch_back_off_);
    watch_back_off_ = std::min(2 * watch_back_off_, settings_.retry_ceiling);
}

bool configuration_replica::on_store(time_point now, const store_answer& answer, actions& out) {
    if (!watch_pending_ || answer.id != watch_id_) {
        return false;
    }
    watch_pending_ = false;
    const bool answered =
        answer.status == store_status::ok || answer.status == store_status::not_found;
    const bool moved = answer.version > store_version_;
    watch_at_ = moved && document_ ? now + settings_.watch_delay_after_update : now;
    if (!answered || (!moved && now - watch_sent_ < min_watch_hold)) {
        watch_failed(now);
    } else {
        watch_back_off_ = settings_.retry_floor;
    }
    if (answered && moved) {
        adopt_stored(now, answer, out);
    }
    if (is_delegate_ && now >= watch_at_) {
        watch(now, out);
    }
    return true;
}

void configuration_replica::adopt_stored(time_point now, const store_answer& answer, actions& out) {
    auto parsed = parse_document(answer.value);
    if (!parsed) {
        log(out, log_component, log_level::error,
            "the document in the store cannot be decoded: " + parsed.error().detail);
        watch_failed(now);
        return;
    }
    store_version_ = answer.version;
    adopt(std::move(parsed).value(), {}, out);
}

/// Replaces the current document if the revision of @a document is higher.
bool configuration_replica::adopt(configuration_document document, const vm_id& source,
                                  actions& out) {
    if (document.revision <= present()) {
        return false;
    }
    document_ = std::make_shared<const configuration_document>(std::move(document));
    log(out, log_component, log_level::info,
        "revision " + std::to_string(present().value()) + " in force, from " +
            (source.empty() ? "the store" : source.str()) + pulls_.text());
    pulls_ = {};
    if (is_delegate_) {
        announce(source, out);
    }
    return true;
}

void configuration_replica::announce(const vm_id& source, actions& out) {
    std::set<vm_id> receivers;
    std::set<failure_domain_id> domains;
    for (const auto& entry : live_) {
        if (entry.place.domain == settings_.domain) {
            receivers.insert(entry.vm);
        } else {
            domains.insert(entry.place.domain);
        }
    }
    // The delegates of the other domains are notified too, in case only this domain reaches the
    // store.
    for (const auto& domain : domains) {
        const auto chosen = delegates(delegate_task, domain, live_, settings_.delegates_per_domain);
        receivers.insert(chosen.begin(), chosen.end());
    }
    receivers.erase(settings_.self);
    receivers.erase(source);
    for (const auto& vm : receivers) {
        send(vm, configuration_announce{present()}, out);
    }
}

void configuration_replica::on_announce(time_point now, const vm_id& from,
                                        const configuration_announce& announced, actions& out) {
    request_revision(now, announced.revision, from, out);
}

void configuration_replica::on_peer_revision(time_point now, const vm_id& vm, revision heard,
                                             actions& out) {
    request_revision(now, heard, vm, out);
}

void configuration_replica::request_revision(time_point now, revision wanted, const vm_id& source,
                                             actions& out) {
    if (wanted <= present()) {
        return;
    }
    wanted_ = std::max(wanted_, wanted);
    tried_sources_.erase(source);
    last_announcer_ = source;
    if (!source_.empty()) {
        return;
    }
    if (document_ && now < next_pull_) {
        pull_at_ = next_pull_; // Batches later revisions into the same pull.
    } else {
        pull_from(now, source, out);
    }
}

void configuration_replica::pull_from(time_point now, const vm_id& source, actions& out) {
    ++pulls_.sent;
    count(out, "configuration_pulls_total", "source", is_near(source) ? "near" : "far");
    source_ = source;
    next_pull_ = now + settings_.min_pull_interval;
    tried_sources_.insert(source);
    pull_at_ = now + settings_.pull_timeout;
    send(source, configuration_pull{pull_entire_document_ ? revision{} : present()}, out);
}

std::vector<vm_id> configuration_replica::untried_sources() const {
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (const auto& entry : live_) {
        if (entry.vm != settings_.self && !tried_sources_.contains(entry.vm)) {
            (entry.place.domain == settings_.domain ? near : far).push_back(entry.vm);
        }
    }
    return near.empty() ? far : near;
}

void configuration_replica::pull_next(time_point now, actions& out) {
    if (!source_.empty()) {
        ++pulls_.timed_out;
        count(out, "configuration_pull_outcomes_total", "outcome", "timed_out");
    }
    source_ = vm_id{};
    if (!last_announcer_.empty() && !tried_sources_.contains(last_announcer_)) {
        pull_from(now, last_announcer_, out);
        return;
    }
    const auto sources = untried_sources();
    if (sources.empty()) {
        // No live VM has the wanted revision; a membership probe reports when one has it again.
        wanted_ = present();
        tried_sources_.clear();
        pull_at_ = now + jittered(pull_back_off_);
        pull_back_off_ = std::min(2 * pull_back_off_, settings_.retry_ceiling);
        return;
    }
    std::uniform_int_distribution<std::size_t> any{0, sources.size() - 1};
    pull_from(now, sources[any(random_)], out);
}

void configuration_replica::on_pull(const vm_id& from, const configuration_pull& pull,
                                    actions& out) {
    configuration_difference answer;
    if (document_ && pull.after < present()) {
        const auto& edits = document_->recent_edits;
        if (pull.after > revision{} && has_all_edits_after(*document_, pull.after)) {
            std::copy_if(
                edits.begin(), edits.end(), std::back_inserter(answer.edits),
                [&](const configuration_edit& edit) { return edit.revision > pull.after; });
        } else {
            answer.document = *document_;
        }
    }
    ++pulls_.served;
    send(from, std::move(answer), out);
}

void configuration_replica::on_difference(time_point now, const vm_id& from,
                                          const configuration_difference& sent, actions& out) {
    const bool progress =
        sent.document ? adopt(*sent.document, from, out) : adopt_edits(sent, from, out);
    if (from != source_) {
        return;
    }
    source_ = vm_id{};
    count(out, "configuration_pull_outcomes_total", "outcome", progress ? "progress" : "none");
    if (progress) {
        pull_entire_document_ = false;
        pull_back_off_ = settings_.retry_floor;
    }
    if (!behind()) {
        tried_sources_.clear();
        return;
    }
    if (progress) {
        tried_sources_.clear();
        pull_at_ = next_pull_;
        return;
    }
    ++pulls_.without_progress;
    pull_next(now, out);
}

bool configuration_replica::is_near(const vm_id& vm) const {
    return std::any_of(live_.begin(), live_.end(), [&](const vm_entry& entry) {
        return entry.vm == vm && entry.place.domain == settings_.domain;
    });
}

std::string configuration_replica::pull_statistics::text() const {
    return " pulls=" + std::to_string(sent) + " timed_out=" + std::to_string(timed_out) +
           " without_progress=" + std::to_string(without_progress) +
           " answers_served=" + std::to_string(served);
}

bool configuration_replica::adopt_edits(const configuration_difference& sent, const vm_id& source,
                                        actions& out) {
    if (!document_ || sent.edits.empty()) {
        return false;
    }
    auto changed = *document_;
    for (const auto& edit : sent.edits) {
        if (edit.revision != changed.revision.next()) {
            continue;
        }
        auto next = apply(changed, edit);
        if (!next) {
            log(out, log_component, log_level::warning,
                "edits from " + source.str() + " cannot be applied: " + next.error().detail);
            pull_entire_document_ = true;
            tried_sources_.erase(source);
            return false;
        }
        changed = std::move(next).value();
    }
    return adopt(std::move(changed), source, out);
}

} // namespace jackdawvane
