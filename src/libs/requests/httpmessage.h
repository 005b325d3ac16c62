#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Requests {

using Header = std::pair<std::string, std::string>;

/// Returns the value of the header called \a name in any case; empty if it is missing. Thread-safe.
std::string_view headerValue(const std::vector<Header> &headers, std::string_view name);

/// Sets the header called \a name, in place of one of that name in any case. Thread-safe.
void setHeader(std::vector<Header> &headers, std::string_view name, std::string value);

/// A whole request of a caller.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
    bool keepsFlowOpen = true;

    /// Whether running the request twice does no more than running it once (RFC 9110, 9.2.2).
    bool isIdempotent() const;

    /// Returns the part of the target before "?".
    std::string_view path() const;
};

/// Writes \a request in the form of HTTP/1.1, with its length. Thread-safe.
std::string serializeRequest(const HttpRequest &request);

/// What callers are told of a request that got no answer from a backend server.
enum class Outcome {
    NotRun,  ///< no byte of the request reached a backend server
    Unknown, ///< a backend server may have run it
};

/// Name of the header that carries an Outcome.
constexpr std::string_view OutcomeHeader = "Gypsumwing-Outcome";

/// Why a request is refused. Each is also a label of the refusal metric.
enum class RefusalCause {
    QueueFull,        ///< the queue is at its bound
    DeadlineTooClose, ///< the wait would outlast the deadline
    DeadlinePassed,   ///< the deadline passed while the request waited
    BackendShed,      ///< the backend server shed the request before running it
    Stopping,         ///< the agent stops and no peer could take the flow
};

constexpr std::size_t RefusalCauseCount = 5;

/// Returns the name of \a cause in metrics and answers. Thread-safe.
const char *refusalText(RefusalCause cause);

/// Returns the answer to a request that was refused, certain not to have run. Thread-safe.
std::string refusalResponse(RefusalCause cause, unsigned retryAfterSeconds, bool keepsFlowOpen);

/// Returns the answer to a request whose outcome is not known. Thread-safe.
std::string unknownOutcomeResponse();

/// Returns the answer to a malformed request; the flow closes after it. Thread-safe.
std::string badRequestResponse();

/// Returns the answer to a repeat that comes while the first request still runs. Thread-safe.
std::string stillRunningResponse(bool keepsFlowOpen);

/// Returns the answer to a request under an Idempotency-Key that another request used. Thread-safe.
std::string keyReusedResponse(bool keepsFlowOpen);

} // namespace Requests
