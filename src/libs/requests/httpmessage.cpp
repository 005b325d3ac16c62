#include "requests/httpmessage.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Requests {

static bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view headerValue(const std::vector<Header> &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

void setHeader(std::vector<Header> &headers, std::string_view name, std::string value)
{
    std::erase_if(headers,
                  [name](const Header &header) { return equalsIgnoringCase(header.first, name); });
    headers.emplace_back(name, std::move(value));
}

bool HttpRequest::isIdempotent() const
{
    static constexpr std::array<std::string_view, 6> Idempotent{"GET",    "HEAD",    "PUT",
                                                                "DELETE", "OPTIONS", "TRACE"};
    return std::find(Idempotent.begin(), Idempotent.end(), method) != Idempotent.end();
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string serializeRequest(const HttpRequest &request)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const auto &[name, value] : request.headers) {
        if (!equalsIgnoringCase(name, "Content-Length")
            && !equalsIgnoringCase(name, "Transfer-Encoding"))
            text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format("Content-Length: {}\r\n\r\n", request.body.size());
    return text + request.body;
}

const char *refusalText(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::QueueFull:
        return "queue-full";
    case RefusalCause::DeadlineTooClose:
        return "deadline-too-close";
    case RefusalCause::DeadlinePassed:
        return "deadline-passed";
    case RefusalCause::BackendShed:
        return "backend-shed";
    case RefusalCause::Stopping:
        return "stopping";
    }
    return "unknown";
}

static std::string jsonResponse(std::string_view status, std::string_view extraHeaders,
                                std::string_view body, bool keepAlive)
{
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                       "{}Connection: {}\r\n\r\n{}",
                       status, body.size(), extraHeaders, keepAlive ? "keep-alive" : "close", body);
}

std::string refusalResponse(RefusalCause cause, unsigned retryAfterSeconds, bool keepAlive)
{
    return jsonResponse(
        "503 Service Unavailable",
        fmt::format("Retry-After: {}\r\n{}: not-run\r\n", retryAfterSeconds, OutcomeHeader),
        fmt::format(R"({{"outcome":"not-run","cause":"{}"}})", refusalText(cause)), keepAlive);
}

std::string unknownOutcomeResponse()
{
    return jsonResponse("502 Bad Gateway", fmt::format("{}: unknown\r\n", OutcomeHeader),
                        R"({"outcome":"unknown"})", false);
}

std::string badRequestResponse()
{
    return jsonResponse("400 Bad Request", fmt::format("{}: not-run\r\n", OutcomeHeader),
                        R"({"outcome":"not-run","cause":"malformed-request"})", false);
}

std::string stillRunningResponse(bool keepAlive)
{
    return jsonResponse("409 Conflict",
                        fmt::format("{}: unknown\r\nRetry-After: 1\r\n", OutcomeHeader),
                        R"({"outcome":"unknown","cause":"first-request-still-runs"})", keepAlive);
}

std::string keyReusedResponse(bool keepAlive)
{
    return jsonResponse("422 Unprocessable Content", fmt::format("{}: not-run\r\n", OutcomeHeader),
                        R"({"outcome":"not-run","cause":"idempotency-key-reused"})", keepAlive);
}

} // namespace Requests
