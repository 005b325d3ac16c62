#pragma once

#include "model/endpoint.h"
#include "standins/restorablestore.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Stand-in for the platform's store: an HTTP server with listings, watches and conditional writes
/// that goes back to an older copy on request. Public methods are thread-safe.
class RestorableStoreServer
{
public:
    RestorableStoreServer()
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , server_(new Factory(*this), socket_, new Poco::Net::HTTPServerParams)
    {
        server_.start();
    }

    ~RestorableStoreServer()
    {
        interrupt();
        server_.stopAll(true);
    }

    Model::Endpoint endpoint() const { return {0x7f000001, socket_.address().port()}; }

    /// Writes \a value as the operator does, without a condition.
    void write(const std::string &key, const nlohmann::json &value)
    {
        const std::lock_guard guard(mutex_);
        store_.overwrite(key, value.dump());
        changed_.notify_all();
    }

    std::optional<std::string> read(const std::string &key) const
    {
        const std::lock_guard guard(mutex_);
        const auto entry = store_.read(key);
        return entry ? std::optional(entry->value) : std::nullopt;
    }

    /// Refuses all requests and ends those in progress, until resume().
    void interrupt()
    {
        const std::lock_guard guard(mutex_);
        isDown_ = true;
        ++interruptions_;
        changed_.notify_all();
    }

    /// Goes back to the state before the latest \a lostWrites writes, and serves requests again.
    void resume(std::size_t lostWrites)
    {
        const std::lock_guard guard(mutex_);
        store_.restore(lostWrites);
        isDown_ = false;
    }

    /// Returns "METHOD uri" of each request so far.
    std::vector<std::string> requests() const
    {
        const std::lock_guard guard(mutex_);
        return requests_;
    }

private:
    using Request = Poco::Net::HTTPServerRequest;
    using Response = Poco::Net::HTTPServerResponse;
    using Json = nlohmann::json;

    class Handler : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(RestorableStoreServer &server)
            : server_(server)
        {}

        void handleRequest(Request &request, Response &response) override
        {
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            std::unique_lock lock(server_.mutex_);
            const auto answer = server_.answer(lock, request, body);
            if (!answer) {
                lock.unlock();
                static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().shutdown();
                return;
            }
            response.set("Store-Era", std::to_string(std::uint64_t(server_.store_.timeline())));
            lock.unlock();
            const auto &[status, content] = *answer;
            const std::string text = content.dump();
            response.setStatus(Poco::Net::HTTPResponse::HTTPStatus(status));
            response.sendBuffer(text.data(), text.size());
        }

    private:
        RestorableStoreServer &server_;
    };

    class Factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(RestorableStoreServer &server)
            : server_(server)
        {}

        Poco::Net::HTTPRequestHandler *createRequestHandler(const Request &) override
        {
            return new Handler(server_);
        }

    private:
        RestorableStoreServer &server_;
    };

    static Json objectOf(const std::string &key, const RestorableStore::Entry &entry)
    {
        return {{"meta", {{"name", key.substr(key.find('/') + 1)}, {"revision", entry.revision}}},
                {"spec", Json::parse(entry.value)},
                {"status", nullptr}};
    }

    /// Returns the status and body of the response; nothing if the connection is to be closed.
    std::optional<std::pair<int, Json>> answer(std::unique_lock<std::mutex> &lock,
                                               const Request &request, const std::string &body)
    {
        requests_.push_back(request.getMethod() + ' ' + request.getURI());
        if (isDown_)
            return std::nullopt;
        const Poco::URI uri(request.getURI());
        const std::string key = uri.getPath().substr(std::string("/v1/objects/").size());
        if (request.getMethod() != "GET")
            return answerWrite(key, Json::parse(body));
        std::map<std::string, std::string> query;
        for (const auto &[name, value] : uri.getQueryParameters())
            query[name] = value;
        if (query.contains("watch"))
            return answerWatch(lock, key + '/', std::stoull(query["watch"]),
                               std::chrono::milliseconds(std::stoll(query["wait_ms"])));
        if (key.find('/') == std::string::npos)
            return answerList(key + '/');
        const auto entry = store_.read(key);
        if (!entry)
            return std::pair(404, Json::object());
        return std::pair(200, objectOf(key, *entry));
    }

    std::pair<int, Json> answerList(const std::string &prefix) const
    {
        Json items = Json::array();
        for (const auto &[key, entry] : store_.list(prefix))
            items.push_back(objectOf(key, entry));
        return {200, {{"items", items}, {"has_more", false}, {"current_rev", store_.revision()}}};
    }

    std::optional<std::pair<int, Json>> answerWatch(std::unique_lock<std::mutex> &lock,
                                                    const std::string &prefix, std::uint64_t after,
                                                    std::chrono::milliseconds wait)
    {
        const auto interruptions = interruptions_;
        auto events = store_.eventsAfter(prefix, after);
        changed_.wait_for(lock, wait, [&] {
            events = store_.eventsAfter(prefix, after);
            return interruptions_ != interruptions || !events || !events->empty();
        });
        if (interruptions_ != interruptions)
            return std::nullopt;
        if (!events)
            return std::pair(410, Json::object());
        Json reported = Json::array();
        for (const auto &[revision, key, value] : *events)
            reported.push_back({{"deleted", !value},
                                {"object", objectOf(key, {revision, value.value_or("null")})}});
        return std::pair(200, Json{{"events", reported}, {"current_rev", store_.revision()}});
    }

    std::pair<int, Json> answerWrite(const std::string &path, const Json &body)
    {
        const Json &meta = body.at("meta");
        const std::uint64_t expected = meta.value("revision", std::uint64_t(0));
        const std::string key =
            expected > 0 ? path : path + '/' + meta.at("name").get<std::string>();
        const auto revision = store_.write(key, body.at("spec").dump(), expected);
        if (!revision)
            return {409, Json::object()};
        changed_.notify_all();
        return {200, objectOf(key, *store_.read(key))};
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    RestorableStore store_;
    bool isDown_ = false;
    std::uint64_t interruptions_ = 0;
    std::vector<std::string> requests_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};
