#pragma once

#include "model/endpoint.h"
#include "store/objectclient.h"

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Store {

/// An answer as it arrived, whatever its status.
struct HttpResponse
{
    int status = 0;
    std::string entityTag;
    std::string body;
};

/// One call over HTTP/1.1.
struct HttpCall
{
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds extraTimeout{0}; ///< beyond the caller's timeout
};

/// Makes calls over one connection, which is opened when needed and checked by keep-alive probes.
///
/// Calls block; one thread at a time may call, but abort() may come from any.
class HttpConnection
{
public:
    /// \a timeout bounds the wait for an answer.
    HttpConnection(const Model::Endpoint &server, std::chrono::milliseconds timeout);

    /// Makes \a request. Fails with FailureKind::Unreachable if it can't have arrived, and with
    /// FailureKind::OutcomeUnknown if there was no answer.
    boost::leaf::result<HttpResponse> call(const HttpCall &request);

    /// Ends a call in progress, and every later one, with FailureKind::Unreachable. Thread-safe.
    void abort();

    /// Returns the number of calls so far. Thread-safe.
    std::uint64_t callCount() const { return calls_; }

private:
    /// A session whose connections are checked by keep-alive probes, so that a watch does not wait
    /// on a dead one.
    class Session : public Poco::Net::HTTPClientSession
    {
    public:
        using HTTPClientSession::HTTPClientSession;

    protected:
        void connect(const Poco::Net::SocketAddress &address) override;
    };

    Session session_;
    std::chrono::milliseconds timeout_;
    std::mutex abortMutex_;
    std::atomic<bool> aborted_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
};

/// Returns the failure that \a status stands for, or nothing for a success. Thread-safe.
std::optional<FailureKind> failureForStatus(int status);

} // namespace Store
