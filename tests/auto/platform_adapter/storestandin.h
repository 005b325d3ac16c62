#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

#include "model/endpoint.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Stand-in for the platform's store: an HTTP server that records the requests that it receives and
/// replies with responses that a test has queued.
class StoreStandin
{
public:
    struct Response
    {
        int status = 200;
        nlohmann::json body;
        bool isLost = false; ///< the connection is closed instead of a response
        std::uint64_t timeline = 0;
        bool closesConnection = false; ///< after the response
        bool announcesClose = true;    ///< whether the response says so
    };

    StoreStandin()
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , server_(new Factory(*this), socket_, new Poco::Net::HTTPServerParams)
    {
        server_.start();
    }

    ~StoreStandin() { server_.stopAll(true); }

    Model::Endpoint endpoint() const { return {0x7f000001, socket_.address().port()}; }

    /// Queues the response to one request. A request for which none is queued gets status 503.
    void enqueueResponse(int status, nlohmann::json body, bool isLost = false)
    {
        const std::lock_guard guard(mutex_);
        responses_.push_back({status, std::move(body), isLost, 0, false, true});
    }

    /// Does the same for a response that comes from \a timeline.
    void enqueueOnTimeline(std::uint64_t timeline, int status, nlohmann::json body,
                           bool closesConnection = false, bool announcesClose = true)
    {
        const std::lock_guard guard(mutex_);
        responses_.push_back(
            {status, std::move(body), false, timeline, closesConnection, announcesClose});
    }

    /// Returns "METHOD path body" of each request so far. Thread-safe.
    std::vector<std::string> requests() const
    {
        const std::lock_guard guard(mutex_);
        return requests_;
    }

private:
    class Handler : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(StoreStandin &standin)
            : standin_(standin)
        {}

        void handleRequest(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response) override
        {
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            const Response queued =
                standin_.takeResponse(request.getMethod() + ' ' + request.getURI() + ' ' + body);
            if (queued.isLost) {
                static_cast<Poco::Net::HTTPServerRequest &>(request).response().setKeepAlive(false);
                throw std::runtime_error("response dropped by the test");
            }
            if (queued.closesConnection && queued.announcesClose)
                response.setKeepAlive(false);
            if (queued.timeline > 0)
                response.set("Store-Era", std::to_string(queued.timeline));
            const std::string text = queued.body.dump();
            response.setStatus(Poco::Net::HTTPResponse::HTTPStatus(queued.status));
            response.setContentLength(std::streamsize(text.size()));
            response.send() << text << std::flush;
            if (queued.closesConnection && !queued.announcesClose)
                static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().shutdown();
        }

    private:
        StoreStandin &standin_;
    };

    class Factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(StoreStandin &standin)
            : standin_(standin)
        {}

        Poco::Net::HTTPRequestHandler *
        createRequestHandler(const Poco::Net::HTTPServerRequest &) override
        {
            return new Handler(standin_);
        }

    private:
        StoreStandin &standin_;
    };

    Response takeResponse(std::string request)
    {
        const std::lock_guard guard(mutex_);
        requests_.push_back(std::move(request));
        if (responses_.empty())
            return {503, nlohmann::json::object(), false, 0, false, true};
        Response response = responses_.front();
        responses_.pop_front();
        return response;
    }

    mutable std::mutex mutex_;
    std::deque<Response> responses_;
    std::vector<std::string> requests_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};
