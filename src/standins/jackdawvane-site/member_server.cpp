#include "standins/jackdawvane-site/member_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "standins/jackdawvane-site/byte_text.hpp"
#include <boost/asio/read_until.hpp>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t max_line_bytes = std::size_t{1024} * 1024;
/// An unresponsive server closes a connection this long after a line arrives on it.
constexpr milliseconds unresponsive_close_delay{3000};

std::string take_word(std::string_view& text) {
    const auto end = std::min(text.find(' '), text.size());
    std::string word{text.substr(0, end)};
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

std::pair<std::uint64_t, std::uint64_t> parse_position(const std::string& text) {
    std::pair<std::uint64_t, std::uint64_t> position{0, 0};
    const auto dot = std::min(text.find('.'), text.size());
    std::from_chars(text.data(), text.data() + dot, position.first);
    if (dot < text.size()) {
        std::from_chars(text.data() + dot + 1, text.data() + text.size(), position.second);
    }
    return position;
}

bool is_caller(const std::string& id) {
    return id != "-";
}

/// Whether a proxy has a reason to issue the statement itself.
bool is_own_command(const std::string& verb) {
    constexpr std::array<std::string_view, 4> callers_verbs{"READ", "WRITE", "EXECUTE", "COMMIT"};
    return std::find(callers_verbs.begin(), callers_verbs.end(), verb) == callers_verbs.end();
}

double seconds_now() {
    return std::chrono::duration<double>(steady_clock::now().time_since_epoch()).count();
}

} // namespace

member_server::member_server(asio::io_context& io, session_group& group, std::size_t index,
                             const endpoint& listen, const member_limits& limits, recorder record)
    : io_{io}, group_{group}, index_{index}, listen_{asio::ip::make_address(listen.address),
                                                     listen.port},
      limits_{limits}, record_{std::move(record)}, acceptor_{io}, slots_{io, limits.slots},
      random_{static_cast<std::mt19937::result_type>(index)} {
    open();
}

void member_server::open() {
    acceptor_ = tcp::acceptor{io_, listen_, true};
    asio::co_spawn(io_, accept(), asio::detached);
}

void member_server::close() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& client : sessions_) {
        client->socket.close(ignored);
    }
}

void member_server::silence() {
    for (const auto& client : sessions_) {
        client->silent = true;
    }
}

awaitable<void> member_server::accept() {
    for (;;) {
        auto client = std::make_shared<session>(io_, ++last_session_);
        error_code failed;
        co_await acceptor_.async_accept(client->socket, returning(failed));
        if (!acceptor_.is_open()) {
            co_return;
        }
        if (!failed) {
            client->incarnation = member().incarnation;
            client->peer = client->socket.remote_endpoint(failed).address().to_string();
            asio::co_spawn(io_, serve(std::move(client)), asio::detached);
        }
    }
}

bool member_server::usable(const session& client) const {
    return client.incarnation == member().incarnation && member().running() && !client.silent;
}

awaitable<void> member_server::serve(session_ptr client) {
    sessions_.insert(client);
    ++member().connections;
    std::string buffer;
    bool started = false;
    for (bool open = true; open;) {
        error_code failed;
        const auto size = co_await asio::async_read_until(
            client->socket, asio::dynamic_buffer(buffer, max_line_bytes), "\r\n",
            returning(failed));
        if (failed) {
            break;
        }
        auto line = buffer.substr(0, size - 2);
        buffer.erase(0, size);
        if (!usable(*client)) {
            co_await sleep_for(unresponsive_close_delay);
            break;
        }
        open = started ? co_await handle_statement(client, std::move(line))
                       : co_await handle_startup(client, std::move(line));
        started = true;
    }
    error_code ignored;
    client->socket.close(ignored);
    --member().connections;
    sessions_.erase(client);
}

awaitable<bool> member_server::occupy_slot(session_ptr client, milliseconds time) {
    co_await slots_.acquire();
    ++member().busy;
    co_await sleep_for(time);
    --member().busy;
    slots_.release();
    co_return usable(*client);
}

