#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/ports.hpp"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jackdawvane {

/// @brief Place and intervals of a configuration replica.
struct configuration_replica_settings {
    vm_id self;
    failure_domain_id domain;
    std::size_t delegates_per_domain{2};
    /// Longest wait of one watch; each is shortened at random to half of it at least. A watch
    /// whose answer the store dropped is silent until then, and with six delegates out of step
    /// the first one asks again within about 3 s.
    duration watch_wait{std::chrono::seconds{4}};
    /// Time past `watch_wait` after which an unanswered watch counts as failed.
    duration watch_grace{std::chrono::milliseconds{500}};
    duration retry_floor{std::chrono::milliseconds{200}};
    /// Bounds the time until the first watch after an outage, and so the delay of the next edit.
    duration retry_ceiling{std::chrono::seconds{2}};
    /// Whether a VM without a document reads the store before it knows who the delegates are.
    bool read_at_start{false};
    /// Over 10 times the round trip between regions.
    duration pull_timeout{std::chrono::milliseconds{300}};
    /// Least time between two pulls, and between a new document and the next watch. Edits in quick
    /// succession arrive together then; each document takes a small VM tens of milliseconds.
    duration pull_pause{std::chrono::milliseconds{250}};
    duration watch_pause{std::chrono::milliseconds{250}};
};

/// @brief This VM's copy of the configuration document; its revision never goes back.
///
/// Two delegates per failure domain watch the store. A delegate announces each new revision to
/// the VMs of its failure domain and to the delegates of the others; who is behind pulls.
class configuration_replica {
  public:
    configuration_replica(configuration_replica_settings settings, id_sequence<request_id>& ids,
                          random_engine& random);

    /// @brief Takes the membership view after each change of it, and once at start.
    void on_membership(time_point now, std::span<const vm_entry> live, actions& out);

    /// @brief Takes a store answer.
    /// @return whether the answer belongs to this part
    bool on_store(time_point now, const store_answer& answer, actions& out);

    void on_announce(time_point now, const vm_id& from, const configuration_announce& announced,
                     actions& out);
    void on_pull(const vm_id& from, const configuration_pull& pull, actions& out);
    void on_difference(time_point now, const vm_id& from, const configuration_difference& sent,
                       actions& out);

    /// @brief Takes a revision heard in a membership probe; repairs a missed announcement.
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
    void send(const vm_id& to, peer_message message, actions& out) const;
    void watch(time_point now, actions& out);
    void watch_failed(time_point now);
    void take_stored(time_point now, const store_answer& answer, actions& out);
    bool adopt(configuration_document document, const vm_id& source, actions& out);
    bool adopt_edits(const configuration_difference& sent, const vm_id& source, actions& out);
    void announce(const vm_id& source, actions& out);
    [[nodiscard]] bool watches() const noexcept;
    [[nodiscard]] bool behind() const noexcept;
    void want(time_point now, revision wanted, const vm_id& source, actions& out);
    void pull_from(time_point now, const vm_id& source, actions& out);
    void pull_next(time_point now, actions& out);
    [[nodiscard]] std::vector<vm_id> untried_sources() const;
    [[nodiscard]] duration jittered(duration longest);

    configuration_replica_settings settings_;
    id_sequence<request_id>& ids_;
    random_engine& random_;
    std::vector<vm_entry> live_;
    std::shared_ptr<const configuration_document> document_;
    bool is_delegate_{false};

    request_id watch_id_;
    bool watch_pending_{false};
    std::uint64_t store_version_{0};
    time_point watch_sent_{};
    time_point watch_at_{};
    duration watch_back_off_;

    revision wanted_; ///< Highest revision heard of.
    vm_id source_;    ///< VM that a pull waits for; empty without one.
    std::set<vm_id> tried_;
    bool whole_document_{false}; ///< The next pull asks for the document, not for edits.
    vm_id announcer_;            ///< VM that last named a newer revision.
    time_point next_pull_{};     ///< Earliest time of the next pull.
    time_point pull_at_{};       ///< Timeout of the pull, or start of the next one.
    duration pull_back_off_;
};

} // namespace jackdawvane
