#include "standins.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

DEFINE_string(platform_listen, "127.0.0.1:7000", "endpoint that the platform stand-in listens on");

namespace Standins {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

static constexpr int PlatformThreads = 512;
static constexpr std::size_t MaxValueBytes = 1024 * 1024;
static constexpr int Ok = 200;
static constexpr int NotFound = 404;
static constexpr int PreconditionFailed = 412;
static constexpr int TooLarge = 413;

namespace {

struct Stored
{
    std::uint64_t version = 0;
    nlohmann::json value; ///< null after a deletion
};

/// Injected faults, set by PUT /faults.
struct Faults
{
    bool outage = false;           ///< every request is delayed, then its connection is closed
    std::uint64_t loseAnswers = 0; ///< number of next writes that take effect without a response
    std::uint64_t slowMs = 0;      ///< delay of every request
    bool staleReads = false;       ///< reads and lists return the objects as of PUT /faults
};

/// The platform's object API: versions, conditional updates and watches. Thread-safe.
class Platform
{
public:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);

private:
    void setFaults(HTTPServerRequest &request, HTTPServerResponse &response);
    void list(const std::string &prefix, HTTPServerResponse &response);
    void watch(HTTPServerRequest &request, HTTPServerResponse &response);
    void read(const std::string &key, HTTPServerResponse &response);
    void write(const std::string &key, HTTPServerRequest &request, HTTPServerResponse &response);
    bool preconditionHolds(const Stored &stored, const HTTPServerRequest &request) const;
    nlohmann::json counters();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Stored> objects_;
    std::map<std::string, Stored> stale_;
    std::uint64_t revision_ = 0;
    Faults faults_;
    std::map<std::string, std::uint64_t> counters_;
};

void Platform::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (path == "/faults")
        return setFaults(request, response);
    if (path == "/counts")
        return sendJson(response, Ok, counters());
    Faults faults;
    {
        const std::lock_guard guard(mutex_);
        faults = faults_;
        ++counters_[path == "/v1/watch"            ? "watches"
                    : request.getMethod() == "GET" ? "reads"
                                                   : "writes"];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs));
    if (faults.outage) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        throw std::runtime_error("outage");
    }
    static const std::string objectsPath = "/v1/objects";
    if (path == "/v1/watch")
        return watch(request, response);
    if (path == objectsPath)
        return list(queryParameters(request)["prefix"], response);
    if (!path.starts_with(objectsPath + '/'))
        return sendJson(response, NotFound, nullptr);
    const std::string key = path.substr(objectsPath.size() + 1);
    if (request.getMethod() == "GET")
        read(key, response);
    else
        write(key, request, response);
}

void Platform::setFaults(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const auto json = nlohmann::json::parse(readBody(request));
    {
        const std::lock_guard guard(mutex_);
        faults_.outage = json.value("outage", false);
        faults_.loseAnswers = json.value("loseAnswers", 0);
        faults_.slowMs = json.value("slowMs", 0);
        faults_.staleReads = json.value("staleReads", false);
        stale_ = objects_;
    }
    changed_.notify_all();
    sendJson(response, Ok, json);
}

nlohmann::json Platform::counters()
{
    const std::lock_guard guard(mutex_);
    return {{"revision", revision_}, {"calls", counters_}};
}

void Platform::list(const std::string &prefix, HTTPServerResponse &response)
{
    nlohmann::json objects = nlohmann::json::array();
    std::unique_lock lock(mutex_);
    for (const auto &[key, stored] : faults_.staleReads ? stale_ : objects_) {
        if (key.starts_with(prefix) && !stored.value.is_null())
            objects.push_back({{"key", key}, {"version", stored.version}, {"value", stored.value}});
    }
    const nlohmann::json listing{{"revision", revision_}, {"objects", std::move(objects)}};
    lock.unlock();
    sendJson(response, Ok, listing);
}

void Platform::watch(HTTPServerRequest &request, HTTPServerResponse &response)
{
    auto query = queryParameters(request);
    const std::uint64_t after = std::stoull(query["after"]);
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(query["waitMs"]));
    nlohmann::json changes = nlohmann::json::array();
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [&] { return revision_ > after || faults_.outage; });
    if (faults_.outage)
        throw std::runtime_error("outage");
    for (const auto &[key, stored] : objects_) {
        if (key.starts_with(query["prefix"]) && stored.version > after)
            changes.push_back({{"key", key}, {"version", stored.version}, {"value", stored.value}});
    }
    const nlohmann::json answer{{"revision", revision_}, {"changes", std::move(changes)}};
    lock.unlock();
    sendJson(response, Ok, answer);
}

void Platform::read(const std::string &key, HTTPServerResponse &response)
{
    std::unique_lock lock(mutex_);
    const auto &objects = faults_.staleReads ? stale_ : objects_;
    const auto entry = objects.find(key);
    if (entry == objects.end() || entry->second.value.is_null()) {
        lock.unlock();
        return sendJson(response, NotFound, nullptr);
    }
    const Stored stored = entry->second;
    lock.unlock();
    response.set("ETag", fmt::format("\"{}\"", stored.version));
    sendJson(response, Ok, stored.value);
}

bool Platform::preconditionHolds(const Stored &stored, const HTTPServerRequest &request) const
{
    if (request.get("If-None-Match", "") == "*")
        return stored.value.is_null();
    const std::string condition = request.get("If-Match", "");
    return condition.empty()
           || (!stored.value.is_null() && condition == fmt::format("\"{}\"", stored.version));
}

void Platform::write(const std::string &key, HTTPServerRequest &request,
                     HTTPServerResponse &response)
{
    const std::string body = readBody(request);
    if (body.size() > MaxValueBytes)
        return sendJson(response, TooLarge, nullptr);
    const bool isDeletion = request.getMethod() == "DELETE";
    const auto value = isDeletion ? nlohmann::json() : nlohmann::json::parse(body);
    std::unique_lock lock(mutex_);
    Stored &stored = objects_[key];
    if (!preconditionHolds(stored, request)) {
        lock.unlock();
        return sendJson(response, PreconditionFailed, nullptr);
    }
    stored = {++revision_, value};
    const std::uint64_t version = stored.version;
    const bool dropsResponse = faults_.loseAnswers > 0;
    if (dropsResponse)
        --faults_.loseAnswers;
    lock.unlock();
    changed_.notify_all();
    if (dropsResponse)
        throw std::runtime_error("response dropped");
    response.set("ETag", fmt::format("\"{}\"", version));
    sendJson(response, Ok, nullptr);
}

} // namespace

int runPlatform()
{
    const auto endpoint = Model::parseEndpoint(FLAGS_platform_listen);
    if (!endpoint)
        return 2;
    Platform platform;
    const auto server =
        serveHttp(*endpoint, PlatformThreads, [&platform](auto &request, auto &response) {
            platform.handle(request, response);
        });
    waitForStopSignal();
    std::_Exit(0);
}

} // namespace Standins
