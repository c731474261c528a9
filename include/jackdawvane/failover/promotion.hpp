#pragma once

#include "jackdawvane/backends/backend_call.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/ports.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Time limits of a promotion.
struct promotion_limits {
    duration accept{std::chrono::milliseconds{300}};  ///< Until a majority accepted the term.
    duration promote{std::chrono::milliseconds{300}}; ///< Until the chosen one answered.
    /// Wait for more acceptances after the majority: a backend server in another region needs
    /// about 40 ms to connect and answer, and may hold entries that the others lack.
    duration grace{std::chrono::milliseconds{50}};
};

/// @brief Backend server that takes part in a promotion.
struct promotion_member {
    backend_server_id backend;
    jackdawvane::endpoint endpoint;
};

/// @brief Who proposes which term for which group.
struct promotion_proposal {
    group_id group;
    term proposed; ///< Lowest term to propose; raised when a member has accepted it already.
    std::size_t group_size; ///< Backend servers of the group, also those that are left out.
    vm_id candidate;        ///< Unique per promotion; two with one name could both win one term.
};

/// @brief One attempt to make a backend server the primary of a new term.
///
/// First asks every member for its status: without a majority nothing is changed, so that a
/// candidate that is cut off does not raise the terms of the backend servers on its side, which
/// would force a failover when the cut heals. Then asks for acceptance of a term above all seen
/// ones and, with a majority, promotes the accepting member with the highest (last entry term,
/// position). At most one member is asked to promote, also when its answer is lost: a second one
/// in the same term would make two primaries.
class promotion {
  public:
    enum class progress {
        running,
        won,
        superseded, ///< There is a primary or a later term, or another candidate is ahead.
        failed,     ///< No majority or no answer.
    };

    /// @param members backend servers to ask; of equal logs the first listed wins. Leaving some
    ///        of the group out is safe, because a majority of the whole group has to accept.
    promotion(promotion_proposal proposal, std::vector<promotion_member> members, node_ids ids,
              promotion_limits limits = {});

    void start(time_point now, actions& out);
    /// @return whether the connection belongs to this promotion
    bool on_connected(time_point now, connection_id connection, actions& out);
    bool on_disconnected(time_point now, connection_id connection, const std::string& reason,
                         actions& out);
    bool on_answer(time_point now, connection_id connection, const backend_answer& answer,
                   actions& out);
    void tick(time_point now, actions& out);
    /// @brief Closes all connections; the attempt is over.
    void stop(actions& out);

    [[nodiscard]] time_point next_deadline() const;
    [[nodiscard]] progress state() const noexcept { return state_; }
    [[nodiscard]] const promotion_proposal& proposal() const noexcept { return proposal_; }
    /// @brief Backend server that was asked to promote; empty before.
    [[nodiscard]] const backend_server_id& chosen() const noexcept { return chosen_; }
    /// @brief Primary that answered and makes the promotion needless; empty for none.
    [[nodiscard]] const backend_server_id& found_primary() const noexcept { return found_primary_; }
    /// @brief Term in which that primary acts.
    [[nodiscard]] term found_term() const noexcept { return found_term_; }
    /// @brief Highest term in any answer.
    [[nodiscard]] term highest_seen() const noexcept { return highest_seen_; }

  private:
    struct attempt {
        backend_call call;
        bool asked{false}; ///< To accept the term; before that it is asked for its status.
        std::optional<backend_status> accepted;
        bool refused{false};
    };

    void take_answer(time_point now, attempt& member, actions& out);
    void take_survey(time_point now, attempt& member, actions& out);
    void ask_to_accept(time_point now, attempt& member, actions& out);
    void review(time_point now, actions& out);
    void review_survey(time_point now, actions& out);
    void review_acceptances(time_point now, actions& out);
    void review_promotion(const backend_call& call, actions& out);
    void promote_best(time_point now, actions& out);
    void finish(progress end, const std::string& reason, actions& out);
    [[nodiscard]] std::size_t majority() const noexcept { return proposal_.group_size / 2 + 1; }
    [[nodiscard]] bool asked_to_promote() const noexcept { return !chosen_.empty(); }

    promotion_proposal proposal_;
    node_ids ids_;
    promotion_limits limits_;
    std::vector<attempt> members_;
    progress state_{progress::running};
    bool accepting_{false};
    backend_server_id chosen_;
    backend_server_id found_primary_;
    term found_term_;
    term highest_seen_;
    time_point accept_until_{no_deadline};
};

} // namespace jackdawvane
