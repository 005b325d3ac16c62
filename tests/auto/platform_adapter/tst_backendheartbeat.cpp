#include "platform/backendheartbeat.h"

#include "property.h"

#include <nlohmann/json.hpp>

using nlohmann::json;
using Platform::readHeartbeat;

static json goodBeat()
{
    return {{"service", "huvo11a"}, {"address", "10.128.0.9:8080"},
            {"zone", "lima-a"},     {"version", "v1"},
            {"slots", 3},           {"state", "ready"},
            {"cold_left_ms", 40},   {"sequence", 4},
            {"born", 1771795359116}};
}

TEST_GROUP(BackendBeats){};

TEST(BackendBeats, ReadsEveryField)
{
    const auto beat = readHeartbeat("i-1", goodBeat().dump());
    CHECK_TRUE(beat.has_value());
    STRCMP_EQUAL("i-1", beat->id.c_str());
    STRCMP_EQUAL("huvo11a", beat->service.c_str());
    CHECK_TRUE(beat->address == (Model::Endpoint{0x0a800009, 8080}));
    LONGS_EQUAL(3, beat->slots);
    CHECK_FALSE(beat->isDraining);
    LONGS_EQUAL(40, beat->warmUpRemaining.count());
    LONGS_EQUAL(1771795359116, beat->startTimeMs);
    LONGS_EQUAL(4, beat->sequence);
}

TEST(BackendBeats, RefusesMissingAndMistypedFields)
{
    for (const char *key : {"service", "address", "zone", "slots", "state", "sequence", "born"}) {
        json missing = goodBeat();
        missing.erase(key);
        CHECK_FALSE(readHeartbeat("i-1", missing.dump()).has_value());
        json mistyped = goodBeat();
        mistyped[key] = json::array();
        CHECK_FALSE(readHeartbeat("i-1", mistyped.dump()).has_value());
    }
    json unknownState = goodBeat();
    unknownState["state"] = "napping";
    CHECK_FALSE(readHeartbeat("i-1", unknownState.dump()).has_value());
    json fraction = goodBeat();
    fraction["born"] = 1.5;
    CHECK_FALSE(readHeartbeat("i-1", fraction.dump()).has_value());
    json negative = goodBeat();
    negative["slots"] = -1;
    CHECK_FALSE(readHeartbeat("i-1", negative.dump()).has_value());
}

TEST(BackendBeats, AnyBodyIsReadOrRefused)
{
    checkProperty("any body is read or refused", [](const std::string &body) {
        generatedSteps += 10;
        readHeartbeat("i-1", body);
    });
}
