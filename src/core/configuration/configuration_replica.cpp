#include "jackdawvane/configuration/configuration_replica.hpp"

#include "jackdawvane/configuration/configuration_editor.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <charconv>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "config";

/// Task name that selects the delegates of a failure domain for the configuration.
constexpr const char* delegate_task = "configuration";

/// A watch answered sooner than this without a newer version counts as failed. Otherwise a store
/// with stale reads would be polled without a delay.
constexpr duration min_watch_hold = std::chrono::seconds{1};

/// How a revision arrives, in logs and metrics.
constexpr const char* whole_document = "document";
constexpr const char* all_rows_form = "all_rows";
constexpr const char* changed_rows_form = "changed_rows";

std::string hexadecimal(std::uint64_t number) {
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return {digits.data(), end};
}

} // namespace

configuration_replica::configuration_replica(configuration_replica_settings settings,
                                             id_sequence<request_id>& ids, random_engine& random)
    : settings_{std::move(settings)}, ids_{ids}, random_{random},
      watch_back_off_{settings_.retry_floor}, pull_back_off_{settings_.retry_floor} {}

revision configuration_replica::present() const noexcept {
    return document_ ? document_->revision : revision{};
}

bool configuration_replica::watches() const noexcept {
    return is_delegate_ || reads_store_ || (settings_.read_at_start && !document_);
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
    sources_.set_live(live_);
    const auto is_gone = [&](const vm_id& vm) {
        return std::none_of(live_.begin(), live_.end(),
                            [&](const vm_entry& entry) { return entry.vm == vm; });
    };
    std::erase_if(knows_parts_, is_gone);
    std::erase_if(requested_at_, [&](const auto& each) { return is_gone(each.first); });
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
    if (answered) {
        reads_store_ = false;
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
    auto parsed = answer.document ? result<configuration_document>{*answer.document}
                                  : parse_document(answer.value);
    if (!parsed) {
        log(out, log_component, log_level::error,
            "the document in the store cannot be decoded: " + parsed.error().detail);
        watch_failed(now);
        return;
    }
    store_version_ = answer.version;
    adopt(std::move(parsed).value(), {}, whole_document, out);
}

/// Replaces the current document if the revision of @a document is higher.
bool configuration_replica::adopt(configuration_document document, const vm_id& source,
                                  const char* form, actions& out) {
    if (document.revision <= present()) {
        return false;
    }
    static const configuration_document none;
    auto rows = changed_rows(document_ ? *document_ : none, document);
    const auto row_count = rows.size();
    history_.add(present(), digest_, std::move(rows));
    digest_ = digest_of(document);
    document_ = std::make_shared<const configuration_document>(std::move(document));
    log(out, log_component, log_level::info,
        "revision " + std::to_string(present().value()) + " in force, from " +
            (source.empty() ? "the store" : source.str()) + " rows=" + std::to_string(row_count) +
            " form=" + form + " contents=" + hexadecimal(digest_.value()) + pulls_.text());
    pulls_ = {};
    reads_store_ = false;
    parts_.on_changed();
    collected_.clear();
    announce(source, out);
    return true;
}

/// Tells the next VMs of the failure domain. A delegate that read the store also tells the other
/// delegates, in case only this VM or this failure domain reaches the store.
void configuration_replica::announce(const vm_id& source, actions& out) {
    const auto ranked = delegates(delegate_task, settings_.domain, live_, live_.size());
    const auto children =
        tree_children(ranked, settings_.self, settings_.delegates_per_domain, settings_.fan_out);
    std::set<vm_id> receivers{children.begin(), children.end()};
    if (is_delegate_) {
        std::set<failure_domain_id> domains{settings_.domain};
        for (const auto& entry : live_) {
            if (source.empty() || is_near(entry.vm)) {
                domains.insert(entry.place.domain);
            }
        }
        for (const auto& domain : domains) {
            const auto chosen =
                delegates(delegate_task, domain, live_, settings_.delegates_per_domain);
            receivers.insert(chosen.begin(), chosen.end());
        }
    }
    receivers.erase(settings_.self);
    receivers.erase(source);
    for (const auto& vm : receivers) {
        send(vm, configuration_announce{present()}, out);
    }
}

/// A delegate whose watch the store holds gets the revision from there; a pull would send it twice
/// over the link.
bool configuration_replica::expects_store_answer() const noexcept {
    return is_delegate_ && watch_pending_ && document_ && watch_back_off_ == settings_.retry_floor;
}

void configuration_replica::on_announce(time_point now, const vm_id& from,
                                        const configuration_announce& announced, actions& out) {
    request_revision(now, announced.revision, from,
                     expects_store_answer() ? settings_.patience : duration{0}, out);
}

/// The VMs of the own failure domain are about to announce the revision; they are nearer.
void configuration_replica::on_peer_revision(time_point now, const vm_id& vm, revision heard,
                                             actions& out) {
    request_revision(now, heard, vm, document_ ? jittered(settings_.patience) : duration{0}, out);
}

void configuration_replica::request_revision(time_point now, revision wanted, const vm_id& source,
                                             duration patience, actions& out) {
    if (wanted <= present()) {
        return;
    }
    const bool was_behind = behind();
    wanted_ = std::max(wanted_, wanted);
    sources_.note(source, wanted);
    if (!source_.empty()) {
        return;
    }
    const auto earliest = document_ ? std::max(now + patience, next_pull_) : now;
    pull_at_ = was_behind ? std::min(pull_at_, earliest) : earliest;
    if (now >= pull_at_) {
        pull_from(now, source, out);
    }
}

void configuration_replica::pull_from(time_point now, const vm_id& source, actions& out) {
    ++pulls_.sent;
    count(out, "configuration_pulls_total", "source", is_near(source) ? "near" : "far");
    source_ = source;
    next_pull_ = now + settings_.min_pull_interval;
    sources_.mark_tried(source);
    collected_.clear();
    request_part(now, out);
    if (!knows_parts_.contains(source)) {
        // A VM of an earlier version drops the request and answers the pull; others know from the
        // request that they need not.
        send(source, configuration_pull{}, out);
    }
}

void configuration_replica::request_part(time_point now, actions& out) {
    pull_at_ = now + settings_.pull_timeout;
    auto request = collected_.next(digested());
    if (pull_all_rows_) {
        request.after = revision{};
    }
    send(source_, request, out);
}

digested_document configuration_replica::digested() const {
    static const configuration_document none;
    return {document_ ? *document_ : none, digest_};
}

void configuration_replica::pull_next(time_point now, actions& out) {
    if (!source_.empty()) {
        knows_parts_.erase(std::exchange(source_, vm_id{}));
        ++pulls_.timed_out;
        count(out, "configuration_pull_outcomes_total", "outcome", "timed_out");
    }
    const auto next = sources_.choose(settings_.self, settings_.domain, live_, wanted_, random_);
    if (next) {
        pull_from(now, *next, out);
        return;
    }
    // Unless a VM was busy, no live VM has the wanted revision; a membership probe reports when one
    // has it again.
    if (!std::exchange(busy_source_, false)) {
        if (wanted_ > present()) {
            read_store("no_source", out);
        }
        wanted_ = present();
    }
    sources_.forget_tried();
    pull_at_ = now + jittered(pull_back_off_);
    pull_back_off_ = std::min(2 * pull_back_off_, settings_.retry_ceiling);
}

/// The store always has the newest revision; it is asked only when other VMs can't help, because
/// its answer is the whole document.
void configuration_replica::read_store(const char* reason, actions& out) {
    if (!std::exchange(reads_store_, true) && !is_delegate_) {
        log(out, log_component, log_level::info,
            "reads the store itself wanted=" + std::to_string(wanted_.value()) +
                " present=" + std::to_string(present().value()) + " reason=" + reason);
        count(out, "configuration_store_reads_total", "reason", reason);
    }
}

void configuration_replica::on_request(time_point now, const vm_id& from,
                                       const configuration_request& request, actions& out) {
    requested_at_[from] = now;
    auto part = parts_.answer(now, from, request, digested(), history_);
    if (part.offset == 0) {
        ++pulls_.served;
        count(out, "configuration_requests_total", "answer",
              part.busy                     ? "busy"
              : part.revision == revision{} ? "none"
              : part.after == revision{}    ? all_rows_form
                                            : changed_rows_form);
    }
    send(from, std::move(part), out);
}

void configuration_replica::on_part(time_point now, const vm_id& from,
                                    const configuration_part& part, actions& out) {
    knows_parts_.insert(from);
    if (from != source_) {
        return;
    }
    busy_source_ = busy_source_ || part.busy;
    if (part.busy || part.revision <= present()) {
        finish_pull(now, false, out);
        return;
    }
    switch (collected_.add(part)) {
    case configuration_part_collector::progress::incomplete:
        request_part(now, out);
        return;
    case configuration_part_collector::progress::complete:
        finish_pull(now, adopt_collected(from, out), out);
        return;
    default:
        finish_pull(now, false, out);
    }
}

bool configuration_replica::adopt_collected(const vm_id& source, actions& out) {
    const auto* const form = collected_.has_all_rows() ? all_rows_form : changed_rows_form;
    auto document = collected_.finish(digested());
    const auto collected = std::exchange(collected_, {});
    if (!document) {
        log(out, log_component, log_level::warning,
            "rows from " + source.str() + " cannot be used: " + document.error().detail +
                " form=" + form);
        count(out, "configuration_unusable_rows_total", "form", form);
        if (std::exchange(pull_all_rows_, true)) {
            read_store("unusable_rows", out);
        }
        return false;
    }
    if (!adopt(std::move(document).value(), source, form, out)) {
        return false;
    }
    parts_.keep(collected.base(), collected.text());
    return true;
}

void configuration_replica::on_pull(time_point now, const vm_id& from,
                                    const configuration_pull& pull, actions& out) {
    const auto request = requested_at_.find(from);
    if (request != requested_at_.end() &&
        now < request->second + settings_.entire_document_timeout) {
        return; // Its request was answered.
    }
    configuration_difference answer;
    if (document_ && pull.after < present()) {
        answer.document = *document_;
    }
    ++pulls_.served;
    send(from, std::move(answer), out);
}

void configuration_replica::on_difference(time_point now, const vm_id& from,
                                          const configuration_difference& sent, actions& out) {
    const bool progress = sent.document && adopt(*sent.document, from, whole_document, out);
    if (from == source_) {
        finish_pull(now, progress, out);
    }
}

/// Ends the pending pull; starts another one while this VM is behind.
void configuration_replica::finish_pull(time_point now, bool progress, actions& out) {
    source_ = vm_id{};
    count(out, "configuration_pull_outcomes_total", "outcome", progress ? "progress" : "none");
    if (progress) {
        pull_all_rows_ = false;
        busy_source_ = false;
        pull_back_off_ = settings_.retry_floor;
        sources_.forget_tried();
        pull_at_ = next_pull_;
        return;
    }
    ++pulls_.without_progress;
    if (behind()) {
        pull_next(now, out);
    }
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

} // namespace jackdawvane
