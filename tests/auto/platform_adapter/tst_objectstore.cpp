#include "platform/objectstore.h"

#include "control/configurationfollower.h"
#include "platform/operatorconfiguration.h"
#include "platform_adapter/storestandin.h"
#include "store/attempt.h"

#include "property.h"

#include <Poco/ErrorHandler.h>

#include <condition_variable>

using nlohmann::json;
using Store::attempt;
using Store::FailureKind;
using namespace std::chrono_literals;

static json object(const std::string &name, int revision, json spec)
{
    return {{"meta", {{"name", name}, {"revision", revision}, {"created_rev", 1}}},
            {"spec", std::move(spec)},
            {"status", nullptr}};
}

namespace {

/// Keeps Poco from printing the exceptions by which the stand-in drops responses.
class QuietErrors : public Poco::ErrorHandler
{
public:
    void exception(const Poco::Exception &) override {}
    void exception(const std::exception &) override {}
    void exception() override {}
};

} // namespace

TEST_GROUP(ObjectStore)
{
    void setup() override
    {
        Poco::ErrorHandler::set(&quiet_);
    }

    QuietErrors quiet_;
    StoreStandin standin_;
    Platform::ObjectStore store_{standin_.endpoint(), 1000ms};

    template<typename F>
    FailureKind failureOfCall(F call)
    {
        const auto result = attempt(call);
        CHECK_TRUE(std::holds_alternative<FailureKind>(result));
        return std::get<FailureKind>(result);
    }
};

TEST(ObjectStore, ListReadsEveryPage)
{
    standin_.enqueueResponse(200, {{"items", {object("a", 3, 1), object("b", 4, 2)}},
                                   {"has_more", true},
                                   {"current_rev", 9}});
    standin_.enqueueResponse(
        200, {{"items", {object("c", 5, 3)}}, {"has_more", false}, {"current_rev", 12}});
    const auto listing = std::get<Store::Listing>(attempt([&] { return store_.list("config/"); }));
    LONGS_EQUAL(3, listing.objects.size());
    STRCMP_EQUAL("config/c", listing.objects[2].key.c_str());
    LONGS_EQUAL(9, listing.revision.number());
    STRCMP_EQUAL("GET /v1/objects/config?after=b ", standin_.requests()[1].c_str());
}

TEST(ObjectStore, ListingOfANeverWrittenKindIsEmptyAndHasARevision)
{
    standin_.enqueueResponse(404, {{"error", "none"}, {"current_rev", 31}});
    const auto listing = std::get<Store::Listing>(attempt([&] { return store_.list("config/"); }));
    LONGS_EQUAL(0, listing.objects.size());
    LONGS_EQUAL(31, listing.revision.number());
}

TEST(ObjectStore, WatchReportsChangesAndDeletions)
{
    standin_.enqueueResponse(
        200, {{"events",
               {{{"deleted", false}, {"object", object("main", 532, {{"version", 3}})}},
                {{"deleted", true}, {"object", object("old", 533, nullptr)}}}},
              {"current_rev", 533}});
    const auto changes = std::get<Store::Changes>(
        attempt([&] { return store_.watch("config/", Store::Revision(530), 20s); }));
    LONGS_EQUAL(2, changes.changes.size());
    STRCMP_EQUAL(R"({"version":3})", changes.changes[0].value->c_str());
    CHECK_FALSE(changes.changes[1].value.has_value());
    STRCMP_EQUAL("GET /v1/objects/config?watch=530&wait_ms=20000 ", standin_.requests()[0].c_str());
}

TEST(ObjectStore, MapsErrorStatusToFailureKind)
{
    const std::pair<int, FailureKind> refusals[] = {{409, FailureKind::Conflict},
                                                    {410, FailureKind::TooOld},
                                                    {429, FailureKind::Overloaded},
                                                    {503, FailureKind::Overloaded},
                                                    {500, FailureKind::Malformed}};
    for (const auto &[status, kind] : refusals) {
        standin_.enqueueResponse(status, object("main", 8, 1));
        CHECK_TRUE(kind == failureOfCall([&] {
                       return store_.write("config/main", "1", Store::IfVersion{Store::Version(7)});
                   }));
    }
    standin_.enqueueResponse(200, {{"items", "no list"}});
    CHECK_TRUE(FailureKind::Malformed == failureOfCall([&] { return store_.list("config/"); }));
}

