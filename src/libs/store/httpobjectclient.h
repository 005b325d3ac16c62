#pragma once

#include "model/endpoint.h"
#include "store/httpconnection.h"

#include <cstdint>

namespace Store {

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
    void abort() { caller_.abort(); }

    /// Returns the number of calls so far. Thread-safe.
    std::uint64_t callCount() const { return caller_.callCount(); }

private:
    /// Makes a call and turns a status other than success into a Failure.
    boost::leaf::result<HttpResponse> call(const HttpCall &request);

    HttpConnection caller_;
};

} // namespace Store
