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

/// The agent: flows, requests and peers around the decision libraries.
namespace Agent {

/// Status line and headers of a backend server's answer.
struct ResponseHead
{
    unsigned status = 0;
    std::string reason;
    std::vector<Requests::Header> headers;
    std::optional<std::uint64_t> contentLength;
};

enum class BackendFailure {
    NotConnected, ///< no byte of the request was sent
    Lost,         ///< the backend server may have run the request
};

/// One request to the backend server on a connection of its own, so that neither a late answer nor
/// a connection that the server had already closed can touch another request.
///
/// Lives on the traffic thread; handlers are called there, never from within start().
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    struct Handlers
    {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string)> onBody; ///< the next part is read after readMore()
        std::function<void()> onDone;
        std::function<void(BackendFailure)> onFailed;
    };

    /// Sends \a request to \a backend. \a limit bounds the time to the end of the answer; none
    /// for feeds. \a deadline is told to the backend server.
    static std::shared_ptr<BackendCall>
    start(boost::asio::io_context &io, const Model::Endpoint &backend,
          const Requests::HttpRequest &request, std::optional<std::chrono::milliseconds> limit,
          std::chrono::milliseconds deadline, Handlers handlers);

    virtual ~BackendCall() = default;

    /// Asks for the next part of the body.
    virtual void readMore() = 0;

    /// Closes the connection; no handler is called any more.
    virtual void cancel() = 0;
};

} // namespace Agent
