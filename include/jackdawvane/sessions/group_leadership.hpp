#pragma once

#include "jackdawvane/sessions/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jackdawvane {

/// @brief Times of the proof that a primary has not been replaced.
struct leadership_settings {
    /// A replica that is not held for a newer term proves that the primary is not replaced before
    /// this much time after it was asked. The holder of the promotion duty waits that long.
    duration proof_validity{std::chrono::milliseconds{800}};
    /// Positions of the primary are kept this long; longer than any usual staleness bound.
    duration history{std::chrono::seconds{4}};
    /// A replica that is free this long after a hold shows that the promotion was given up;
    /// replicas stay held during one.
    duration reopen_after{std::chrono::seconds{1}};
    /// Least distance of two kept positions.
    duration sample_distance{std::chrono::milliseconds{40}};
};

/// @brief What this VM can prove about the primary of one group.
///
/// All times are those of this VM's clock from before the question was sent, so evidence is never
/// taken for younger than it is. Before a promotion takes effect, every replica that could prove
/// the old primary is held for the new term, or the old primary cannot serve any more.
class group_leadership {
  public:
    explicit group_leadership(leadership_settings settings = {}) : settings_{settings} {}

    /// @brief Backend servers of the group that are registered.
    void set_members(std::set<backend_server_id> members);

    /// @brief Takes a status of @a member that was asked for at @a asked.
    void on_status(time_point now, time_point asked, const backend_server_id& member,
                   const member_status& status);
    /// @brief Nothing listens at the address of @a member; found out by a try at @a asked.
    void on_refused(time_point asked, const backend_server_id& member);
    /// @brief An answer of @a member to a statement that was sent at @a asked.
    void on_position(time_point asked, const backend_server_id& member, const log_point& position);
    /// @brief All replicas were held for a term after @a closed at @a since or before.
    void on_hold(time_point since, term closed);

    /// @brief The primary, whether it may be used now or not.
    [[nodiscard]] const std::optional<backend_server_id>& primary() const noexcept {
        return primary_;
    }
    [[nodiscard]] jackdawvane::term term() const noexcept { return term_; }
    /// @brief Highest term that any member knows or is held for.
    [[nodiscard]] jackdawvane::term highest_term() const noexcept { return highest_; }

    /// @brief Whether no newer primary can have acknowledged a commit before @a now.
    [[nodiscard]] bool confirmed(time_point now) const noexcept;
    /// @brief Time at which the present proof was asked for.
    [[nodiscard]] time_point confirmed_at() const noexcept { return confirmed_at_; }
    /// @brief When the primary last answered, by the time of the question.
    [[nodiscard]] time_point primary_seen() const noexcept { return primary_seen_; }

    /// @brief Point that includes every commit that was acknowledged before @a when.
    /// @return nothing when that is not known
    [[nodiscard]] std::optional<log_point> point_since(time_point when) const noexcept;
    /// @brief Newest known point of the primary.
    [[nodiscard]] std::optional<log_point> newest_point() const noexcept;

    /// @brief Newest point that @a member is known to have received.
    [[nodiscard]] std::optional<log_point> received(const backend_server_id& member) const;

    /// @brief Whether the primary has said that it is a replica now.
    [[nodiscard]] bool stepped_down() const noexcept { return stepped_down_; }

    /// @brief Whether a promotion has ended the present term.
    [[nodiscard]] bool closed() const noexcept;

  private:
    struct evidence {
        time_point asked{};
        bool free{false}; ///< Answered, and is not held for a newer term.
        bool held{false};
        bool refused{false};
    };
    struct sample {
        time_point asked;
        log_point point;
    };

    void new_term(time_point now, jackdawvane::term newer, const backend_server_id& primary);
    void update_proof();
    void add_sample(time_point asked, const log_point& position);

    leadership_settings settings_;
    std::set<backend_server_id> members_;
    std::optional<backend_server_id> primary_;
    jackdawvane::term term_;
    jackdawvane::term highest_;
    std::map<backend_server_id, evidence> evidence_;
    time_point confirmed_at_{time_point::min()};
    time_point usable_from_{};
    time_point primary_seen_{time_point::min()};
    time_point closed_since_{time_point::max()};
    jackdawvane::term closed_term_; ///< Ended by a hold, as this and all lower ones.
    bool stepped_down_{false};
    std::deque<sample> samples_;
    std::map<backend_server_id, log_point> received_;
};

} // namespace jackdawvane