awaitable<bool> member_server::send(session_ptr client, std::string text) {
    error_code failed;
    co_await client->writing.acquire();
    co_await asio::async_write(client->socket, asio::buffer(text), returning(failed));
    client->writing.release();
    co_return !failed;
}

bool member_server::happens(double share) {
    return std::uniform_real_distribution<>{}(random_) < share;
}

/// @return beginning of @a text, which ends after a line or within one
std::string member_server::cut_off(const std::string& text) {
    std::uniform_int_distribution<std::size_t> any{1, text.size() - 3};
    auto size = any(random_);
    if (happens(0.5)) {
        const auto line_end = text.rfind("\r\n", size);
        size = line_end == std::string::npos ? size : line_end + 2;
    }
    return text.substr(0, size);
}

awaitable<void> member_server::send_again(session_ptr client, std::string text) {
    const auto repeated = member().repeated;
    std::uniform_int_distribution<std::int64_t> delay{
        1, std::max<std::int64_t>(1, repeated.max_delay.count())};
    co_await sleep_for(milliseconds{delay(random_)});
    if (!usable(*client) || !client->socket.is_open()) {
        co_return;
    }
    const bool cut = happens(repeated.cut_share);
    const bool closes = cut && happens(0.5);
    if (cut) {
        text = cut_off(text);
    }
    // What follows on the connection starts on a new line.
    if (!closes && !text.ends_with("\r\n")) {
        text += "\r\n";
    }
    co_await send(client, std::move(text));
    if (closes) {
        error_code ignored;
        client->socket.close(ignored);
    }
}

awaitable<bool> member_server::handle_startup(session_ptr client, std::string line) {
    std::string_view rest{line};
    const auto word = take_word(rest);
    const auto service = take_word(rest);
    client->organisation = take_word(rest);
    const auto expected = take_word(rest);
    const bool misrouted =
        service != group_.name() || (!expected.empty() && expected != member().id);
    if (word != "STARTUP" || misrouted) {
        co_await send(client, "ERROR MISROUTED " + member().id + "\r\n");
        co_return false;
    }
    if (member().connections > limits_.connections) {
        co_await send(client, "ERROR TOOMANY no connection left\r\n");
        co_return false;
    }
    if (!co_await occupy_slot(client, limits_.connect_duration)) {
        co_return false;
    }
    co_return co_await send(client, "READY I " + member().position() + "\r\n");
}

member_server::query member_server::parse(std::string_view line) {
    query request;
    const auto word = take_word(line);
    request.id = take_word(line);
    request.verb = word == "QUERY" ? take_word(line) : word;
    if (request.verb == "AFTER") {
        request.after = take_word(line);
        request.verb = take_word(line);
    }
    request.rest = line;
    return request;
}

awaitable<bool> member_server::handle_statement(session_ptr client, std::string line) {
    const auto request = parse(line);
    if (request.verb == "TERMINATE") {
        co_return false;
    }
    constexpr std::array<std::string_view, 6> slot_verbs{"READ",   "WRITE",  "EXECUTE",
                                                         "COMMIT", "STATUS", "BEGIN"};
    const bool uses_slot =
        std::find(slot_verbs.begin(), slot_verbs.end(), request.verb) != slot_verbs.end();
    // BEGIN and STATUS occupy a slot for 1 ms only.
    const auto time = request.verb == "STATUS" || request.verb == "BEGIN"
                          ? milliseconds{1}
                          : limits_.statement_duration + member().extra_work;
    if (uses_slot && !co_await occupy_slot(client, time)) {
        co_return false;
    }
    const auto result = execute(*client, request);
    if (uses_slot && is_caller(request.id) && member().lose_answers > 0) {
        --member().lose_answers;
        co_return false;
    }
    std::string text;
    for (const auto& row : result.rows) {
        text += "ROW " + row + "\r\n";
    }
    text += result.error.empty() ? "COMPLETE " + result.signature
                                 : "ERROR " + result.error + " " + member().id;
    text += std::string{"\r\nREADY "} + client->state + " " + member().position() + "\r\n";
    const bool twice = happens(member().repeated.share);
    const bool sent = co_await send(client, text);
    if (sent && twice) {
        asio::co_spawn(io_, send_again(client, std::move(text)), asio::detached);
    }
    co_return sent;
}

