#include "standins.h"

#include "restorablestore.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
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
static constexpr int Gone = 410;
static constexpr int PreconditionFailed = 412;
static constexpr int TooLarge = 413;

namespace {

/// Injected faults, set by PUT /faults.
struct Faults
{
    bool outage = false;           ///< every request is delayed, then its connection is closed
    std::uint64_t loseAnswers = 0; ///< number of next writes that take effect without a response
    std::uint64_t slowMs = 0;      ///< delay of every request
    bool staleReads = false;       ///< reads and lists return the objects as of PUT /faults
};

/// Closes the connection of \a request without a response, as a server that ends does. An exception
/// leaves it open and silent.
void closeConnection(HTTPServerRequest &request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().shutdown();
}

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
    nlohmann::json counters();
    std::string entityTag(std::uint64_t version) const;
    void send(HTTPServerResponse &response, int status, const nlohmann::json &body);

    std::mutex mutex_;
    std::condition_variable changed_;
    RestorableStore store_{Store::Timeline(0)};
    RestorableStore stale_;
    std::uint64_t restores_ = 0;
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
        return send(response, NotFound, nullptr);
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
        stale_ = store_;
        if (const std::size_t lostWrites = json.value("lostWrites", 0); lostWrites > 0) {
            store_.restore(lostWrites);
            ++restores_;
        }
    }
    changed_.notify_all();
    sendJson(response, Ok, json);
}

nlohmann::json Platform::counters()
{
    const std::lock_guard guard(mutex_);
    return {{"revision", store_.revision()}, {"calls", counters_}};
}

std::string Platform::entityTag(std::uint64_t version) const
{
    return fmt::format("\"{}-{}\"", std::uint64_t(store_.timeline()), version);
}

void Platform::send(HTTPServerResponse &response, int status, const nlohmann::json &body)
{
    std::unique_lock lock(mutex_);
    response.set("Store-Timeline", std::to_string(std::uint64_t(store_.timeline())));
    lock.unlock();
    sendJson(response, status, body);
}

void Platform::list(const std::string &prefix, HTTPServerResponse &response)
{
    nlohmann::json objects = nlohmann::json::array();
    std::unique_lock lock(mutex_);
    const auto timeline = std::uint64_t(store_.timeline());
    for (const auto &[key, entry] : (faults_.staleReads ? stale_ : store_).list(prefix))
        objects.push_back({{"key", key},
                           {"version", entry.revision},
                           {"timeline", timeline},
                           {"value", nlohmann::json::parse(entry.value)}});
    const nlohmann::json listing{
        {"revision", store_.revision()}, {"timeline", timeline}, {"objects", std::move(objects)}};
    lock.unlock();
    send(response, Ok, listing);
}

void Platform::watch(HTTPServerRequest &request, HTTPServerResponse &response)
{
    auto query = queryParameters(request);
    const std::uint64_t after = std::stoull(query["after"]);
    const Store::Timeline timeline{std::stoull(query["timeline"])};
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(query["waitMs"]));
    nlohmann::json changes = nlohmann::json::array();
    std::unique_lock lock(mutex_);
    const auto restores = restores_;
    const auto isOver = [&] {
        return timeline != store_.timeline() || store_.revision() != after || faults_.outage;
    };
    changed_.wait_until(lock, until, isOver);
    if (faults_.outage)
        throw std::runtime_error("outage");
    if (restores_ != restores)
        return closeConnection(request);
    const auto events = store_.eventsAfter(query["prefix"], after);
    if (!events || timeline != store_.timeline()) {
        lock.unlock();
        return send(response, Gone, nullptr);
    }
    for (const auto &[revision, key, value] : *events)
        changes.push_back({{"key", key},
                           {"version", revision},
                           {"timeline", std::uint64_t(timeline)},
                           {"value", value ? nlohmann::json::parse(*value) : nullptr}});
    const nlohmann::json answer{{"revision", store_.revision()},
                                {"timeline", std::uint64_t(timeline)},
                                {"changes", std::move(changes)}};
    lock.unlock();
    send(response, Ok, answer);
}

void Platform::read(const std::string &key, HTTPServerResponse &response)
{
    std::unique_lock lock(mutex_);
    const auto entry = (faults_.staleReads ? stale_ : store_).read(key);
    if (entry)
        response.set("ETag", entityTag(entry->revision));
    lock.unlock();
    if (!entry)
        return send(response, NotFound, nullptr);
    send(response, Ok, nlohmann::json::parse(entry->value));
}

void Platform::write(const std::string &key, HTTPServerRequest &request,
                     HTTPServerResponse &response)
{
    const std::string body = readBody(request);
    if (body.size() > MaxValueBytes)
        return send(response, TooLarge, nullptr);
    const bool isDeletion = request.getMethod() == "DELETE";
    std::unique_lock lock(mutex_);
    const auto entry = store_.read(key);
    const std::string condition = request.get("If-Match", "");
    const bool isWanted =
        request.get("If-None-Match", "") == "*"
            ? !entry
            : condition.empty() || (entry && condition == entityTag(entry->revision));
    if (!isWanted) {
        lock.unlock();
        return send(response, PreconditionFailed, nullptr);
    }
    const std::uint64_t version = store_.overwrite(
        key, isDeletion ? std::nullopt : std::optional(nlohmann::json::parse(body).dump()));
    const std::string tag = entityTag(version);
    const bool dropsResponse = faults_.loseAnswers > 0;
    if (dropsResponse)
        --faults_.loseAnswers;
    lock.unlock();
    changed_.notify_all();
    if (dropsResponse)
        throw std::runtime_error("response dropped");
    response.set("ETag", tag);
    send(response, Ok, nullptr);
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
