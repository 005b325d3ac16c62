#pragma once

#include "model/endpoint.h"
#include "store/httpconnection.h"

#include <cstdint>

namespace Store {

/// Client of the platform's object API over one HTTP/1.1 connection.
///
/// Calls block and fail with Failure. Not thread-safe, except for abort() and callCount().
class HttpObjectClient
{
public:
    /// \a timeout is the maximum wait for a response; the wait of a watch is added to it.
    HttpObjectClient(const Model::Endpoint &platform, std::chrono::milliseconds timeout);

    /// Returns the object with \a key.
    boost::leaf::result<Object> read(const std::string &key);

    /// Lists the objects whose keys begin with \a prefix. \a path differs for the snapshot on a
    /// peer's admin server.
    boost::leaf::result<Listing> list(const std::string &prefix,
                                      const std::string &path = "/v1/objects");

    /// Writes the JSON \a value if \a precondition holds. Returns the version of the write.
    boost::leaf::result<Version> write(const std::string &key, const std::string &value,
                                       Precondition precondition);

    /// Deletes the object with \a key if it has \a version. Returns the version of the deletion.
    boost::leaf::result<Version> remove(const std::string &key, Version version);

    /// Waits for at most \a wait for changes after \a after to objects whose keys begin with
    /// \a prefix. Returns an empty list of changes if there were none.
    boost::leaf::result<Changes> watch(const std::string &prefix, Revision after,
                                       std::chrono::milliseconds wait);

    /// Returns the body of the page at \a path, for example of a process's admin server.
    boost::leaf::result<std::string> page(const std::string &path);

    /// Makes a call in progress fail, and each later one with FailureKind::Unreachable.
    /// Thread-safe.
    void abort() { connection_.abort(); }

    /// Returns the number of calls so far. Thread-safe.
    std::uint64_t callCount() const { return connection_.callCount(); }

    /// Returns the timeline of the latest response. Thread-safe.
    Timeline timeline() const { return connection_.timeline(); }

private:
    /// Makes a call and converts an error status into a Failure.
    boost::leaf::result<HttpResponse> call(const HttpCall &request);

    HttpConnection connection_;
};

} // namespace Store
