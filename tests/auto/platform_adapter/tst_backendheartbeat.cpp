#include "platform/backendheartbeat.h"

#include "property.h"

#include <nlohmann/json.hpp>

using nlohmann::json;
using Platform::readHeartbeat;

/// 250 ms after the start of the server in validHeartbeat().
static const std::chrono::system_clock::time_point receiveTime{
    std::chrono::milliseconds(1771795359366)};

static json validHeartbeat()
{
    return {{"service", "huvo11a"}, {"address", "10.128.0.9:8080"},
            {"zone", "lima-a"},     {"version", "v1"},
            {"slots", 3},           {"state", "ready"},
            {"cold_left_ms", 40},   {"sequence", 4},
            {"born", 1771795359116}};
}

TEST_GROUP(BackendHeartbeat){};

TEST(BackendHeartbeat, ParsesEveryField)
{
    const auto heartbeat = readHeartbeat("i-1", validHeartbeat().dump(), receiveTime);
    CHECK_TRUE(heartbeat.has_value());
    STRCMP_EQUAL("i-1", heartbeat->id.c_str());
    STRCMP_EQUAL("huvo11a", heartbeat->service.c_str());
    CHECK_TRUE(heartbeat->address == (Model::Endpoint{0x0a800009, 8080}));
    LONGS_EQUAL(3, heartbeat->slots);
    CHECK_FALSE(heartbeat->isDraining);
    LONGS_EQUAL(40, heartbeat->warmUpRemaining.count());
    LONGS_EQUAL(250, heartbeat->age.count());
    LONGS_EQUAL(1771795359116, heartbeat->startTimeMs);
    LONGS_EQUAL(4, heartbeat->sequence);
}

TEST(BackendHeartbeat, ReadsTheStartThatEnds)
{
    const auto departure = Platform::readDeparture("i-1", R"({"born": 1771795359116})");
    STRCMP_EQUAL("i-1", departure.id.c_str());
    CHECK_TRUE(departure.startTimeMs == 1771795359116);
    for (const char *body : {"", "{}", "[]", "{\"born\": \"yesterday\"}", "\xff"})
        CHECK_FALSE(Platform::readDeparture("i-1", body).startTimeMs.has_value());
}

TEST(BackendHeartbeat, RejectsMissingMistypedAndInvalidFields)
{
    for (const char *key : {"service", "address", "zone", "slots", "state", "sequence", "born"}) {
        json missing = validHeartbeat();
        missing.erase(key);
        CHECK_FALSE(readHeartbeat("i-1", missing.dump(), receiveTime).has_value());
        json mistyped = validHeartbeat();
        mistyped[key] = json::array();
        CHECK_FALSE(readHeartbeat("i-1", mistyped.dump(), receiveTime).has_value());
    }
    json unknownState = validHeartbeat();
    unknownState["state"] = "napping";
    CHECK_FALSE(readHeartbeat("i-1", unknownState.dump(), receiveTime).has_value());
    json fraction = validHeartbeat();
    fraction["born"] = 1.5;
    CHECK_FALSE(readHeartbeat("i-1", fraction.dump(), receiveTime).has_value());
    json negative = validHeartbeat();
    negative["slots"] = -1;
    CHECK_FALSE(readHeartbeat("i-1", negative.dump(), receiveTime).has_value());
}

TEST(BackendHeartbeat, AnyBodyIsParsedOrRejected)
{
    checkProperty("any body is parsed or rejected", [](const std::string &body) {
        generatedSteps += 10;
        readHeartbeat("i-1", body, receiveTime);
    });
}
