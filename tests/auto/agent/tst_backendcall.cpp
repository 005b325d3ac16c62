#include "agent/backendcall.h"

#include "property.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <thread>

using namespace Agent;
namespace asio = boost::asio;

namespace {

/// Accepts one connection, reads the head of a request and sends a fixed response.
class SingleResponseServer
{
public:
    explicit SingleResponseServer(std::string responseText)
        : acceptor_(io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this, responseText = std::move(responseText)] {
            asio::ip::tcp::socket socket = acceptor_.accept();
            asio::streambuf request;
            boost::system::error_code ignored;
            asio::read_until(socket, request, "\r\n\r\n", ignored);
            asio::write(socket, asio::buffer(responseText), ignored);
        })
    {}
    ~SingleResponseServer() { thread_.join(); }

    Model::Endpoint endpoint() const
    {
        return {asio::ip::address_v4::loopback().to_uint(), acceptor_.local_endpoint().port()};
    }

private:
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

struct Result
{
    std::string body;
    bool isDone = false;
    std::optional<BackendFailure> failure;
};

Result call(const Model::Endpoint &endpoint, bool readsFromHead)
{
    asio::io_context io;
    Result result;
    std::shared_ptr<BackendCall> backendCall;
    BackendCall::Handlers handlers;
    handlers.onHead = [&](const ResponseHead &) {
        if (readsFromHead)
            backendCall->readMore();
    };
    handlers.onBody = [&](const std::string &part) {
        result.body += part;
        backendCall->readMore();
    };
    handlers.onDone = [&] { result.isDone = true; };
    handlers.onFailed = [&](BackendFailure failure) { result.failure = failure; };
    const Requests::HttpRequest request{"POST", "/orders", {}, "{}", true};
    backendCall = BackendCall::start(io, endpoint, request, std::chrono::seconds(20),
                                     std::chrono::seconds(20), handlers);
    io.run();
    return result;
}

} // namespace

TEST_GROUP(BackendCall){};

TEST(BackendCall, BodyThatArrivesWithItsHeadIsNotLost)
{
    for (const bool readsFromHead : {false, true}) {
        const SingleResponseServer server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        const Result result = call(server.endpoint(), readsFromHead);
        CHECK_TRUE(result.isDone);
        STRCMP_EQUAL("hello", result.body.c_str());
    }
}

TEST(BackendCall, TruncatedResponseIsLost)
{
    const SingleResponseServer server("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
    CHECK_TRUE(call(server.endpoint(), false).failure == BackendFailure::Lost);
}

TEST(BackendCall, MissingResponseIsLost)
{
    const SingleResponseServer server("");
    CHECK_TRUE(call(server.endpoint(), false).failure == BackendFailure::Lost);
}

TEST(BackendCall, RefusedConnectionIsNotConnected)
{
    Model::Endpoint closed;
    {
        const SingleResponseServer server("");
        closed = server.endpoint();
        call(closed, false);
    }
    CHECK_TRUE(call(closed, false).failure == BackendFailure::NotConnected);
}
