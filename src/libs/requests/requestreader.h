#pragma once

#include "requests/httpmessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Requests {

/// Largest body of a request, in bytes.
constexpr std::size_t MaxRequestBodyBytes = 2 * 1024 * 1024;

/// Largest request line with headers, in bytes.
constexpr std::size_t MaxRequestHeaderBytes = 16 * 1024;

/// The bytes are no HTTP/1.1 request, or one larger than the limits.
struct MalformedRequest
{};

/// Cuts the bytes of one flow into whole requests.
///
/// Without sockets or clocks; not thread-safe.
class RequestReader
{
public:
    RequestReader();
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Takes the next bytes of the flow.
    void feed(std::string_view bytes);

    /// Makes \a request the next one again, before all unread bytes.
    void putBack(const HttpRequest &request);

    /// Returns the next whole request, if there is one. After MalformedRequest nothing follows.
    std::optional<std::variant<HttpRequest, MalformedRequest>> next();

    /// Returns the bytes that belong to no returned request, as they arrived.
    const std::string &unreadBytes() const { return raw_; }

private:
    class Parser;

    std::unique_ptr<Parser> parser_;
    std::string raw_;        ///< from the first byte of the current request on
    std::size_t parsed_ = 0; ///< bytes of raw_ that the parser has taken
};

} // namespace Requests
