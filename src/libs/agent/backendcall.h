#pragma once

#include "model/endpoint.h"
#include "requests/httpmessage.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The agent: connects flows, requests and peers with the libraries that make the decisions.
namespace Agent {

/// Status line and headers of a backend server's response.
struct ResponseHead
{
    unsigned status = 0;
    std::string reason;
    std::vector<Requests::Header> headers;
    std::optional<std::uint64_t> contentLength;
};

enum class BackendFailure {
    NotConnected, ///< no byte of the request was sent
    Lost,         ///< no complete response; the backend server may have run the request
};

/// One request to the backend server on a connection of its own, so that neither a late response
/// nor a connection that the server has already closed can affect another request.
///
/// Used on the traffic thread only. Handlers are called there, never from within start().
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    struct Handlers
    {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string)> onBody; ///< call readMore() for the next part
        std::function<void()> onDone;
        std::function<void(BackendFailure)> onFailed;
    };

    /// Sends \a request to \a backend. \a limit bounds the time from the established connection to
    /// the end of the response; feeds have none. \a deadline is the time left for the request,
    /// which the backend server gets in the Request-Deadline-Ms header.
    static std::shared_ptr<BackendCall>
    start(boost::asio::io_context &io, const Model::Endpoint &backend,
          const Requests::HttpRequest &request, std::optional<std::chrono::milliseconds> limit,
          std::chrono::milliseconds deadline, Handlers handlers);

    virtual ~BackendCall() = default;

    /// Reads the next part of the body, unless a read is pending or the response is complete.
    virtual void readMore() = 0;

    /// Closes the connection. No handler is called afterwards.
    virtual void cancel() = 0;
};

} // namespace Agent
