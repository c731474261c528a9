#include "jackdawvane/configuration/configuration_transfer.hpp"

#include "jackdawvane/foundation/packed_text.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Maximum size of a packed text, and of the text in it, in bytes. Several times the largest
/// document of the store.
constexpr std::size_t max_packed_bytes = 2'097'152;
constexpr std::size_t max_text_bytes = 8'388'608;

} // namespace

bool configuration_part_server::may_begin(time_point now, const vm_id& vm) {
    while (!begun_.empty() && begun_.front().first + limits_.window <= now) {
        begun_.pop_front();
    }
    const bool known = std::any_of(begun_.begin(), begun_.end(),
                                   [&](const auto& each) { return each.second == vm; });
    if (!known && begun_.size() >= limits_.long_transfers) {
        return false;
    }
    if (!known) {
        begun_.emplace_back(now, vm);
    }
    return true;
}

configuration_part configuration_part_server::answer(time_point now, const vm_id& vm,
                                                     const configuration_request& request,
                                                     const digested_document& present,
                                                     const configuration_history& history) {
    configuration_part part;
    const auto newest = present.document.revision;
    if (request.after >= newest) {
        return part;
    }
    const auto rows = request.after > revision{} ? history.rows_since(request.after, request.digest)
                                                 : std::optional<std::set<row_name>>{};
    part.after = rows ? request.after : revision{};
    part.revision = newest;
    part.digest = present.digest;
    auto [text, made] = texts_.try_emplace(part.after);
    if (made) {
        text->second =
            pack_text(rows_text(present.document, rows ? *rows : all_rows(present.document)));
    }
    const auto& packed = text->second;
    part.total = static_cast<std::uint32_t>(packed.size());
    const bool continues = request.revision == newest && request.offset < packed.size();
    part.offset = continues ? request.offset : 0;
    if (part.offset == 0 && packed.size() > limits_.slice && !may_begin(now, vm)) {
        part.busy = true;
        return part;
    }
    part.text = packed.substr(part.offset, limits_.slice);
    return part;
}

configuration_part_collector::progress
configuration_part_collector::add(const configuration_part& part) {
    const bool same = part.revision == head_.revision && part.after == head_.after &&
                      part.digest == head_.digest && part.total == head_.total;
    if (part.offset == 0) {
        text_.clear();
    } else if (!same || part.offset != text_.size()) {
        return progress::unusable;
    }
    if (part.text.empty() || part.total > max_packed_bytes ||
        part.text.size() > part.total - text_.size()) {
        return progress::unusable;
    }
    head_ = part;
    head_.text.clear();
    text_ += part.text;
    return text_.size() == part.total ? progress::complete : progress::incomplete;
}

configuration_request configuration_part_collector::next(const digested_document& present) const {
    return {present.document.revision, present.digest, head_.revision,
            static_cast<std::uint32_t>(text_.size())};
}

result<configuration_document>
configuration_part_collector::finish(const digested_document& present) const {
    static const configuration_document empty;
    const bool whole = has_all_rows();
    if (!whole && head_.after != present.document.revision) {
        return error{error_kind::malformed_request, "rows change another revision", {}};
    }
    const auto text = unpack_text(text_, max_text_bytes);
    if (!text) {
        return text.error();
    }
    auto document = replace_rows(whole ? empty : present.document, text.value());
    if (!document) {
        return document;
    }
    document.value().revision = head_.revision;
    if (digest_of(document.value()) != head_.digest) {
        return error{error_kind::malformed_request, "rows do not have the announced digest", {}};
    }
    return document;
}

} // namespace jackdawvane
