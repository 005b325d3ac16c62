#include "standins.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <semaphore>
#include <thread>

DEFINE_string(backend_listen, "127.0.0.1:7200", "endpoint that the backend server listens on");
DEFINE_string(backend_service, "order-desk", "service name in its responses");
DEFINE_string(backend_instance, "backend-1", "instance name in its responses");
DEFINE_double(backend_speed, 1.0, "speed factor; divides the processing times");
DEFINE_uint64(backend_work_ms, 20, "processing time of an order at speed 1, in ms");
DEFINE_uint64(backend_long_ms, 1000, "processing time of a manifest at speed 1, in ms");
DEFINE_uint64(backend_cold_ms, 0, "time from its start until it is ready, in ms");
DEFINE_uint64(backend_max_waiting, 200, "requests that wait for a slot before it sheds load");

namespace Standins {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;

static constexpr int BackendThreads = 2400;
static constexpr int Slots = 3;
static constexpr milliseconds EventInterval{100};
static constexpr int Ok = 200;
static constexpr int BadRequest = 400;
static constexpr int NotFound = 404;
static constexpr int Unavailable = 503;

namespace {

/// Backend server with three slots, a configurable speed and start-up time, load shedding and
/// draining. Thread-safe.
class BackendServer
{
public:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);

private:
    void process(milliseconds duration);
    bool shedIfOverloaded(HTTPServerResponse &response);
    void handleOrder(HTTPServerRequest &request, HTTPServerResponse &response,
                     milliseconds duration);
    void streamEvents(const HTTPServerRequest &request, HTTPServerResponse &response) const;
    std::string state() const;

    const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    std::counting_semaphore<Slots> slots_{Slots};
    std::atomic<std::uint64_t> openRequests_ = 0;
    std::atomic<bool> draining_ = false;
    std::mutex mutex_;
    std::map<std::string, int> journal_;
};

std::string BackendServer::state() const
{
    if (draining_)
        return "draining";
    const auto age = std::chrono::steady_clock::now() - start_;
    return age < milliseconds(FLAGS_backend_cold_ms) ? "starting" : "ready";
}

void BackendServer::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    const std::string &method = request.getMethod();
    if (path == "/health")
        return sendJson(response, Ok, {{"state", state()}, {"load", openRequests_.load()}});
    if (path == "/drain" && method == "POST") {
        draining_ = true;
        return sendJson(response, Ok, {{"state", state()}});
    }
    if (path == "/journal") {
        const std::lock_guard guard(mutex_);
        return sendJson(response, Ok, journal_);
    }
    if (path == "/feed")
        return streamEvents(request, response);
    if (path == "/whoami")
        return sendJson(response, Ok,
                        {{"service", FLAGS_backend_service}, {"instance", FLAGS_backend_instance}});
    if (path == "/orders" && method == "POST")
        return handleOrder(request, response, milliseconds(FLAGS_backend_work_ms));
    if (path == "/manifests" && method == "POST")
        return handleOrder(request, response, milliseconds(FLAGS_backend_long_ms));
    sendJson(response, NotFound, nullptr);
}

bool BackendServer::shedIfOverloaded(HTTPServerResponse &response)
{
    if (openRequests_ <= Slots + FLAGS_backend_max_waiting)
        return false;
    response.set("Request-Shed", "not-run");
    response.set("Retry-After", "1");
    sendJson(response, Unavailable, {{"error", "shed"}});
    return true;
}

void BackendServer::process(milliseconds duration)
{
    slots_.acquire();
    std::this_thread::sleep_for(duration / FLAGS_backend_speed);
    slots_.release();
}

void BackendServer::handleOrder(HTTPServerRequest &request, HTTPServerResponse &response,
                                milliseconds duration)
{
    const std::string body = readBody(request);
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("order") || !json["order"].is_string())
        return sendJson(response, BadRequest, {{"error", "no order"}});
    ++openRequests_;
    if (shedIfOverloaded(response)) {
        --openRequests_;
        return;
    }
    const std::string name = json["order"];
    {
        const std::lock_guard guard(mutex_);
        ++journal_[name];
    }
    process(duration);
    --openRequests_;
    sendJson(response, Ok,
             {{"service", FLAGS_backend_service},
              {"instance", FLAGS_backend_instance},
              {"order", name},
              {"sheets", json.value("sheets", "")}});
}

void BackendServer::streamEvents(const HTTPServerRequest &request,
                                 HTTPServerResponse &response) const
{
    const std::string last = request.get("Last-Event-ID", "");
    std::uint64_t next = last.empty() ? 0 : std::stoull(last) + 1;
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::ostream &stream = response.send();
    for (; stream.good(); ++next) {
        stream << fmt::format("id: {}\ndata: {}\n\n", next, next) << std::flush;
        std::this_thread::sleep_for(EventInterval);
    }
}

} // namespace

int runBackendServer()
{
    const auto listen = Model::parseEndpoint(FLAGS_backend_listen);
    if (!listen)
        return 2;
    BackendServer backend;
    const auto server =
        serveHttp(*listen, BackendThreads,
                  [&backend](auto &request, auto &response) { backend.handle(request, response); });
    waitForStopSignal();
    std::_Exit(0);
}

} // namespace Standins
