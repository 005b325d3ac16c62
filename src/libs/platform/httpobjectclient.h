#pragma once

#include "model/endpoint.h"
#include "platform/objectclient.h"

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace Platform {

/// Object API over HTTP/1.1, one connection.
///
/// Calls block; one thread at a time may call, but abort() may come from any.
class HttpObjectClient
{
public:
    /// \a timeout bounds the wait for an answer, beyond the wait of a watch.
    HttpObjectClient(const Model::Endpoint &platform, std::chrono::milliseconds timeout);

    boost::leaf::result<Object> read(const std::string &key);

    /// Lists the objects below \a prefix. A peer's admin server has its snapshot at another \a
    /// path.
    boost::leaf::result<Listing> list(const std::string &prefix,
                                      const std::string &path = "/v1/objects");
    boost::leaf::result<Version> write(const std::string &key, const std::string &value,
                                       Precondition precondition);

    /// Deletes the object if it has \a version; returns the version of the deletion.
    boost::leaf::result<Version> remove(const std::string &key, Version version);

    /// Waits up to \a wait for changes after \a after; returns none if there were none.
    boost::leaf::result<Changes> watch(const std::string &prefix, Revision after,
                                       std::chrono::milliseconds wait);

    /// Returns the page at \a path, as a process's admin server has it.
    boost::leaf::result<std::string> page(const std::string &path);

    /// Ends a call in progress, and every later one, with FailureKind::Unreachable. Thread-safe.
    void abort();

    /// Returns the number of calls so far. Thread-safe.
    std::uint64_t callCount() const { return calls_; }

private:
    struct Answer
    {
        int status = 0;
        std::string entityTag;
        std::string body;
    };

    boost::leaf::result<Answer> call(const std::string &method, const std::string &path,
                                     const std::string &body, const std::string &conditionName,
                                     const std::string &conditionValue,
                                     std::chrono::milliseconds extraWait);

    Poco::Net::HTTPClientSession session_;
    std::chrono::milliseconds timeout_;
    std::mutex abortMutex_;
    std::atomic<bool> aborted_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
};

} // namespace Platform
