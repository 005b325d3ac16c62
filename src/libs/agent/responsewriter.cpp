#include "agent/responsewriter.h"

#include <fmt/format.h>

namespace Agent {

static constexpr unsigned NoContent = 204;
static constexpr unsigned NotModified = 304;

ResponseWriter::ResponseWriter(bool hasBody, bool keepAlive)
    : hasBody_(hasBody)
    , keepAlive_(keepAlive)
{}

ResponseWriter ResponseWriter::resumed()
{
    ResponseWriter writer(true, true);
    writer.isChunked_ = true;
    return writer;
}

std::string ResponseWriter::head(const ResponseHead &head)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    for (const auto &[name, value] : head.headers)
        text += fmt::format("{}: {}\r\n", name, value);
    const bool neverHasBody = head.status == NoContent || head.status == NotModified;
    isChunked_ = hasBody_ && !neverHasBody && !head.contentLength;
    if (head.contentLength && !neverHasBody)
        text += fmt::format("Content-Length: {}\r\n", *head.contentLength);
    if (isChunked_)
        text += "Transfer-Encoding: chunked\r\n";
    return text + (keepAlive_ ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n");
}

std::string ResponseWriter::body(std::string_view part) const
{
    if (part.empty())
        return {};
    return isChunked_ ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : std::string(part);
}

std::string ResponseWriter::end() const
{
    return isChunked_ ? "0\r\n\r\n" : "";
}

} // namespace Agent
