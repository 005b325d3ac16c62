#include "platform/operatorconfiguration.h"

#include "property.h"

using Platform::readOperatorConfiguration;

static const char *const published = R"({"version":7,"routes":[
{"name":"r-a3hwrr6","host":"198.18.0.1","path_prefix":"/8443/","route_type":"safe","timeout_ms":2000,
 "weighted_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]},
{"name":"r-i9n73hh","host":"198.18.0.2","path_prefix":"/8443/","route_type":"upload",
 "service":"wuno96b","max_attempts":2}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":2000},{"name":"wuno96b"}],
"limits":{"header_bytes":16384,"idle_timeout_ms":15000}})";

TEST_GROUP(OperatorConfiguration){};

TEST(OperatorConfiguration, ParsesThePublishedExample)
{
    const auto configuration = readOperatorConfiguration(published);
    CHECK_TRUE(configuration.has_value());
    CHECK_TRUE(configuration->generation == Model::Generation(7));
    LONGS_EQUAL(2, configuration->services.size());
    LONGS_EQUAL(2, configuration->routes.size());
    CHECK_TRUE(configuration->routes[0].address == (Model::Endpoint{0xc6120001, 8443}));
    LONGS_EQUAL(2, configuration->routes[0].targets.size());
    LONGS_EQUAL(90, configuration->routes[0].targets[0].weight);
    STRCMP_EQUAL("wuno96b", configuration->routes[1].targets[0].service.c_str());
    LONGS_EQUAL(15000, configuration->idleFlowTimeout.count());
}

TEST(OperatorConfiguration, AnyValueIsParsedOrRejected)
{
    CHECK_FALSE(readOperatorConfiguration("null").has_value());
    CHECK_FALSE(readOperatorConfiguration(R"({"version":"x"})").has_value());
    checkProperty("any value is parsed or rejected", [](const std::string &value) {
        generatedSteps += 10;
        readOperatorConfiguration(value);
    });
}
