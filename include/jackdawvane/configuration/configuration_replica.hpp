#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"
#include "jackdawvane/configuration/configuration_sources.hpp"
#include "jackdawvane/configuration/configuration_transfer.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jackdawvane {

/// @brief Location and timing of a configuration replica.
struct configuration_replica_settings {
    vm_id self;
    failure_domain_id domain;
    std::size_t delegates_per_domain{2};
    /// Upper bound of the wait of one watch; each watch waits for a random time between half of
    /// the bound and the bound. A watch whose answer the store dropped is repeated only after its
    /// wait. Because the waits of six delegates differ, the first one repeats its watch within
    /// about 3 s.
    duration watch_wait{std::chrono::seconds{4}};
    /// Time past the wait of a watch after which an unanswered watch counts as failed.
    duration watch_grace{std::chrono::milliseconds{500}};
    duration retry_floor{std::chrono::milliseconds{200}};
    /// Bounds the time until the first watch after an outage, and so the time until the next edit
    /// is seen.
    duration retry_ceiling{std::chrono::seconds{2}};
    /// Whether a VM without a document reads the store before it knows the delegates.
    bool read_at_start{false};
    /// Time for one slice; over 10 times the round trip between regions, and several times what a
    /// small VM takes to make the text of thousands of rows.
    duration pull_timeout{std::chrono::seconds{1}};
    /// Time for which a request of a VM shows that its pull needs no answer.
    duration entire_document_timeout{std::chrono::seconds{2}};
    /// Time that a VM waits for the store, or for its failure domain, before it asks another VM.
    duration patience{std::chrono::milliseconds{300}};
    std::size_t fan_out{4}; ///< VMs of the failure domain that a VM tells of a new revision.
    /// Minimum interval between two pulls, and minimum delay from a new document to the next watch.
    /// They batch edits in quick succession, because processing one document takes a small VM tens
    /// of milliseconds.
    duration min_pull_interval{std::chrono::milliseconds{250}};
    duration watch_delay_after_update{std::chrono::milliseconds{250}};
};

/// @brief This VM's copy of the configuration document; its revision never decreases.
///
/// Two delegates per failure domain watch the store. A delegate announces each new revision to the
/// delegates of all failure domains; within a failure domain the VMs pass it on as a tree. A VM
/// with an older revision requests the rows that changed from a VM that has the newer one, in
/// slices, and checks the digest of the result.
class configuration_replica {
  public:
    configuration_replica(configuration_replica_settings settings, id_sequence<request_id>& ids,
                          random_engine& random);

    /// @brief Updates the membership view; called after each change of it and once at start.
    void on_membership(time_point now, std::span<const vm_entry> live, actions& out);

    /// @brief Handles an answer of the store.
    /// @return whether the answer was to a request of this replica
    bool on_store(time_point now, const store_answer& answer, actions& out);

    void on_announce(time_point now, const vm_id& from, const configuration_announce& announced,
                     actions& out);
    void on_request(time_point now, const vm_id& from, const configuration_request& request,
                    actions& out);
    void on_part(time_point now, const vm_id& from, const configuration_part& part, actions& out);
    /// @brief Answers a VM of an earlier version.
    void on_pull(time_point now, const vm_id& from, const configuration_pull& pull, actions& out);
    void on_difference(time_point now, const vm_id& from, const configuration_difference& sent,
                       actions& out);

    /// @brief Handles the revision in a membership probe; makes up for a lost announcement.
    void on_peer_revision(time_point now, const vm_id& vm, revision heard, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Document in force; null until one is known.
    [[nodiscard]] const std::shared_ptr<const configuration_document>& document() const noexcept {
        return document_;
    }

    /// @brief Revision in force; 0 until a document is known.
    [[nodiscard]] revision present() const noexcept;

    /// @brief Whether this VM watches the store for its failure domain.
    [[nodiscard]] bool is_delegate() const noexcept { return is_delegate_; }

  private:
    /// Pulls since the last revision was put in force.
    struct pull_statistics {
        unsigned sent{0};
        unsigned timed_out{0};
        unsigned without_progress{0};
        unsigned served{0}; ///< Pulls of other VMs that were answered.
        [[nodiscard]] std::string text() const;
    };

    [[nodiscard]] bool is_near(const vm_id& vm) const;
    void send(const vm_id& to, peer_message message, actions& out) const;
    void watch(time_point now, actions& out);
    void watch_failed(time_point now);
    void adopt_stored(time_point now, const store_answer& answer, actions& out);
    bool adopt(configuration_document document, const vm_id& source, const char* form,
               actions& out);
    bool adopt_collected(const vm_id& source, actions& out);
    void announce(const vm_id& source, actions& out);
    [[nodiscard]] bool watches() const noexcept;
    void read_store(const char* reason, actions& out);
    [[nodiscard]] bool behind() const noexcept;
    [[nodiscard]] bool expects_store_answer() const noexcept;
    [[nodiscard]] digested_document digested() const;
    void request_revision(time_point now, revision wanted, const vm_id& source, duration patience,
                          actions& out);
    void pull_from(time_point now, const vm_id& source, actions& out);
    void request_part(time_point now, actions& out);
    void pull_next(time_point now, actions& out);
    void finish_pull(time_point now, bool progress, actions& out);
    [[nodiscard]] duration jittered(duration longest);

    configuration_replica_settings settings_;
    id_sequence<request_id>& ids_;
    random_engine& random_;
    std::vector<vm_entry> live_;
    std::shared_ptr<const configuration_document> document_;
    content_digest digest_; ///< Of the rows of `document_`.
    configuration_history history_;
    configuration_part_server parts_;
    bool is_delegate_{false};

    request_id watch_id_;
    bool watch_pending_{false};
    std::uint64_t store_version_{0};
    time_point watch_sent_{};
    time_point watch_at_{};
    duration watch_back_off_;

    pull_statistics pulls_;
    revision wanted_; ///< Highest revision known to exist.
    vm_id source_;    ///< VM that has to answer the pending pull; empty when none is pending.
    configuration_sources sources_;
    configuration_part_collector collected_;   ///< Of the pending pull.
    bool pull_all_rows_{false};                ///< The changed rows did not fit to the document.
    bool reads_store_{false};                  ///< No other VM had rows that this VM can use.
    bool busy_source_{false};                  ///< A source that was tried had no time.
    std::set<vm_id> knows_parts_;              ///< VMs that answered a request.
    std::map<vm_id, time_point> requested_at_; ///< Last request of each VM.
    time_point next_pull_{};                   ///< Earliest time of the next pull.
    time_point pull_at_{};                     ///< Timeout of the pull, or start of the next one.
    duration pull_back_off_;
};

} // namespace jackdawvane
