#include "standins/jackdawvane-site/store_api.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <openssl/evp.h>

namespace jackdawvane::standin {

namespace {

constexpr milliseconds max_watch_wait{30'000};
constexpr milliseconds lease_expiry_interval{50};
constexpr std::size_t page_size = 500; // items

std::string base64(const std::string& text) {
    std::string out((text.size() + 2) / 3 * 4, '\0');
    // EVP_EncodeBlock appends a NUL byte, for which std::string reserves space.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    return out;
}

std::string unescape(std::string_view text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned byte{0};
        if (text[at] == '%' && at + 2 < text.size()) {
            std::from_chars(text.data() + at + 1, text.data() + at + 3, byte, 16);
            out += static_cast<char>(byte);
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string_view text) {
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto pair = text.substr(0, end);
        const auto separator = std::min(pair.find('='), pair.size());
        fields[std::string{pair.substr(0, separator)}] =
            unescape(pair.substr(std::min(separator + 1, pair.size())));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return fields;
}

std::uint64_t number_field(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    std::uint64_t value{0};
    if (found != fields.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

std::string text_field(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

Json::Value encode(const std::string& key, const stored_item& item) {
    Json::Value json;
    json["key"] = key;
    json["value"] = item.value;
    json["revision"] = Json::UInt64{item.revision};
    json["created_revision"] = Json::UInt64{item.created_revision};
    json["lease"] = Json::UInt64{item.lease};
    return json;
}

store_transaction decode_transaction(const Json::Value& body) {
    store_transaction change;
    for (const auto& row : body["expected"]) {
        change.expected.emplace_back(row["key"].asString(), row["revision"].asUInt64());
    }
    for (const auto& row : body["writes"]) {
        change.writes.push_back(
            {row["key"].asString(), row["value"].asString(), row["lease"].asUInt64()});
    }
    for (const auto& row : body["remove"]) {
        change.removed.push_back(row.asString());
    }
    return change;
}

bool is_reserved(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

store_api::store_api(asio::io_context& io) : io_{io}, changed_{io} {
    asio::co_spawn(io_, expire_leases(), asio::detached);
}

awaitable<void> store_api::expire_leases() {
    for (;;) {
        co_await sleep_for(lease_expiry_interval);
        // Leases do not expire while the store is down.
        if (!down()) {
            const auto before = store_.revision();
            store_.expire(steady_clock::now());
            if (store_.revision() != before) {
                changed_.notify();
            }
        }
    }
}

http_reply store_api::outage() const {
    auto reply = error_reply(503, "the store is down");
    reply.dropped = silent_;
    return reply;
}

bool store_api::is_refused(const http_connection& connection) const {
    error_code failed;
    const auto remote = connection.socket.remote_endpoint(failed).address().to_string();
    return std::find(refused_.begin(), refused_.end(), remote) != refused_.end();
}

std::uint64_t store_api::era() const {
    return steady_clock::now() < restored_at_ ? era_ - 1 : era_;
}

awaitable<http_reply> store_api::handle(http_server::connection_ptr connection,
                                        const http_request& request) {
    auto reply = co_await answer(std::move(connection), request);
    reply.fields["Store-Era"] = std::to_string(era());
    co_return reply;
}

awaitable<http_reply> store_api::answer(http_server::connection_ptr connection,
                                        const http_request& request) {
    constexpr std::array<std::pair<std::string_view, handler>, 7> handlers{
        {{"/kv-key", &store_api::key},
         {"/kv-range", &store_api::range},
         {"/kv-watch", &store_api::watch},
         {"/kv-txn", &store_api::transact},
         {"/kv-lease-end", &store_api::revoke},
         {"/kv-lease", &store_api::grant},
         {"/kv-keep", &store_api::renew}}};
    const std::string_view target{request.target};
    const auto path = target.substr(0, target.find('?'));
    const auto* const found = std::find_if(handlers.begin(), handlers.end(), [&](const auto& each) {
        return path.starts_with(each.first);
    });
    if (found == handlers.end()) {
        co_return error_reply(404, "unknown path");
    }
    ++calls_[std::string{found->first}];
    co_await sleep_for(delay_);
    if (down() || is_refused(*connection)) {
        co_return outage();
    }
    auto fields = parse_query(target.substr(std::min(path.size() + 1, target.size())));
    fields["lease"] = std::string{path.substr(std::min(found->first.size() + 1, path.size()))};
    // g++ 12 miscompiles a conditional expression in an operand of co_await.
    const auto parsed = parse_json(request.body);
    Json::Value body;
    if (parsed) {
        body = parsed.value();
    }
    auto reply = co_await (this->*found->second)(fields, body);
    if (down()) {
        co_return outage();
    }
    if (found->first == "/kv-txn" && lose_answers_ > 0) {
        --lose_answers_;
        reply.dropped = true;
    }
    co_return reply;
}

awaitable<http_reply> store_api::key(const query& fields, const Json::Value& /*body*/) {
    const auto name = text_field(fields, "key");
    const auto* const item = store_.find(name);
    if (item == nullptr) {
        co_return error_reply(404, "no such key");
    }
    auto json = encode(name, *item);
    json["at_revision"] = Json::UInt64{store_.revision()};
    co_return json_reply(json);
}

awaitable<http_reply> store_api::range(const query& fields, const Json::Value& /*body*/) {
    const auto prefix = text_field(fields, "prefix");
    Json::Value json;
    json["items"] = Json::arrayValue;
    json["has_more"] = false;
    json["at_revision"] = Json::UInt64{store_.revision()};
    for (auto it = store_.items().upper_bound(std::max(text_field(fields, "after"), prefix));
         it != store_.items().end() && it->first.starts_with(prefix); ++it) {
        if (json["items"].size() == page_size) {
            json["has_more"] = true;
            break;
        }
        json["items"].append(encode(it->first, it->second));
    }
    co_return json_reply(json);
}

awaitable<http_reply> store_api::watch(const query& fields, const Json::Value& /*body*/) {
    const auto prefix = text_field(fields, "prefix");
    const auto after = number_field(fields, "after");
    const auto wait = std::min(milliseconds{number_field(fields, "wait_ms")}, max_watch_wait);
    const auto deadline = steady_clock::now() + wait;
    for (;;) {
        const auto found = store_.changes(prefix, after);
        if (!found) {
            co_return error_reply(410, "this history is gone");
        }
        if (!found->empty() || steady_clock::now() >= deadline || down()) {
            Json::Value json;
            json["events"] = Json::arrayValue;
            for (const auto& change : *found) {
                auto row = encode(change.key, change.item.value_or(stored_item{}));
                row["revision"] = Json::UInt64{change.revision};
                if (!change.item) {
                    row["deleted"] = true;
                }
                json["events"].append(row);
            }
            json["at_revision"] = Json::UInt64{store_.revision()};
            co_return json_reply(json);
        }
        co_await changed_.wait_until(deadline);
    }
}

awaitable<http_reply> store_api::transact(const query& /*fields*/, const Json::Value& body) {
    const auto change = decode_transaction(body);
    for (const auto& write : change.writes) {
        if (is_reserved(write.key)) {
            co_return error_reply(403, "this key is the platform's");
        }
    }
    switch (store_.apply(change)) {
    case lease_store::outcome::no_lease:
        co_return error_reply(404, "no such lease");
    case lease_store::outcome::conflict: {
        Json::Value json;
        json["items"] = Json::arrayValue;
        for (const auto& [name, revision] : change.expected) {
            const auto* const item = store_.find(name);
            json["items"].append(encode(name, item == nullptr ? stored_item{} : *item));
        }
        co_return json_reply(json, 412);
    }
    case lease_store::outcome::done:
        break;
    }
    changed_.notify();
    Json::Value json;
    json["revision"] = Json::UInt64{store_.revision()};
    co_return json_reply(json);
}

awaitable<http_reply> store_api::grant(const query& /*fields*/, const Json::Value& body) {
    const milliseconds ttl{body["ttl_ms"].asInt64()};
    Json::Value json;
    json["lease"] = Json::UInt64{store_.grant(ttl, steady_clock::now())};
    json["ttl_ms"] = Json::Int64{ttl.count()};
    co_return json_reply(json);
}

awaitable<http_reply> store_api::renew(const query& fields, const Json::Value& /*body*/) {
    if (!store_.renew(number_field(fields, "lease"), steady_clock::now())) {
        co_return error_reply(404, "the lease has ended");
    }
    co_return json_reply(Json::objectValue);
}

awaitable<http_reply> store_api::revoke(const query& fields, const Json::Value& /*body*/) {
    store_.revoke(number_field(fields, "lease"));
    changed_.notify();
    co_return json_reply(Json::objectValue);
}

void store_api::publish(const std::string& key, const Json::Value& document) {
    store_.put(key, base64(write_json(document)));
    changed_.notify();
}

void store_api::withdraw(const std::string& key) {
    store_.remove(key);
    changed_.notify();
}

void store_api::restore(milliseconds outage) {
    down_until_ = steady_clock::now() + outage;
    silent_ = false;
    // Nothing reads or changes items while the store is down.
    store_.restore(copy_, down_until_);
    restored_at_ = down_until_;
    ++era_;
}

void store_api::apply(const store_fault& fault) {
    if (fault.down_ms) {
        down_until_ = steady_clock::now() + milliseconds{*fault.down_ms};
        silent_ = fault.silent;
        restored_at_ = std::min(restored_at_, down_until_);
    }
    if (fault.copy) {
        copy_ = store_.copied(steady_clock::now());
    }
    if (fault.restored_ms) {
        restore(milliseconds{*fault.restored_ms});
    }
    delay_ = fault.delay_ms ? milliseconds{*fault.delay_ms} : delay_;
    lose_answers_ = fault.lose_answers.value_or(lose_answers_);
    refused_ = fault.refused.value_or(refused_);
    if (fault.compact_history) {
        store_.compact_history();
    }
    changed_.notify(); // Pending watches return, with an error during an outage.
}

Json::Value store_api::inspect() const {
    Json::Value json{Json::objectValue};
    for (const auto& [path, count] : calls_) {
        json["calls"][path] = Json::UInt64{count};
    }
    json["revision"] = Json::UInt64{store_.revision()};
    json["era"] = Json::UInt64{era()};
    for (const auto& [name, item] : store_.items()) {
        json["items"][name] = item.value;
    }
    return json;
}

} // namespace jackdawvane::standin
