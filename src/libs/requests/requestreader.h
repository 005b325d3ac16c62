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

/// Largest request line plus headers, in bytes.
constexpr std::size_t MaxRequestHeaderBytes = 16 * 1024;

/// The bytes are not an HTTP/1.1 request, or the request exceeds the limits.
struct MalformedRequest
{};

/// Parses the bytes of one flow into complete requests.
///
/// Uses no sockets or clocks; not thread-safe.
class RequestReader
{
public:
    RequestReader();
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Appends bytes received on the flow.
    void append(std::string_view bytes);

    /// Inserts \a request before all unread bytes, so that next() returns it again.
    void putBack(const HttpRequest &request);

    /// Returns the next complete request, if there is one. No request follows a MalformedRequest.
    std::optional<std::variant<HttpRequest, MalformedRequest>> next();

    /// Returns the bytes that next() has not yet returned as a request, unchanged.
    const std::string &unreadBytes() const { return raw_; }

private:
    class Parser;

    std::unique_ptr<Parser> parser_;
    std::string raw_;        ///< starts with the first byte of the current request
    std::size_t parsed_ = 0; ///< bytes of raw_ that the parser has consumed
};

} // namespace Requests
