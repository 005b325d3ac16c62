#include "store/httpobjectclient.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace Store {

using Poco::Net::HTTPRequest;

/// Response header with the number of the store's timeline.
static constexpr const char *TimelineHeader = "Store-Timeline";

static std::string percentEncoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "?&#=", result);
    return result;
}

/// Returns the entity tag of \a version. It contains the timeline, so that a condition on a version
/// never holds on another timeline.
static std::string entityTag(Version version)
{
    return fmt::format("\"{}-{}\"", std::uint64_t(version.timeline()), version.number());
}

static std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

static std::optional<Version> parseEntityTag(std::string_view tag)
{
    const std::size_t separator = tag.find('-');
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"' || separator == tag.npos)
        return std::nullopt;
    const auto timeline = parseNumber(tag.substr(1, separator - 1));
    const auto number = parseNumber(tag.substr(separator + 1, tag.size() - separator - 2));
    if (!timeline || !number)
        return std::nullopt;
    return Version(*number, Timeline(*timeline));
}

/// Parses the position that \a json gives by the member \a name and its timeline. A peer may run a
/// version that does not name timelines.
static Revision readPosition(const nlohmann::json &json, const char *name)
{
    return Revision(json.at(name).get<std::uint64_t>(),
                    Timeline(json.value("timeline", std::uint64_t(0))));
}

HttpObjectClient::HttpObjectClient(const Model::Endpoint &platform,
                                   std::chrono::milliseconds timeout)
    : connection_(platform, timeout, TimelineHeader)
{}

boost::leaf::result<HttpResponse> HttpObjectClient::call(const HttpCall &request)
{
    BOOST_LEAF_AUTO(response, connection_.call(request));
    if (const auto failure = failureForStatus(response.status))
        return boost::leaf::new_error(Failure{*failure});
    return std::move(response);
}

boost::leaf::result<std::string> HttpObjectClient::page(const std::string &path)
{
    BOOST_LEAF_AUTO(response, call({HTTPRequest::HTTP_GET, path, {}, {}, {}}));
    return std::move(response.body);
}

boost::leaf::result<Object> HttpObjectClient::read(const std::string &key)
{
    BOOST_LEAF_AUTO(
        response, call({HTTPRequest::HTTP_GET, "/v1/objects/" + percentEncoded(key), {}, {}, {}}));
    const auto version = parseEntityTag(response.entityTag);
    if (!version)
        return boost::leaf::new_error(Failure{FailureKind::Malformed});
    return Object{key, *version, std::move(response.body)};
}

boost::leaf::result<Listing> HttpObjectClient::list(const std::string &prefix,
                                                    const std::string &path)
{
    BOOST_LEAF_AUTO(
        response,
        call({HTTPRequest::HTTP_GET, path + "?prefix=" + percentEncoded(prefix), {}, {}, {}}));
    try {
        const auto json = nlohmann::json::parse(response.body);
        Listing listing;
        listing.revision = readPosition(json, "revision");
        for (const auto &object : json.at("objects")) {
            listing.objects.push_back({object.at("key").get<std::string>(),
                                       readPosition(object, "version"), object.at("value").dump()});
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
    std::map<std::string, std::string> condition;
    if (ifVersion)
        condition.emplace("If-Match", entityTag(ifVersion->version));
    else
        condition.emplace("If-None-Match", "*");
    BOOST_LEAF_AUTO(response, call({HTTPRequest::HTTP_PUT,
                                    "/v1/objects/" + percentEncoded(key),
                                    value,
                                    std::move(condition),
                                    {}}));
    const auto version = parseEntityTag(response.entityTag);
    if (!version)
        return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
    return *version;
}

boost::leaf::result<Version> HttpObjectClient::remove(const std::string &key, Version version)
{
    BOOST_LEAF_AUTO(response, call({HTTPRequest::HTTP_DELETE,
                                    "/v1/objects/" + percentEncoded(key),
                                    {},
                                    {{"If-Match", entityTag(version)}},
                                    {}}));
    const auto deletion = parseEntityTag(response.entityTag);
    if (!deletion)
        return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
    return *deletion;
}

boost::leaf::result<Changes> HttpObjectClient::watch(const std::string &prefix, Revision after,
                                                     std::chrono::milliseconds wait)
{
    const std::string path =
        fmt::format("/v1/watch?prefix={}&timeline={}&after={}&waitMs={}", percentEncoded(prefix),
                    std::uint64_t(after.timeline()), after.number(), wait.count());
    BOOST_LEAF_AUTO(response, call({HTTPRequest::HTTP_GET, path, {}, {}, wait}));
    try {
        const auto json = nlohmann::json::parse(response.body);
        Changes changes;
        changes.revision = readPosition(json, "revision");
        if (changes.revision.timeline() != after.timeline())
            return boost::leaf::new_error(Failure{FailureKind::OtherTimeline});
        for (const auto &entry : json.at("changes")) {
            Change change{entry.at("key").get<std::string>(), readPosition(entry, "version"),
                          std::nullopt};
            if (!entry.at("value").is_null())
                change.value = entry.at("value").dump();
            changes.changes.push_back(std::move(change));
        }
        return changes;
    } catch (const nlohmann::json::exception &) {
        return boost::leaf::new_error(Failure{FailureKind::Malformed});
    }
}

} // namespace Store
