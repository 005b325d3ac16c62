#include "observability/adminserver.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

namespace Observability {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

static constexpr int AdminThreads = 2;

namespace {

struct Pages
{
    std::shared_ptr<prometheus::Collectable> metrics;
    AdminServer::PageProvider state;
    AdminServer::PageProvider snapshot;
};

class PageHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit PageHandler(const Pages &pages)
        : pages_(pages)
    {}

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const std::string path = request.getURI().substr(0, request.getURI().find('?'));
        if (path == "/metrics")
            send(response, "text/plain; version=0.0.4",
                 prometheus::TextSerializer().Serialize(pages_.metrics->Collect()));
        else if (path == "/state")
            send(response, "application/json", pages_.state().dump(2));
        else if (path == "/snapshot")
            send(response, "application/json", pages_.snapshot().dump(2));
        else
            sendNotFound(response);
    }

private:
    static void send(HTTPServerResponse &response, const std::string &type, const std::string &body)
    {
        response.setContentType(type);
        response.sendBuffer(body.data(), body.size());
    }

    static void sendNotFound(HTTPServerResponse &response)
    {
        response.setStatusAndReason(HTTPServerResponse::HTTP_NOT_FOUND);
        response.setContentLength(0);
        response.send();
    }

    const Pages &pages_;
};

class PageHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit PageHandlerFactory(const Pages &pages)
        : pages_(pages)
    {}

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new PageHandler(pages_);
    }

private:
    const Pages &pages_;
};

} // namespace

class AdminServer::Server
{
public:
    Server(const Model::Endpoint &endpoint, Pages pages)
        : pages_(std::move(pages))
        , threads_(1, AdminThreads)
        , socket_(Poco::Net::SocketAddress(Model::addressText(endpoint.address), endpoint.port))
        , server_(new PageHandlerFactory(pages_), threads_, socket_, parameters())
    {
        server_.start();
    }

    ~Server() { server_.stopAll(true); }

private:
    static Poco::Net::HTTPServerParams *parameters()
    {
        auto *const parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(AdminThreads);
        parameters->setKeepAlive(false);
        return parameters;
    }

    Pages pages_;
    Poco::ThreadPool threads_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};

AdminServer::AdminServer(const Model::Endpoint &endpoint,
                         std::shared_ptr<prometheus::Collectable> metrics, PageProvider state,
                         PageProvider snapshot)
    : server_(std::make_unique<Server>(
        endpoint, Pages{std::move(metrics), std::move(state), std::move(snapshot)}))
{}

AdminServer::~AdminServer() = default;

} // namespace Observability
