#include "standins/jackdawvane-backend/backend_server.hpp"

#include <algorithm>
#include <iterator>

#include "standins/common/program.hpp"

namespace jackdawvane::standin {

namespace {

constexpr milliseconds max_wait{30'000};
constexpr milliseconds pull_wait{200};
// Longer than `pull_wait`, for which the primary may hold an answer, but short enough to detect an
// unresponsive primary soon.
constexpr milliseconds pull_timeout{600};
constexpr milliseconds pull_retry{20};

steady_clock::time_point wait_deadline(duration wait) {
    return steady_clock::now() + std::min<microseconds>(wait, max_wait);
}

error no_transaction() {
    return {error_kind::statement_failed, "this connection has no open transaction", {}};
}

} // namespace

backend_server::backend_server(asio::io_context& io, backend_settings settings)
    : io_{io}, settings_{std::move(settings)}, changed_{io},
      freeze_changed_{io}, slots_{io, settings_.slots}, lag_{milliseconds{settings_.lag_ms}},
      server_{io, settings_.listen,
              [this](connection_ptr connection, const http_request& request) {
                  return handle(std::move(connection), request);
              },
              [this](std::uint64_t connection) { sessions_.erase(connection); }},
      database_{std::make_unique<database>(settings_.advertised.value_or(server_.local()))} {
    open_journal();
    start_initial_term();
    asio::co_spawn(io_, replicate(), asio::detached);
}

void backend_server::open_journal() {
    if (settings_.data_file.empty()) {
        return;
    }
    std::ifstream recorded{settings_.data_file};
    for (std::string line; std::getline(recorded, line);) {
        // A process that was killed can leave an incomplete last line, which is skipped.
        if (const auto change = parse_json(line)) {
            database_->replay(change.value());
        }
    }
    journal_.open(settings_.data_file, std::ios::app);
    database_->set_journal(
        [this](const Json::Value& change) { journal_ << write_json(change) << std::endl; });
}

void backend_server::start_initial_term() {
    if (settings_.initial_term <= database_->accepted_term() || !settings_.initial_primary) {
        return;
    }
    backend_request request;
    backend_answer answer;
    request.expected_term = settings_.initial_term;
    request.candidate = vm_id{"initial"};
    request.primary = *settings_.initial_primary;
    database_->accept_term(request, answer);
    if (request.primary == settings_.advertised.value_or(server_.local())) {
        database_->promote(request, answer);
    } else {
        database_->follow(request, answer);
    }
}

backend_status backend_server::status() const {
    auto status = database_->status();
    status.connections = static_cast<std::uint32_t>(sessions_.size());
    return status;
}

awaitable<void> backend_server::wait_while_frozen() {
    while (steady_clock::now() < frozen_until_) {
        co_await freeze_changed_.wait_until(frozen_until_);
    }
}

void backend_server::record(const std::string& raw) {
    const auto space =
        settings_.record_bytes - std::min(settings_.record_bytes, std::uint64_t{recorded_.size()});
    recorded_.append(raw, 0, space);
}

awaitable<http_reply> backend_server::handle(connection_ptr connection,
                                             const http_request& request) {
    if (request.target == "/fault") {
        co_return fault(connection, request);
    }
    if (request.target.starts_with("/inspect")) {
        co_return inspect(request);
    }
    co_await wait_while_frozen();
    record(request.raw);
    if (request.target == "/connect") {
        co_return co_await connect(std::move(connection));
    }
    if (request.target == "/backend") {
        co_return co_await run_request(std::move(connection), request);
    }
    if (request.target == "/log") {
        co_return co_await serve_log(request);
    }
    co_return error_reply(404, "unknown path");
}

awaitable<http_reply> backend_server::connect(connection_ptr connection) {
    if (!sessions_.contains(connection->id) && sessions_.size() >= settings_.connection_limit) {
        ++refused_connections_;
        co_return error_reply(503, "the connection limit is reached");
    }
    // Counted before the delay, so that concurrent connects cannot exceed the limit.
    sessions_.try_emplace(connection->id, std::make_shared<client_session>());
    highest_connections_ = std::max<std::uint64_t>(highest_connections_, sessions_.size());
    co_await sleep_for(milliseconds{settings_.connect_ms});
    co_await wait_while_frozen();
    co_return json_reply(to_json(status()));
}

backend_server::operation backend_server::operation_of(backend_operation kind) {
    static const std::map<backend_operation, operation> table{
        {backend_operation::status, &backend_server::answer_status},
        {backend_operation::execute, &backend_server::execute},
        {backend_operation::begin, &backend_server::begin},
        {backend_operation::statements, &backend_server::statements},
        {backend_operation::commit, &backend_server::commit},
        {backend_operation::rollback, &backend_server::rollback},
        {backend_operation::accept_term, &backend_server::accept_term},
        {backend_operation::promote, &backend_server::promote},
        {backend_operation::follow, &backend_server::follow}};
    return table.at(kind);
}

awaitable<http_reply> backend_server::run_request(connection_ptr connection,
                                                  const http_request& request) {
    const auto found = sessions_.find(connection->id);
    if (found == sessions_.end()) {
        co_return error_reply(400, "this connection has no session; send POST /connect first");
    }
    const auto session = found->second;
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<backend_request>(json.value()) : json.error();
    if (!decoded) {
        co_return error_reply(400, decoded.error().message());
    }
    backend_answer answer;
    answer.id = decoded.value().id;
    answer.results = Json::arrayValue;
    co_await (this->*operation_of(decoded.value().operation))(session, decoded.value(), answer);
    if (answer_delay_.count() > 0) {
        co_await sleep_for(answer_delay_);
    }
    co_await wait_while_frozen();
    answer.status = status();
    auto text = write_json(to_json(answer));
    if (crossed_answers_left_ > 0 && !previous_answer_.empty()) {
        --crossed_answers_left_;
        std::swap(text, previous_answer_);
    } else {
        previous_answer_ = text;
    }
    co_return http_reply{200, std::move(text), false};
}

awaitable<void> backend_server::answer_status(session_ptr /*session*/,
                                              const backend_request& request,
                                              backend_answer& /*answer*/) {
    const auto deadline = wait_deadline(request.wait);
    const auto role = database_->role();
    const auto accepted = database_->accepted_term();
    while (database_->log().last() <= request.after && database_->role() == role &&
           database_->accepted_term() == accepted && steady_clock::now() < deadline) {
        co_await changed_.wait_until(deadline);
    }
}

awaitable<void> backend_server::simulate_service_time(const Json::Value& statements) {
    co_await slots_.acquire();
    co_await sleep_for(statements.size() * microseconds{settings_.service_us});
    co_await wait_while_frozen();
    slots_.release();
}

bool backend_server::is_interleaved(const client_session& session, backend_answer& answer) {
    if (!session.transaction) {
        return false;
    }
    ++interleavings_;
    answer.problem = {
        error_kind::statement_failed, "another transaction is open on this connection", {}};
    return true;
}

awaitable<void> backend_server::execute(session_ptr session, const backend_request& request,
                                        backend_answer& answer) {
    if (is_interleaved(*session, answer)) {
        co_return;
    }
    co_await simulate_service_time(request.statements);
    database_->execute(request, answer);
    if (answer.written != log_position{}) {
        changed_.notify();
    }
}

awaitable<void> backend_server::begin(session_ptr session, const backend_request& request,
                                      backend_answer& answer) {
    if (is_interleaved(*session, answer)) {
        co_return;
    }
    database_->begin(request, answer);
    if (answer.problem.kind == error_kind::none) {
        session->transaction.emplace().begin = request;
    }
}

bool backend_server::has_transaction(client_session& session, const backend_request& request,
                                     backend_answer& answer) {
    if (!session.transaction) {
        answer.problem = no_transaction();
        return false;
    }
    const auto& name = session.transaction->begin.name;
    if (!request.name.empty() && !name.empty() && request.name != name) {
        return !is_interleaved(session, answer);
    }
    return true;
}

awaitable<void> backend_server::statements(session_ptr session, const backend_request& request,
                                           backend_answer& answer) {
    if (!has_transaction(*session, request, answer)) {
        co_return;
    }
    co_await simulate_service_time(request.statements);
    database_->run(request, *session->transaction, answer);
    if (answer.problem.kind != error_kind::none) {
        session->transaction.reset();
    }
}

awaitable<void> backend_server::commit(session_ptr session, const backend_request& request,
                                       backend_answer& answer) {
    if (!has_transaction(*session, request, answer)) {
        co_return;
    }
    co_await simulate_service_time(Json::arrayValue);
    database_->commit(request, *session->transaction, answer);
    session->transaction.reset();
    changed_.notify();
}

awaitable<void> backend_server::rollback(session_ptr session, const backend_request& request,
                                         backend_answer& answer) {
    if (has_transaction(*session, request, answer)) {
        session->transaction.reset();
    }
    co_return;
}

awaitable<void> backend_server::accept_term(session_ptr /*session*/, const backend_request& request,
                                            backend_answer& answer) {
    database_->accept_term(request, answer);
    changed_.notify();
    co_return;
}

awaitable<void> backend_server::promote(session_ptr /*session*/, const backend_request& request,
                                        backend_answer& answer) {
    database_->promote(request, answer);
    changed_.notify();
    co_return;
}

awaitable<void> backend_server::follow(session_ptr /*session*/, const backend_request& request,
                                       backend_answer& answer) {
    const auto source = database_->source();
    database_->follow(request, answer);
    if (replication_ && database_->source() != source) {
        // A pull in flight to an unreachable primary would delay replication from the new primary
        // by up to `pull_timeout`.
        replication_->cancel();
    }
    changed_.notify();
    co_return;
}

awaitable<http_reply> backend_server::serve_log(const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<log_request>(json.value()) : json.error();
    if (!decoded) {
        co_return error_reply(400, decoded.error().message());
    }
    const auto& wanted = decoded.value();
    const auto deadline = wait_deadline(wanted.wait);
    const auto term_before = database_->accepted_term();
    for (;;) {
        co_await wait_while_frozen();
        const auto now = steady_clock::now();
        const auto answer = database_->serve_log(wanted, now);
        if (database_->accepted_term() != term_before) {
            changed_.notify();
        }
        if (!answer.matches || !answer.entries.empty() || now >= deadline) {
            co_return json_reply(to_json(answer));
        }
        auto wake = deadline;
        if (wanted.after < database_->log().last()) {
            const auto& next = database_->log().at(wanted.after.next());
            wake = std::min(wake, next.written_at + wanted.lag);
        }
        co_await changed_.wait_until(wake);
    }
}

awaitable<void> backend_server::pull(http_client& primary) {
    const auto& log = database_->log();
    const log_request request{database_->accepted_term(), log.last(), log.last_term(), lag_,
                              pull_wait};
    const auto json = co_await primary.post("/log", to_json(request), pull_timeout);
    co_await wait_while_frozen();
    const auto answer = from_json<log_answer>(json);
    if (!answer || answer.value().term == term{}) {
        co_await sleep_for(pull_retry);
        co_return;
    }
    if (database_->replicate(request, answer.value())) {
        changed_.notify();
    }
}

awaitable<void> backend_server::replicate() {
    for (;;) {
        co_await wait_while_frozen();
        const auto source = database_->source();
        if (source == endpoint{}) {
            replication_.reset();
            co_await changed_.wait_until(steady_clock::now() + pull_wait);
            continue;
        }
        if (!replication_ || replication_->remote() != source) {
            replication_.emplace(io_, source, settings_.listen.address);
        }
        co_await pull(*replication_);
    }
}

http_reply backend_server::fault(const connection_ptr& connection, const http_request& request) {
    const auto json = parse_json(request.body);
    const auto decoded = json ? from_json<backend_fault>(json.value()) : json.error();
    if (!decoded) {
        return error_reply(400, decoded.error().message());
    }
    const auto& fault = decoded.value();
    lag_ = fault.lag_ms ? milliseconds{*fault.lag_ms} : lag_;
    answer_delay_ = fault.delay_ms ? milliseconds{*fault.delay_ms} : answer_delay_;
    crossed_answers_left_ = fault.crossed > 0 ? fault.crossed : crossed_answers_left_;
    if (fault.freeze_ms) {
        frozen_until_ = steady_clock::now() + milliseconds{*fault.freeze_ms};
        freeze_changed_.notify();
    }
    if (fault.refuse_ms > 0) {
        server_.refuse_for(milliseconds{fault.refuse_ms});
    }
    if (fault.silence) {
        server_.silence(connection->id);
    }
    if (fault.stop) {
        io_.stop();
    }
    return json_reply(Json::objectValue);
}

Json::Value backend_server::log_json() const {
    Json::Value entries{Json::arrayValue};
    const auto& log = database_->log();
    for (auto position = log_position{1}; position <= log.last(); position = position.next()) {
        auto entry = to_json(log.at(position));
        entry["position"] = to_json(position);
        entries.append(std::move(entry));
    }
    return entries;
}

http_reply backend_server::inspect(const http_request& request) const {
    const auto& log = database_->log();
    std::map<request_name, std::uint64_t> runs;
    Json::UInt64 repeated{0};
    for (auto position = log_position{1}; position <= log.last(); position = position.next()) {
        const auto& name = log.at(position).name;
        repeated += !name.empty() && ++runs[name] == 2 ? 1U : 0U;
    }
    Json::Value json;
    json["id"] = to_json(settings_.id);
    json["status"] = to_json(status());
    json["highest_connections"] = Json::UInt64{highest_connections_};
    json["refused_connections"] = Json::UInt64{refused_connections_};
    json["executed"] = Json::UInt64{database_->executed()};
    json["interleavings"] = Json::UInt64{interleavings_};
    json["names_run_twice"] = repeated;
    json["entries"] = to_json(log.last());
    if (request.target.find("log") != std::string::npos) {
        json["log"] = log_json();
    }
    if (request.target.find("record") != std::string::npos) {
        json["recorded"] = recorded_;
    }
    return json_reply(json);
}

} // namespace jackdawvane::standin