/// @return error code that refuses the statement, or an empty string
std::string member_server::refusal(const session& client, const query& request) const {
    const auto [required_term, number] = parse_position(request.after);
    if (!request.after.empty() && !member().has_reached(required_term, number)) {
        return "LAGGING";
    }
    const bool in_transaction = client.state == 'T' && !client.read_only;
    const bool empty_commit = request.verb == "COMMIT" && client.writes.empty();
    if (in_transaction && !member().primary && request.verb != "ROLLBACK" && !empty_commit) {
        return "READONLY";
    }
    if (client.state == 'E' && request.verb != "ROLLBACK" && request.verb != "COMMIT") {
        return "MALFORMED";
    }
    return {};
}

member_server::answer member_server::execute(session& client, const query& request) {
    constexpr std::array<std::pair<std::string_view, handler>, 14> handlers{
        {{"BEGIN", &member_server::begin},
         {"COMMIT", &member_server::commit},
         {"ROLLBACK", &member_server::roll_back},
         {"READ", &member_server::read},
         {"WRITE", &member_server::write},
         {"EXECUTE", &member_server::run_prepared},
         {"SET", &member_server::set},
         {"PREPARE", &member_server::prepare},
         {"DEALLOCATE", &member_server::deallocate},
         {"RESET", &member_server::reset},
         {"STATUS", &member_server::status},
         {"PAUSE", &member_server::control},
         {"RESUME", &member_server::control},
         {"STEPDOWN", &member_server::control}}};
    const auto* const found = std::find_if(handlers.begin(), handlers.end(), [&](const auto& each) {
        return each.first == request.verb;
    });
    answer result;
    const auto state_before = client.state;
    const auto transaction = client.transaction;
    std::string shape;
    const bool fails = member().fail_share > 0 && request.verb != "COMMIT" &&
                       !is_own_command(request.verb) && happens(member().fail_share);
    if (found == handlers.end()) {
        result.error = "MALFORMED";
    } else if (fails) {
        result.error = "FAILED";
    } else if (auto refused = refusal(client, request); !refused.empty()) {
        result.error = std::move(refused);
    } else {
        if (request.verb == "EXECUTE") {
            std::string_view rest{request.rest};
            const auto named = client.statements.find(take_word(rest));
            shape = named == client.statements.end() ? "" : named->second.shape;
        }
        result = (this->*found->second)(client, request);
    }
    if (!result.error.empty() && client.state == 'T') {
        client.state = 'E';
    }
    if (is_caller(request.id) || !is_own_command(request.verb)) {
        record_statement(client, request, result, state_before, transaction, shape);
    }
    return result;
}

member_server::answer member_server::begin(session& client, const query& request) {
    client.read_only = request.rest == "READ";
    if (!client.read_only && !member().primary) {
        return {{}, "-", "READONLY"};
    }
    client.state = 'T';
    client.transaction = ++last_transaction_;
    client.writes.clear();
    return {};
}

member_server::answer member_server::commit(session& client, const query& /*wanted*/) {
    const bool failed = client.state == 'E';
    const bool writes = client.state == 'T' && !client.writes.empty();
    answer result;
    if (failed) {
        result.error = "ABORTED";
    } else {
        if (writes) {
            group_.commit(member(), std::move(client.writes), steady_clock::now());
        }
        result.signature = next_signature();
    }
    client.writes.clear();
    client.state = 'I';
    client.transaction = 0;
    return result;
}

member_server::answer member_server::roll_back(session& client, const query& /*wanted*/) {
    client.writes.clear();
    client.state = 'I';
    client.transaction = 0;
    return {};
}

std::string member_server::next_signature() {
    return member().id + "." + std::to_string(member().incarnation) + "." +
           std::to_string(++last_signature_);
}

member_server::answer member_server::read(session& client, const query& request) {
    return read_item(client, request.rest);
}

