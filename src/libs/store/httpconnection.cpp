#include "store/httpconnection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <netinet/tcp.h>

#include <charconv>

namespace Store {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// TCP keep-alive parameters that detect a dead connection within 3 s, the shortest time in which a
/// configuration must be in force.
static constexpr int KeepAliveIdleSeconds = 1;
static constexpr int KeepAliveIntervalSeconds = 1;
static constexpr int KeepAliveProbes = 2;

/// Time without a request after which Poco replaces a connection. Longer than the longest watch.
static constexpr std::chrono::seconds MaxConnectionIdleTime{60};

static Poco::Timespan timespan(std::chrono::milliseconds time)
{
    return Poco::Timespan(std::chrono::microseconds(time).count());
}

boost::leaf::result<void> checkTimeline(const HttpResponse &response, Revision position)
{
    if (response.timeline != position.timeline())
        return boost::leaf::new_error(Failure{FailureKind::OtherTimeline});
    return {};
}

std::optional<FailureKind> failureForStatus(int status)
{
    switch (status) {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_CREATED:
    case HTTPResponse::HTTP_NO_CONTENT:
        return std::nullopt;
    case HTTPResponse::HTTP_NOT_FOUND:
        return FailureKind::NotFound;
    case HTTPResponse::HTTP_GONE:
        return FailureKind::TooOld;
    case HTTPResponse::HTTP_CONFLICT:
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return FailureKind::Conflict;
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
        return FailureKind::Overloaded;
    default:
        return FailureKind::Malformed;
    }
}

void HttpConnection::Session::connect(const Poco::Net::SocketAddress &address)
{
    if (!mayConnect_)
        throw Poco::Net::ConnectionResetException("the connection was closed");
    HTTPClientSession::connect(address);
    socket().setKeepAlive(true);
    socket().setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    socket().setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    socket().setOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

HttpConnection::HttpConnection(const Model::Endpoint &server, std::chrono::milliseconds timeout,
                               std::string timelineHeader)
    : session_(Model::addressText(server.address), server.port)
    , timeout_(timeout)
    , timelineHeader_(std::move(timelineHeader))
{
    session_.setKeepAlive(true);
    session_.setKeepAliveTimeout(timespan(MaxConnectionIdleTime));
}

/// Leaves the timeline as it is if \a header contains none: only the store itself names it, and a
/// response may come from something in front of it.
void HttpConnection::readTimeline(const std::string &header)
{
    std::uint64_t number = 0;
    const char *const last = header.data() + header.size();
    const auto [end, error] = std::from_chars(header.data(), last, number);
    if (error == std::errc() && end == last)
        timeline_ = Timeline(number);
}

boost::leaf::result<HttpResponse> HttpConnection::call(const HttpCall &request)
{
    if (aborted_)
        return boost::leaf::new_error(Failure{FailureKind::Unreachable});
    ++calls_;
    const std::chrono::milliseconds wait = timeout_ + request.extraTimeout;
    bool mayHaveArrived = false;
    try {
        HTTPRequest message(request.method, request.path, HTTPRequest::HTTP_1_1);
        message.setContentLength64(std::int64_t(request.body.size()));
        message.setContentType("application/json");
        for (const auto &[name, value] : request.headers)
            message.set(name, value);
        // Writes use a new connection, as a reused one may break after the write arrived.
        if (request.method != HTTPRequest::HTTP_GET)
            session_.reset();
        // The extra timeout applies to the response only, not to connecting.
        const bool isConnected = session_.connected();
        session_.setMayConnect(!request.requiresOpenConnection);
        session_.setTimeout(timespan(isConnected ? wait : timeout_));
        std::ostream &out = session_.sendRequest(message);
        mayHaveArrived = true;
        out << request.body;
        out.flush();
        session_.socket().setReceiveTimeout(timespan(wait));
        HTTPResponse header;
        std::istream &in = session_.receiveResponse(header);
        HttpResponse response;
        response.status = header.getStatus();
        response.entityTag = header.get("ETag", "");
        readTimeline(header.get(timelineHeader_, ""));
        response.timeline = timeline_;
        Poco::StreamCopier::copyToString(in, response.body);
        if (!header.getKeepAlive())
            session_.reset();
        return response;
    } catch (const Poco::Exception &) {
        session_.reset();
        return boost::leaf::new_error(
            Failure{mayHaveArrived ? FailureKind::OutcomeUnknown : FailureKind::Unreachable});
    }
}

void HttpConnection::abort()
{
    const std::lock_guard guard(abortMutex_);
    aborted_ = true;
    try {
        session_.abort();
    } catch (const Poco::Exception &) {
        // The session was not connected.
    }
}

} // namespace Store
