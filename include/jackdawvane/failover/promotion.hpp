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
    duration accept{std::chrono::milliseconds{300}};  ///< Until a majority has accepted the term.
    duration promote{std::chrono::milliseconds{300}}; ///< Until the chosen server has answered.
    /// Additional wait for acceptances after the majority: a backend server in another region needs
    /// about 40 ms to connect and answer, and may hold entries that the others lack.
    duration grace{std::chrono::milliseconds{50}};
};

/// @brief Backend server that takes part in a promotion.
struct promotion_server {
    backend_server_id backend;
    jackdawvane::endpoint endpoint;
};

/// @brief Proposal of a term for a group by a candidate.
struct promotion_proposal {
    group_id group;
    term proposed; ///< Lowest term to propose; raised when a server has already accepted it.
    std::size_t group_size; ///< Backend servers of the group, including those not asked.
    vm_id candidate;        ///< Unique per promotion; two with one name could both win one term.
};

/// @brief One attempt to make a backend server the primary of a new term.
///
/// First requests the status of every backend server. Without a majority of answers nothing is
/// changed, so that a candidate in a minority partition does not raise the terms of the backend
/// servers on its side, which would force a failover when the partition heals. Then requests
/// acceptance of a term above all observed ones and, with a majority, promotes the accepting
/// backend server with the highest (last entry term, position). At most one backend server is asked
/// to promote, even when its answer is lost: a second one would give the term two primaries.
class promotion {
  public:
    enum class progress {
        running,
        won,
        superseded, ///< There is a primary or a later term, or another candidate is ahead.
        failed,     ///< No majority or no answer.
    };

    /// @param servers backend servers to ask; of equal logs the first listed wins. Leaving some
    ///        of the group out is safe, because a majority of the whole group has to accept.
    promotion(promotion_proposal proposal, std::vector<promotion_server> servers,
              node_id_sequences ids, promotion_limits limits = {});

    void start(time_point now, actions& out);
    /// @return whether the connection belongs to this promotion
    bool on_connected(time_point now, connection_id connection, actions& out);
    bool on_disconnected(time_point now, connection_id connection, const std::string& reason,
                         actions& out);
    bool on_answer(time_point now, connection_id connection, const backend_answer& answer,
                   actions& out);
    void tick(time_point now, actions& out);
    /// @brief Closes all connections and ends the promotion.
    void stop(actions& out);

    [[nodiscard]] time_point next_deadline() const;
    [[nodiscard]] progress state() const noexcept { return state_; }
    [[nodiscard]] const promotion_proposal& proposal() const noexcept { return proposal_; }
    /// @brief Backend server that was asked to promote; empty before.
    [[nodiscard]] const backend_server_id& chosen() const noexcept { return chosen_; }
    /// @brief Primary that answered and makes the promotion unnecessary; empty for none.
    [[nodiscard]] const backend_server_id& found_primary() const noexcept { return found_primary_; }
    /// @brief Term of that primary.
    [[nodiscard]] term found_term() const noexcept { return found_term_; }
    /// @brief Highest term in any answer.
    [[nodiscard]] term highest_seen() const noexcept { return highest_seen_; }

  private:
    struct participant {
        backend_call call;
        bool accept_requested{false}; ///< The status is requested first.
        std::optional<backend_status> accepted;
        bool refused{false};
    };

    void handle_answer(time_point now, participant& server, actions& out);
    void handle_status_answer(time_point now, participant& server, actions& out);
    void ask_to_accept(time_point now, participant& server, actions& out);
    void evaluate(time_point now, actions& out);
    void evaluate_status_answers(time_point now, actions& out);
    void evaluate_acceptances(time_point now, actions& out);
    void evaluate_promotion(const backend_call& call, actions& out);
    void promote_best(time_point now, actions& out);
    void finish(progress end, const std::string& reason, actions& out);
    [[nodiscard]] std::size_t majority() const noexcept { return proposal_.group_size / 2 + 1; }
    [[nodiscard]] bool asked_to_promote() const noexcept { return !chosen_.empty(); }

    promotion_proposal proposal_;
    node_id_sequences ids_;
    promotion_limits limits_;
    std::vector<participant> servers_;
    progress state_{progress::running};
    bool accepting_{false};
    backend_server_id chosen_;
    backend_server_id found_primary_;
    term found_term_;
    term highest_seen_;
    time_point accept_deadline_{no_deadline};
};

} // namespace jackdawvane
