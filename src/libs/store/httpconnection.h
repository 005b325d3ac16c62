#pragma once

#include "model/endpoint.h"
#include "store/objectclient.h"
#include "store/revision.h"

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Store {

/// A response as received, with any status.
struct HttpResponse
{
    int status = 0;
    std::string entityTag;
    Timeline timeline{}; ///< of the store that responded
    std::string body;
};

/// An HTTP/1.1 request.
struct HttpCall
{
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds extraTimeout{0}; ///< added to the timeout of the connection
    bool requiresOpenConnection = false; ///< fail with FailureKind::Unreachable if there is none
};

/// Makes calls over one connection, which is opened on demand and checked by TCP keep-alive probes.
///
/// Calls block. Not thread-safe, except for abort() and callCount().
class HttpConnection
{
public:
    /// \a timeout is the maximum wait for a connection and for a response. \a timelineHeader is the
    /// response header that contains the number of the store's timeline.
    HttpConnection(const Model::Endpoint &server, std::chrono::milliseconds timeout,
                   std::string timelineHeader);

    /// Sends \a request and returns the response. Fails with FailureKind::Unreachable if the
    /// request can't have arrived, and with FailureKind::OutcomeUnknown if there was no response.
    boost::leaf::result<HttpResponse> call(const HttpCall &request);

    /// Whether the next call uses the connection of the last one, unless the server closed it
    /// since.
    bool isOpen() const { return session_.connected(); }

    /// Makes a call in progress fail, and each later one with FailureKind::Unreachable.
    /// Thread-safe.
    void abort();

    /// Returns the number of calls so far. Thread-safe.
    std::uint64_t callCount() const { return calls_; }

    /// Returns the timeline of the latest response that named one; 0 before the first.
    /// Thread-safe.
    Timeline timeline() const { return timeline_; }

private:
    void readTimeline(const std::string &header);

    /// A session whose connections are checked by TCP keep-alive probes, so that a watch does not
    /// wait on a dead connection.
    class Session : public Poco::Net::HTTPClientSession
    {
    public:
        using HTTPClientSession::HTTPClientSession;

        void setMayConnect(bool mayConnect) { mayConnect_ = mayConnect; }

    protected:
        void connect(const Poco::Net::SocketAddress &address) override;

    private:
        bool mayConnect_ = true;
    };

    Session session_;
    std::chrono::milliseconds timeout_;
    std::string timelineHeader_;
    std::atomic<Timeline> timeline_{};
    std::mutex abortMutex_;
    std::atomic<bool> aborted_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
};

/// Fails with FailureKind::OtherTimeline if \a response comes from another timeline than that of
/// \a position, to which the call referred. Thread-safe.
boost::leaf::result<void> checkTimeline(const HttpResponse &response, Revision position);

/// Returns the failure that the HTTP \a status stands for; nothing for a success. Thread-safe.
std::optional<FailureKind> failureForStatus(int status);

} // namespace Store
