#include "requests/requestreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Requests {

namespace http = boost::beast::http;

class RequestReader::Parser
{
public:
    Parser()
    {
        parser_.eager(true);
        parser_.body_limit(MaxRequestBodyBytes);
        parser_.header_limit(MaxRequestHeaderBytes);
    }

    http::request_parser<http::string_body> parser_;
};

RequestReader::RequestReader()
    : parser_(std::make_unique<Parser>())
{}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

static std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

static HttpRequest takeRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = text(message.method_string());
    request.target = text(message.target());
    for (const auto &field : message)
        request.headers.emplace_back(text(field.name_string()), text(field.value()));
    request.keepAlive = message.keep_alive();
    request.body = std::move(message.body());
    return request;
}

void RequestReader::append(std::string_view bytes)
{
    raw_.append(bytes);
}

void RequestReader::putBack(const HttpRequest &request)
{
    raw_.insert(0, serializeRequest(request));
    parsed_ = 0;
    parser_ = std::make_unique<Parser>();
}

std::optional<std::variant<HttpRequest, MalformedRequest>> RequestReader::next()
{
    auto &parser = parser_->parser_;
    while (parsed_ < raw_.size() && !parser.is_done()) {
        boost::beast::error_code error;
        const std::size_t taken =
            parser.put(boost::asio::buffer(raw_.data() + parsed_, raw_.size() - parsed_), error);
        parsed_ += taken;
        if (error == http::error::need_more)
            break;
        if (error)
            return MalformedRequest{};
        if (taken == 0)
            break;
    }
    if (!parser.is_done())
        return std::nullopt;

    HttpRequest request = takeRequest(parser.release());
    raw_.erase(0, parsed_);
    parsed_ = 0;
    parser_ = std::make_unique<Parser>();
    return request;
}

} // namespace Requests
