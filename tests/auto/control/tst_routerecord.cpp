#include "control/routerecord.h"

#include "property.h"

using namespace Control;
using namespace std::chrono_literals;

static RouteRecord sampleRecord()
{
    const Model::Endpoint address{0xc6120001, 443};
    RouteRecord record;
    record.timeline = Store::Timeline(2);
    record.targets.generation = Model::Generation(7);
    record.targets.inForce[address] = {{"order-desk", 9}, {"yard-ticket", 1}};
    record.targets.former[address] = {{{"order-desk", 1}}, {{"yard-ticket", 3}}};
    return record;
}

TEST_GROUP(RouteRecord){};

TEST(RouteRecord, IsDecodedAsEncoded)
{
    const auto decoded = decodeRouteRecord(encodeRouteRecord(sampleRecord()));
    CHECK_TRUE(decoded == sampleRecord());
}

/// A record that can't be read in full must not be trusted: what is missing would count as calm.
TEST(RouteRecord, MalformedRecordIsRefusedAsAWhole)
{
    const std::string encoded = encodeRouteRecord(sampleRecord());
    CHECK_FALSE(decodeRouteRecord("").has_value());
    CHECK_FALSE(decodeRouteRecord("null").has_value());
    CHECK_FALSE(decodeRouteRecord("[]").has_value());
    for (const auto &[part, replacement] :
         {std::pair(R"("198.18.0.1:443")", R"("198.18.0.1")"), std::pair(R"("former")", R"("x")"),
          std::pair(R"(["order-desk",9])", R"(["order-desk"])"),
          std::pair(R"("generation":7)", R"("generation":"7")")}) {
        std::string changed = encoded;
        const auto at = changed.find(part);
        CHECK_TRUE(at != std::string::npos);
        changed.replace(at, std::string(part).size(), replacement);
        CHECK_FALSE(decodeRouteRecord(changed).has_value());
    }
}

TEST(RouteRecord, IsReadAgainAFewTimesWhileTargetsAreMissing)
{
    const auto start = RecordRetryPolicy::TimePoint() + 1000s;
    RecordRetryPolicy policy;
    int reads = 0;
    for (auto now = start; now < start + 120s; now += 100ms)
        reads += policy.isDue(now, true, Model::Generation(1));
    LONGS_EQUAL(4, reads);
    // The next configuration is recorded again.
    CHECK_FALSE(policy.isDue(start + 120s, true, Model::Generation(2)));
    CHECK_TRUE(policy.isDue(start + 122s, true, Model::Generation(2)));
    CHECK_FALSE(policy.isDue(start + 130s, false, Model::Generation(2)));
}