TEST(ObjectStore, WriteWithoutResponseHasUnknownOutcome)
{
    standin_.enqueueResponse(200, object("main", 8, 1), true);
    CHECK_TRUE(FailureKind::OutcomeUnknown
               == failureOfCall([&] { return store_.write("own/thing", "1", Store::IfAbsent{}); }));
    CHECK_TRUE(standin_.requests()[0].starts_with("POST /v1/objects/own {"));
}

TEST(ObjectStore, ConditionalWriteSendsTheExpectedVersion)
{
    standin_.enqueueResponse(200, object("thing", 9, 1));
    const auto version = std::get<Store::Version>(attempt(
        [&] { return store_.write("own/thing", "1", Store::IfVersion{Store::Version(8)}); }));
    LONGS_EQUAL(9, version.number());
    CHECK_TRUE(standin_.requests()[0].starts_with("PUT /v1/objects/own/thing {"));
    CHECK_TRUE(standin_.requests()[0].find("\"revision\":8") != std::string::npos);
}

static json configuration(int version)
{
    return {{"version", version},
            {"routes", json::array()},
            {"services", json::array()},
            {"limits", json::object()}};
}

/// Runs a follower until \a generation is in force, for 10 s at most. Returns the latest
/// generation.
static Model::Generation followUntil(Platform::ObjectStore &store, int generation)
{
    std::mutex mutex;
    std::condition_variable changed;
    Model::Generation newest{};
    Control::ConfigurationFollower<Platform::ObjectStore>::Options options;
    options.key = Platform::ConfigurationKey;
    options.prefix = "config/";
    options.seed = 1;
    options.decode = Platform::readOperatorConfiguration;
    options.changed = [&](const Model::Configuration &configuration) {
        const std::lock_guard guard(mutex);
        newest = configuration.generation;
        changed.notify_all();
    };
    Control::ConfigurationFollower<Platform::ObjectStore> follower(store, std::move(options));
    std::unique_lock lock(mutex);
    changed.wait_for(lock, 10s, [&] { return newest >= Model::Generation(generation); });
    return newest;
}

TEST(ObjectStore, FollowerResumesAfterErrorsDroppedResponsesAndCompactedHistory)
{
    standin_.enqueueResponse(503, json::object());
    standin_.enqueueResponse(429, json::object());
    standin_.enqueueResponse(404, {{"current_rev", 5}});
    standin_.enqueueResponse(200, {{"events", json::array()}, {"current_rev", 5}}, true);
    standin_.enqueueResponse(410, json::object());
    standin_.enqueueResponse(200, {{"items", {object("main", 7, configuration(3))}},
                                   {"has_more", false},
                                   {"current_rev", 8}});
    standin_.enqueueResponse(
        200, {{"events",
               {{{"deleted", false}, {"object", object("main", 9, configuration(2))}},
                {{"deleted", false}, {"object", object("main", 10, configuration(6))}}}},
              {"current_rev", 10}});
    CHECK_TRUE(Model::Generation(6) == followUntil(store_, 6));
}

TEST(ObjectStore, FollowerIgnoresStaleUnreadableAndUnrelatedObjects)
{
    standin_.enqueueResponse(
        200, {{"items", {object("main", 7, configuration(4)), object("other", 6, "not ours")}},
              {"has_more", false},
              {"current_rev", 8}});
    standin_.enqueueResponse(
        200, {{"events",
               {{{"deleted", false}, {"object", object("main", 9, "unreadable")}},
                {{"deleted", false}, {"object", object("main", 9, configuration(3))}},
                {{"deleted", false}, {"object", object("main", 9, configuration(5))}}}},
              {"current_rev", 9}});
    CHECK_TRUE(Model::Generation(5) == followUntil(store_, 5));
}
