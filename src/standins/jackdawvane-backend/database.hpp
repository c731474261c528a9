#pragma once

#include "jackdawvane/node/backend.hpp"

#include <functional>
#include <string>

#include "standins/jackdawvane-backend/replicated_log.hpp"
#include "standins/jackdawvane-backend/state_machine.hpp"

namespace jackdawvane::standin {

/// @brief Request of a replica for the entries past position `after`.
struct log_request {
    jackdawvane::term term; ///< Accepted term of the replica.
    log_position after;
    jackdawvane::term last_term; ///< Term of the replica's entry at `after`.
    duration lag{0};             ///< Minimum age of the entries that are sent.
    duration wait{0};            ///< Maximum time to wait for entries (long poll).

    static constexpr auto fields() {
        return std::tuple{field("term", &log_request::term), field("after", &log_request::after),
                          field("last_term", &log_request::last_term),
                          field("lag_us", &log_request::lag), field("wait_us", &log_request::wait)};
    }
};

/// @brief Answer of a primary to a log request.
struct log_answer {
    jackdawvane::term term; ///< Term of the primary; 0 when the server is not primary.
    bool matches{false};    ///< The replica's log is a prefix of the primary's.
    std::vector<term_start> history;
    log_position last;
    std::vector<log_entry> entries;

    static constexpr auto fields() {
        return std::tuple{field("term", &log_answer::term), field("matches", &log_answer::matches),
                          field("history", &log_answer::history), field("last", &log_answer::last),
                          field("entries", &log_answer::entries)};
    }
};

/// @brief Open multi-statement transaction of a connection.
struct open_transaction {
    backend_request begin;
    transaction_view view;
    Json::Value statements{Json::arrayValue};
    Json::Value results{Json::arrayValue};
};

/// @brief Terms, log, role and data of one backend server. No I/O; each call is atomic.
class database {
  public:
    /// @brief Called for each durable change: accepted term, appended entry, truncation.
    using change_recorder = std::function<void(const Json::Value&)>;

    /// @param self address at which replicas reach this server
    explicit database(endpoint self) : self_{std::move(self)} {}

    void set_journal(change_recorder journal) { journal_ = std::move(journal); }
    /// @brief Applies a change that was recorded in the journal.
    void replay(const Json::Value& change);

    [[nodiscard]] backend_status status() const;
    [[nodiscard]] const replicated_log& log() const noexcept { return log_; }
    [[nodiscard]] backend_role role() const noexcept { return role_; }
    [[nodiscard]] term accepted_term() const noexcept { return accepted_; }
    /// @brief Primary to replicate from; empty when there is none.
    [[nodiscard]] const endpoint& source() const noexcept { return source_; }
    /// @brief Number of executed transactions, reads included.
    [[nodiscard]] std::uint64_t executed() const noexcept { return executed_; }

    /// @brief Executes a single-request transaction.
    void execute(const backend_request& request, backend_answer& answer);
    /// @brief Checks whether a transaction may begin; sets the problem of @a answer if not.
    void begin(const backend_request& request, backend_answer& answer) const;
    /// @brief Runs statements inside @a transaction.
    void run(const backend_request& request, open_transaction& transaction,
             backend_answer& answer) const;
    /// @brief Commits @a transaction; a write appends a log entry.
    void commit(const backend_request& request, const open_transaction& transaction,
                backend_answer& answer);
    void accept_term(const backend_request& request, backend_answer& answer);
    void promote(const backend_request& request, backend_answer& answer);
    void follow(const backend_request& request, backend_answer& answer);

    /// @brief Answers a replica; a higher term in the request ends this server's primary role.
    /// @param now current time; entries younger than the requested lag are withheld
    [[nodiscard]] log_answer serve_log(const log_request& request, steady_clock::time_point now);
    /// @brief Applies a primary's answer: appends entries, or truncates where the logs diverge.
    /// @return whether the log changed
    bool replicate(const log_request& request, const log_answer& answer);

  private:
    [[nodiscard]] bool is_fenced(const backend_request& request, backend_answer& answer) const;
    [[nodiscard]] bool is_repeat(const request_name& name, const std::string& fingerprint,
                                 backend_answer& answer) const;
    void append(log_entry entry);
    void truncate(log_position position);
    void adopt_term(term higher, vm_id candidate);
    void record(const char* change, Json::Value value) const;
    void record_term() const;
    static void reject(backend_answer& answer, std::string reason);

    endpoint self_;
    change_recorder journal_;
    replicated_log log_;
    state_machine state_;
    backend_role role_{backend_role::replica};
    term accepted_;
    vm_id candidate_; ///< Candidate for which the term was accepted.
    endpoint source_;
    std::uint64_t executed_{0};
};

} // namespace jackdawvane::standin
