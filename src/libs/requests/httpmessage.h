#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Requests {

using Header = std::pair<std::string, std::string>;

/// Returns the value of the first header with the case-insensitive \a name; empty if it is missing.
/// Thread-safe.
std::string_view headerValue(const std::vector<Header> &headers, std::string_view name);

/// Sets the header \a name, and removes all other headers with this case-insensitive name.
/// Thread-safe.
void setHeader(std::vector<Header> &headers, std::string_view name, std::string value);

/// A complete request from a caller.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
    bool keepAlive = true; ///< whether the flow stays open after the response

    /// Returns whether running the request twice has the same effect as running it once (RFC 9110,
    /// 9.2.2).
    bool isIdempotent() const;

    /// Returns a view of the part of the target before "?".
    std::string_view path() const;
};

/// Serializes \a request as HTTP/1.1 with a Content-Length header. Thread-safe.
std::string serializeRequest(const HttpRequest &request);

/// Outcome that is reported to the caller for a request without a response of a backend server.
enum class Outcome {
    NotRun,  ///< no byte of the request reached a backend server
    Unknown, ///< a backend server may have run it
};

/// Name of the header that carries an Outcome.
constexpr std::string_view OutcomeHeader = "Gypsumwing-Outcome";

/// Why a request is refused. Each cause is also a label value of the refusal metric.
enum class RefusalCause {
    QueueFull,        ///< the queue or the IdempotencyCache is full
    DeadlineTooClose, ///< the request is not expected to finish by its deadline
    DeadlinePassed,   ///< the wait left too little time before the deadline
    BackendShed,      ///< the backend server shed the request before running it
    Stopping,         ///< the agent is stopping and no peer could take over the flow
};

constexpr std::size_t RefusalCauseCount = 5;

/// Returns the name of \a cause in metrics and responses. Thread-safe.
const char *refusalText(RefusalCause cause);

/// Returns the response to a request that was refused and has not run. Thread-safe.
std::string refusalResponse(RefusalCause cause, unsigned retryAfterSeconds, bool keepAlive);

/// Returns the response to a request whose outcome is unknown; the flow closes after it.
/// Thread-safe.
std::string unknownOutcomeResponse();

/// Returns the response to a malformed request; the flow closes after it. Thread-safe.
std::string badRequestResponse();

/// Returns the response to a repeat that arrives while the first request is running. Thread-safe.
std::string stillRunningResponse(bool keepAlive);

/// Returns the response to a request whose Idempotency-Key was used by another request.
/// Thread-safe.
std::string keyReusedResponse(bool keepAlive);

} // namespace Requests