member_server::answer member_server::read_item(const session& client, const std::string& item) {
    answer result;
    const auto stored = member().data.find(item);
    std::string value = stored == member().data.end() ? "none" : stored->second;
    for (const auto& write : client.writes) {
        value = write.item == item ? write.data : value;
    }
    result.rows = {std::move(value)};
    result.signature = next_signature();
    return result;
}

member_server::answer member_server::write(session& client, const query& request) {
    return write_item(client, request, request.rest);
}

member_server::answer member_server::write_item(session& client, const query& request,
                                                const std::string& item_and_data) {
    std::string_view rest{item_and_data};
    const auto item = take_word(rest);
    if (!member().primary) {
        return {{}, "-", "READONLY"};
    }
    row_write change{request.id, item, std::string{rest}};
    if (client.state == 'T') {
        client.writes.push_back(std::move(change));
    } else {
        group_.commit(member(), {std::move(change)}, steady_clock::now());
    }
    answer result;
    result.signature = next_signature();
    return result;
}

member_server::answer member_server::run_prepared(session& client, const query& request) {
    std::string_view rest{request.rest};
    const auto found = client.statements.find(take_word(rest));
    if (found == client.statements.end()) {
        return {{}, "-", "NOSTMT"};
    }
    const std::string arguments{rest};
    return found->second.writes ? write_item(client, request, arguments)
                                : read_item(client, arguments);
}

member_server::answer member_server::set(session& client, const query& request) {
    std::string_view rest{request.rest};
    const auto name = take_word(rest);
    client.values[name] = rest;
    return {};
}

member_server::answer member_server::prepare(session& client, const query& request) {
    std::string_view rest{request.rest};
    const auto name = take_word(rest);
    const bool writes = take_word(rest) == "WRITE";
    client.statements[name] = {writes, std::string{rest}};
    return {};
}

member_server::answer member_server::deallocate(session& client, const query& request) {
    client.statements.erase(request.rest);
    return {};
}

member_server::answer member_server::reset(session& client, const query& /*wanted*/) {
    client.values.clear();
    client.statements.clear();
    return {};
}

member_server::answer member_server::status(session& /*client*/, const query& /*wanted*/) {
    const auto& self = member();
    answer result;
    result.rows = {std::string{self.primary ? "primary" : "replica"} + " " +
                   std::to_string(self.term) + " " + self.position() + " " +
                   std::to_string(self.held_term) + " " + std::to_string(self.lag.count()) + " " +
                   std::to_string(self.busy) + " " + std::to_string(self.connections)};
    return result;
}

member_server::answer member_server::control(session& client, const query& request) {
    std::uint64_t term{0};
    std::from_chars(request.rest.data(), request.rest.data() + request.rest.size(), term);
    if (request.verb == "PAUSE") {
        group_.hold(member(), term);
    } else if (request.verb == "RESUME") {
        member().held_term = 0;
    } else {
        group_.step_down(member(), term);
    }
    return status(client, request);
}

void member_server::record_statement(const session& client, const query& request,
                                     const answer& result, char state_before,
                                     std::uint64_t transaction_before, const std::string& shape) {
    Json::Value run;
    run["at"] = seconds_now();
    run["group"] = group_.name();
    run["member"] = member().id;
    run["connection"] = Json::UInt64{client.number};
    run["organisation"] = client.organisation;
    run["from"] = client.peer;
    run["id"] = byte_text(request.id);
    run["text"] = byte_text(request.verb + (request.rest.empty() ? "" : " " + request.rest));
    run["state"] = std::string{state_before};
    // BEGIN belongs to the transaction that it opens.
    run["transaction"] =
        Json::UInt64{transaction_before == 0 ? client.transaction : transaction_before};
    run["primary"] = member().primary;
    run["position"] = member().position();
    run["error"] = result.error;
    run["signature"] = result.signature;
    run["shape"] = byte_text(shape);
    run["rows"] = Json::arrayValue;
    for (const auto& row : result.rows) {
        run["rows"].append(byte_text(row));
    }
    run["values"] = Json::objectValue;
    for (const auto& [name, value] : client.values) {
        run["values"][byte_text(name)] = byte_text(value);
    }
    record_(std::move(run));
}

} // namespace jackdawvane::standin
