#include "standins.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>

namespace Standins {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Handler = std::function<void(HTTPServerRequest &, HTTPServerResponse &)>;

static constexpr int ThreadStackBytes = 256 * 1024;

namespace {

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const Handler &handle)
        : handle_(handle)
    {}
    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        try {
            handle_(request, response);
        } catch (const std::exception &) {
            // The client disconnected or sent a malformed request; the connection is closed.
        }
    }

private:
    const Handler &handle_;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionHandlerFactory(Handler handle)
        : handle_(std::move(handle))
    {}
    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new FunctionHandler(handle_);
    }

private:
    Handler handle_;
};

} // namespace

std::shared_ptr<Poco::Net::HTTPServer> serveHttp(const Model::Endpoint &endpoint, int threads,
                                                 Handler handle)
{
    static Poco::ThreadPool pool(2, threads, 60, ThreadStackBytes);
    auto *const parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(threads);
    parameters->setMaxQueued(threads);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    const Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress(Model::addressText(endpoint.address), endpoint.port), 1024);
    auto server = std::make_shared<Poco::Net::HTTPServer>(
        new FunctionHandlerFactory(std::move(handle)), pool, socket, parameters);
    server->start();
    return server;
}

void sendJson(HTTPServerResponse &response, int status, const nlohmann::json &json)
{
    const std::string text = json.dump();
    response.setStatus(HTTPServerResponse::HTTPStatus(status));
    response.setReason(HTTPServerResponse::getReasonForStatus(response.getStatus()));
    response.setContentType("application/json");
    response.sendBuffer(text.data(), text.size());
}

std::map<std::string, std::string> queryParameters(const HTTPServerRequest &request)
{
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters())
        query[name] = value;
    return query;
}

std::string readBody(HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

static int main(int argc, char **argv)
{
    gflags::SetUsageMessage("platform|fabric|backend|caller [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const std::string kind = argc == 2 ? argv[1] : "";
    if (kind == "platform")
        return runPlatform();
    if (kind == "fabric")
        return runFabric();
    if (kind == "backend")
        return runBackendServer();
    if (kind == "caller")
        return runCaller();
    fmt::print(stderr, "standin: expected one of platform, fabric, backend, caller\n");
    return 2;
}

} // namespace Standins

int main(int argc, char **argv)
{
    return Standins::main(argc, argv);
}
