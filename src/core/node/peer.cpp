#include "jackdawvane/node/peer.hpp"

#include "jackdawvane/foundation/compact_json.hpp"

namespace jackdawvane {

namespace {

template <std::size_t... Index>
std::vector<std::string> method_list(std::index_sequence<Index...> /*alternatives*/) {
    return {std::variant_alternative_t<Index, peer_message>::method...};
}

template <class Message>
result<peer_message> decode_as(const Json::Value& params) {
    auto decoded = from_json<Message>(params);
    if (!decoded) {
        return decoded.error();
    }
    return peer_message{std::move(decoded).value()};
}

template <std::size_t Index = 0>
result<peer_message> decode_alternative(const std::string& method, const Json::Value& params) {
    if constexpr (Index == std::variant_size_v<peer_message>) {
        return error{error_kind::malformed_request, "unknown peer method " + method, {}};
    } else {
        using message = std::variant_alternative_t<Index, peer_message>;
        if (method == message::method) {
            return decode_as<message>(params);
        }
        return decode_alternative<Index + 1>(method, params);
    }
}

} // namespace

const char* method_of(const peer_message& message) noexcept {
    return std::visit([](const auto& body) { return body.method; }, message);
}

Json::Value encode(const peer_message& message) {
    return std::visit([](const auto& body) { return to_compact_json(body); }, message);
}

result<peer_message> decode_peer_message(const std::string& method, const Json::Value& params) {
    return decode_alternative(method, params);
}

const std::vector<std::string>& peer_methods() {
    static const auto methods =
        method_list(std::make_index_sequence<std::variant_size_v<peer_message>>{});
    return methods;
}

} // namespace jackdawvane
