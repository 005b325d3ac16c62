#include "agent/backendcall.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace Agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

static constexpr std::chrono::milliseconds ConnectTimeout{1000};
static constexpr std::size_t BodyPartBytes = 16 * 1024;
static constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;

static bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 7> Names{
        "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Proxy-Connection",
        "TE",         "Upgrade"};
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view hopByHop) {
        return beast::iequals({name.data(), name.size()}, {hopByHop.data(), hopByHop.size()});
    });
}

/// Returns \a request as it is sent to the backend server, without hop-by-hop headers.
static std::string requestText(Requests::HttpRequest request, std::chrono::milliseconds deadline)
{
    std::erase_if(request.headers,
                  [](const Requests::Header &header) { return isHopByHop(header.first); });
    if (Requests::headerValue(request.headers, "Host").empty())
        Requests::setHeader(request.headers, "Host", "backend");
    Requests::setHeader(request.headers, "Request-Deadline-Ms", std::to_string(deadline.count()));
    Requests::setHeader(request.headers, "Connection", "close");
    return Requests::serializeRequest(request);
}

namespace {

class HttpBackendCall : public BackendCall
{
public:
    HttpBackendCall(asio::io_context &io, std::string text, bool isHead, Handlers handlers)
        : stream_(io)
        , text_(std::move(text))
        , handlers_(std::move(handlers))
    {
        parser_.body_limit(boost::none);
        parser_.header_limit(MaxResponseHeaderBytes);
        parser_.skip(isHead);
    }

    void connect(const Model::Endpoint &backend, std::optional<std::chrono::milliseconds> limit)
    {
        limit_ = limit;
        stream_.expires_after(ConnectTimeout);
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(backend.address), backend.port);
        stream_.async_connect(
            endpoint, [self = self()](beast::error_code error) { self->onConnected(error); });
    }

    void readMore() override
    {
        if (finished_ || reading_ || !parser_.is_header_done() || parser_.is_done())
            return;
        reading_ = true;
        parser_.get().body().data = part_.data();
        parser_.get().body().size = part_.size();
        http::async_read_some(
            stream_, buffer_, parser_,
            [self = self()](beast::error_code error, std::size_t) { self->onRead(error); });
    }

    void cancel() override
    {
        finished_ = true;
        beast::error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    std::shared_ptr<HttpBackendCall> self()
    {
        return std::static_pointer_cast<HttpBackendCall>(shared_from_this());
    }

    void onConnected(beast::error_code error)
    {
        if (finished_)
            return;
        if (error)
            return fail(BackendFailure::NotConnected);
        if (limit_)
            stream_.expires_after(*limit_);
        else
            stream_.expires_never();
        asio::async_write(stream_, asio::buffer(text_),
                          [self = self()](beast::error_code writeError, std::size_t) {
                              // A write error doesn't count: the server may respond before it has
                              // read the whole request.
                              if (!writeError)
                                  self->text_ = {};
                          });
        http::async_read_header(stream_, buffer_, parser_,
                                [self = self()](beast::error_code readError, std::size_t) {
                                    self->onHeader(readError);
                                });
    }

    void onHeader(beast::error_code error)
    {
        if (finished_)
            return;
        if (error)
            return fail(BackendFailure::Lost);
        ResponseHead head;
        const auto &message = parser_.get();
        head.status = message.result_int();
        head.reason = std::string(message.reason().data(), message.reason().size());
        for (const auto &field : message) {
            const std::string name(field.name_string().data(), field.name_string().size());
            if (!isHopByHop(name))
                head.headers.emplace_back(name,
                                          std::string(field.value().data(), field.value().size()));
        }
        if (const auto length = parser_.content_length())
            head.contentLength = *length;
        handlers_.onHead(head);
        // The handler may have started a read, which may already have parsed the body.
        if (finished_ || reading_)
            return;
        if (parser_.is_done())
            finish();
        else
            readMore();
    }

    void onRead(beast::error_code error)
    {
        reading_ = false;
        if (finished_)
            return;
        if (error && error != http::error::need_buffer)
            return fail(BackendFailure::Lost);
        const std::size_t length = part_.size() - parser_.get().body().size;
        const bool isDone = parser_.is_done();
        if (length > 0)
            handlers_.onBody(std::string(part_.data(), length));
        if (finished_)
            return;
        if (isDone)
            finish();
        else if (length == 0)
            readMore();
    }

    void finish()
    {
        cancel();
        handlers_.onDone();
    }

    void fail(BackendFailure failure)
    {
        cancel();
        handlers_.onFailed(failure);
    }

    beast::tcp_stream stream_;
    std::string text_;
    Handlers handlers_;
    std::optional<std::chrono::milliseconds> limit_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, BodyPartBytes> part_{};
    bool reading_ = false;
    bool finished_ = false;
};

} // namespace

std::shared_ptr<BackendCall> BackendCall::start(asio::io_context &io,
                                                const Model::Endpoint &backend,
                                                const Requests::HttpRequest &request,
                                                std::optional<std::chrono::milliseconds> limit,
                                                std::chrono::milliseconds deadline,
                                                Handlers handlers)
{
    auto call = std::make_shared<HttpBackendCall>(io, requestText(request, deadline),
                                                  request.method == "HEAD", std::move(handlers));
    call->connect(backend, limit);
    return call;
}

} // namespace Agent
