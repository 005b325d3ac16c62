#include "routing/routehistory.h"
#include "routing/routingtable.h"

#include "property.h"

using namespace Routing;
using namespace std::chrono_literals;

static const RouteHistory::TimePoint start = RouteHistory::TimePoint() + 1000s;
static constexpr std::chrono::seconds MaxFlowAge{60};
static const Model::Endpoint first{0xc6120001, 443};
static const Model::Endpoint second{0xc6120002, 443};

/// Returns a configuration of the services a, b and c, whose two routes have the given targets.
static Model::Configuration configurationOf(std::uint64_t generation, const Targets &ofFirst,
                                            const Targets &ofSecond = {{"c", 1}})
{
    Model::Configuration configuration;
    configuration.generation = Model::Generation(generation);
    for (const char *name : {"a", "b", "c"}) {
        Model::Service service;
        service.name = name;
        configuration.services.push_back(service);
    }
    configuration.routes = {{first, ofFirst}, {second, ofSecond}};
    return configuration;
}

/// Returns the history of a process that saw the first start and all of \a configurations.
static RouteHistory historyOf(const std::vector<Model::Configuration> &configurations)
{
    RouteHistory history(start, true, MaxFlowAge);
    Model::Configuration previous;
    for (const Model::Configuration &next : configurations) {
        history.onConfiguration(start, previous, next, Succession::Direct);
        previous = next;
    }
    return history;
}

TEST_GROUP(RouteHistory){};

TEST(RouteHistory, KeepsReplacedTargetsUntilTheirFlowsHaveEnded)
{
    RouteHistory history =
        historyOf({configurationOf(1, {{"a", 1}}), configurationOf(2, {{"b", 1}})});
    CHECK_TRUE(history.isComplete());
    const auto former = history.former();
    LONGS_EQUAL(1, former.byAddress.size());
    CHECK_TRUE(former.byAddress.at(first) == std::vector<Targets>({{{"a", 1}}}));
    CHECK_FALSE(history.expire(start + MaxFlowAge));
    CHECK_TRUE(history.expire(start + MaxFlowAge + ConfigurationSpread));
    CHECK_TRUE(history.former().byAddress.empty());
}

TEST(RouteHistory, ForgetsTheTargetsOfADroppedRoute)
{
    Model::Configuration dropped = configurationOf(3, {{"b", 1}});
    dropped.routes.erase(dropped.routes.begin());
    const RouteHistory history =
        historyOf({configurationOf(1, {{"a", 1}}), configurationOf(2, {{"b", 1}}), dropped,
                   configurationOf(4, {{"c", 1}})});
    CHECK_TRUE(history.former().byAddress.empty());
}

TEST(RouteHistory, IsIncompleteAfterAStartAndAfterASkippedConfiguration)
{
    RouteHistory started(start, false, MaxFlowAge);
    CHECK_FALSE(started.isComplete());
    CHECK_TRUE(started.expire(start + MaxFlowAge + ConfigurationSpread));
    CHECK_TRUE(started.isComplete());

    RouteHistory skipped = historyOf({configurationOf(1, {{"a", 1}})});
    skipped.onConfiguration(start, configurationOf(1, {{"a", 1}}), configurationOf(3, {{"a", 1}}),
                            Succession::Unknown);
    CHECK_FALSE(skipped.isComplete());
}

TEST(RouteHistory, LateFirstConfigurationOfTheSystemMayNotBeTheFirst)
{
    RouteHistory history(start, true, MaxFlowAge);
    history.onConfiguration(start + 10s, {}, configurationOf(1, {{"a", 1}}), Succession::Unknown);
    CHECK_FALSE(history.isComplete());
}

TEST(RouteHistory, LearnsFromARecordOfTheConfigurationInForce)
{
    const Model::Configuration current = configurationOf(2, {{"b", 1}});
    const TargetsRecord record =
        historyOf({configurationOf(1, {{"a", 1}}), current}).record(current);
    RouteHistory history(start, false, MaxFlowAge);
    history.onConfiguration(start, {}, current, Succession::Unknown);
    history.merge(start, record, current, false);
    CHECK_TRUE(history.isComplete());
    CHECK_TRUE(history.former().byAddress.at(first) == std::vector<Targets>({{{"a", 1}}}));
    CHECK_TRUE(history.former().unknown.empty());
}

TEST(RouteHistory, PresumesThatEqualTargetsInAnOlderRecordAreUnchanged)
{
    const Model::Configuration recorded = configurationOf(1, {{"a", 1}});
    const Model::Configuration current = configurationOf(5, {{"b", 1}});
    const TargetsRecord record = historyOf({recorded}).record(recorded);
    for (const bool presumesUnchanged : {false, true}) {
        RouteHistory history(start, false, MaxFlowAge);
        history.onConfiguration(start, {}, current, Succession::Unknown);
        history.merge(start, record, current, presumesUnchanged);
        CHECK_TRUE(history.isComplete() == presumesUnchanged);
        if (!presumesUnchanged)
            continue;
        // What the changed route had in between is not known.
        CHECK_TRUE(history.former().unknown == std::set<Model::Endpoint>({first}));
        CHECK_TRUE(history.former().byAddress.at(first) == std::vector<Targets>({{{"a", 1}}}));
        CHECK_FALSE(history.record(current).inForce.contains(first));
    }
}

TEST(RouteHistory, MoreChangesThanAreKeptMakeAnAddressUnknown)
{
    RouteHistory history(start, true, MaxFlowAge);
    Model::Configuration previous;
    for (std::uint32_t weight = 1; weight <= MaxFormerTargets + 2; ++weight) {
        const Model::Configuration next = configurationOf(weight, {{"a", 1}, {"b", weight}});
        history.onConfiguration(start, previous, next, Succession::Direct);
        previous = next;
    }
    LONGS_EQUAL(MaxFormerTargets, history.former().byAddress.at(first).size());
    CHECK_TRUE(history.former().unknown.contains(first));
}

TEST(RouteHistory, SelectsTheSameServiceAsTheRoutingTable)
{
    checkProperty("targets select the same service as a routing table", [] {
        const Targets targets{{"a", *rc::gen::inRange<std::uint32_t>(0, 100)},
                              {"b", *rc::gen::inRange<std::uint32_t>(0, 100)},
                              {"c", *rc::gen::inRange<std::uint32_t>(1, 100)}};
        const Model::Configuration configuration = configurationOf(1, targets);
        const auto table = RoutingTable::build(configuration, {}, {}, 1);
        const Targets effective = targetsByAddress(configuration).at(first);
        for (int flow = 0; flow < 10; ++flow) {
            ++generatedSteps;
            const auto hash = *rc::gen::arbitrary<std::uint64_t>();
            RC_ASSERT(table->pickByWeight(first, hash)->service().name
                      == selectService(effective, hash));
        }
    });
}

TEST(RouteHistory, RouteWithoutConfiguredServiceStaysARoute)
{
    Model::Configuration configuration = configurationOf(1, {{"a", 1}});
    configuration.services.erase(configuration.services.begin());
    Model::Instance instance;
    instance.name = "agent-1";
    instance.service = "a";
    instance.tunnel = {0x7f000001, 1000};
    const auto table = RoutingTable::build(configuration, {instance}, {}, 1);
    CHECK_TRUE(table->hasRoute(first));
    POINTERS_EQUAL(nullptr, table->pickByWeight(first, 1));
    const auto owners = table->possibleOwners(first, 1, nullptr);
    LONGS_EQUAL(1, owners.size());
    STRCMP_EQUAL("a", owners.front()->service().name.c_str());
}
