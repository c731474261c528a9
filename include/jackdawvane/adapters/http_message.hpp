#pragma once

#include <utility>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawvane {

/// @brief One header field of an HTTP message.
struct http_header {
    std::string name;
    std::string value;
};

/// @brief Received HTTP request; valid only during the call of the handler.
class http_request_view {
  public:
    /// @brief Finds the value of a header field in the parsed message.
    using header_lookup = std::string_view (*)(const void* message, std::string_view name);

    http_request_view(std::string_view method, std::string_view target, std::string_view body,
                      const void* message, header_lookup lookup) noexcept
        : method_{method}, target_{target}, body_{body}, message_{message}, lookup_{lookup} {}

    [[nodiscard]] std::string_view method() const noexcept { return method_; }
    [[nodiscard]] std::string_view target() const noexcept { return target_; }
    [[nodiscard]] std::string_view body() const noexcept { return body_; }
    /// @brief Value of the header field @a name, empty when it is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const {
        return lookup_(message_, name);
    }

  private:
    std::string_view method_;
    std::string_view target_;
    std::string_view body_;
    const void* message_;
    header_lookup lookup_;
};

/// @brief HTTP response of a server.
struct http_response {
    unsigned status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<http_header> headers;
};

/// @brief HTTP response as a client receives it.
struct http_answer {
    unsigned status{0};
    std::string body;
    std::vector<http_header> headers{};

    /// @brief Value of the header field @a name in any case, empty when it is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept {
        const auto lower = [](char each) {
            return each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a') : each;
        };
        const auto same = [&](const http_header& each) {
            return std::equal(each.name.begin(), each.name.end(), name.begin(), name.end(),
                              [&](char a, char b) { return lower(a) == lower(b); });
        };
        const auto found = std::find_if(headers.begin(), headers.end(), same);
        return found == headers.end() ? std::string_view{} : std::string_view{found->value};
    }
};

} // namespace jackdawvane
