#include "platform/httpobjectclient.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace Platform {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

static std::string encoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "?&#=", result);
    return result;
}

static std::string entityTag(Version version)
{
    return fmt::format("\"{}\"", std::uint64_t(version));
}

static std::optional<Version> parseEntityTag(std::string_view tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    tag = tag.substr(1, tag.size() - 2);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(tag.data(), tag.data() + tag.size(), number);
    if (error != std::errc() || end != tag.data() + tag.size())
        return std::nullopt;
    return Version(number);
}

static std::optional<FailureKind> failureOf(int status)
{
    switch (status) {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_CREATED:
    case HTTPResponse::HTTP_NO_CONTENT:
        return std::nullopt;
    case HTTPResponse::HTTP_NOT_FOUND:
        return FailureKind::NotFound;
    case HTTPResponse::HTTP_GONE:
        return FailureKind::TooOld;
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return FailureKind::Conflict;
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
        return FailureKind::Overloaded;
    default:
        return FailureKind::Malformed;
    }
}

HttpObjectClient::HttpObjectClient(const Model::Endpoint &platform,
                                   std::chrono::milliseconds timeout)
    : session_(Model::addressText(platform.address), platform.port)
    , timeout_(timeout)
{
    session_.setKeepAlive(true);
}

boost::leaf::result<HttpObjectClient::Answer>
HttpObjectClient::call(const std::string &method, const std::string &path, const std::string &body,
                       const std::string &conditionName, const std::string &conditionValue,
                       std::chrono::milliseconds extraWait)
{
    if (aborted_)
        return boost::leaf::new_error(Failure{FailureKind::Unreachable});
    ++calls_;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(timeout_ + extraWait);
    session_.setTimeout(Poco::Timespan(wait.count()));
    bool mayHaveArrived = false;
    try {
        HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
        request.setContentLength64(std::int64_t(body.size()));
        request.setContentType("application/json");
        if (!conditionName.empty())
            request.set(conditionName, conditionValue);
        // A fresh connection for writes: a reused one may break after the write arrived.
        if (method != HTTPRequest::HTTP_GET)
            session_.reset();
        if (session_.connected())
            session_.socket().setReceiveTimeout(session_.getTimeout());
        else
            session_.reset();
        std::ostream &out = session_.sendRequest(request);
        mayHaveArrived = true;
        out << body;
        HTTPResponse response;
        std::istream &in = session_.receiveResponse(response);
        Answer answer;
        answer.status = response.getStatus();
        answer.entityTag = response.get("ETag", "");
        Poco::StreamCopier::copyToString(in, answer.body);
        if (!response.getKeepAlive())
            session_.reset();
        if (const auto failure = failureOf(answer.status))
            return boost::leaf::new_error(Failure{*failure});
        return answer;
    } catch (const Poco::Exception &) {
        session_.reset();
        return boost::leaf::new_error(
            Failure{mayHaveArrived ? FailureKind::OutcomeUnknown : FailureKind::Unreachable});
    }
}

boost::leaf::result<std::string> HttpObjectClient::page(const std::string &path)
{
    BOOST_LEAF_AUTO(answer,
                    call(HTTPRequest::HTTP_GET, path, {}, {}, {}, std::chrono::milliseconds(0)));
    return std::move(answer.body);
}

void HttpObjectClient::abort()
{
    const std::lock_guard guard(abortMutex_);
    aborted_ = true;
    try {
        session_.abort();
    } catch (const Poco::Exception &) {
        // The session was not connected.
    }
}

boost::leaf::result<Object> HttpObjectClient::read(const std::string &key)
{
    BOOST_LEAF_AUTO(answer, call(HTTPRequest::HTTP_GET, "/v1/objects/" + encoded(key), {}, {}, {},
                                 std::chrono::milliseconds(0)));
    const auto version = parseEntityTag(answer.entityTag);
    if (!version)
        return boost::leaf::new_error(Failure{FailureKind::Malformed});
    return Object{key, *version, std::move(answer.body)};
}

boost::leaf::result<Listing> HttpObjectClient::list(const std::string &prefix,
                                                    const std::string &path)
{
    BOOST_LEAF_AUTO(answer, call(HTTPRequest::HTTP_GET, path + "?prefix=" + encoded(prefix), {}, {},
                                 {}, std::chrono::milliseconds(0)));
    try {
        const auto json = nlohmann::json::parse(answer.body);
        Listing listing;
        listing.revision = Revision(json.at("revision").get<std::uint64_t>());
        for (const auto &object : json.at("objects")) {
            listing.objects.push_back({object.at("key").get<std::string>(),
                                       Version(object.at("version").get<std::uint64_t>()),
                                       object.at("value").dump()});
        }
        return listing;
    } catch (const nlohmann::json::exception &) {
        return boost::leaf::new_error(Failure{FailureKind::Malformed});
    }
}

boost::leaf::result<Version>
HttpObjectClient::write(const std::string &key, const std::string &value, Precondition precondition)
{
    const auto *const ifVersion = std::get_if<IfVersion>(&precondition);
    BOOST_LEAF_AUTO(answer, call(HTTPRequest::HTTP_PUT, "/v1/objects/" + encoded(key), value,
                                 ifVersion ? "If-Match" : "If-None-Match",
                                 ifVersion ? entityTag(ifVersion->version) : "*",
                                 std::chrono::milliseconds(0)));
    const auto version = parseEntityTag(answer.entityTag);
    if (!version)
        return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
    return *version;
}

boost::leaf::result<Version> HttpObjectClient::remove(const std::string &key, Version version)
{
    BOOST_LEAF_AUTO(answer, call(HTTPRequest::HTTP_DELETE, "/v1/objects/" + encoded(key), {},
                                 "If-Match", entityTag(version), std::chrono::milliseconds(0)));
    const auto deletion = parseEntityTag(answer.entityTag);
    if (!deletion)
        return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
    return *deletion;
}

boost::leaf::result<Changes> HttpObjectClient::watch(const std::string &prefix, Revision after,
                                                     std::chrono::milliseconds wait)
{
    const std::string path = fmt::format("/v1/watch?prefix={}&after={}&waitMs={}", encoded(prefix),
                                         std::uint64_t(after), wait.count());
    BOOST_LEAF_AUTO(answer, call(HTTPRequest::HTTP_GET, path, {}, {}, {}, wait));
    try {
        const auto json = nlohmann::json::parse(answer.body);
        Changes changes;
        changes.revision = Revision(json.at("revision").get<std::uint64_t>());
        for (const auto &entry : json.at("changes")) {
            Change change{entry.at("key").get<std::string>(),
                          Version(entry.at("version").get<std::uint64_t>()), std::nullopt};
            if (!entry.at("value").is_null())
                change.value = entry.at("value").dump();
            changes.changes.push_back(std::move(change));
        }
        return changes;
    } catch (const nlohmann::json::exception &) {
        return boost::leaf::new_error(Failure{FailureKind::Malformed});
    }
}

} // namespace Platform
