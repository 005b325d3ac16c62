#include "placement/agentselector.h"

#include "property.h"

using namespace Placement;
using namespace std::chrono_literals;

static const TimePoint start = TimePoint() + 100s;

static Model::Instance instance(const std::string &name, const std::string &domain,
                                Model::InstanceState state = Model::InstanceState::Ready)
{
    Model::Instance instance;
    instance.name = name;
    instance.service = "order-desk";
    instance.failureDomain = domain;
    instance.tunnel = {0x0a000001, 7000};
    instance.state = state;
    return instance;
}

static Routing::ServiceTable tableOf(std::vector<Model::Instance> instances)
{
    Model::Service service;
    service.name = "order-desk";
    return {service, std::move(instances)};
}

static Tunnel::Report load(const std::string &name, std::uint32_t waiting,
                           std::chrono::microseconds answerTime)
{
    Tunnel::Report report;
    report.sender.instance.name = name;
    report.waiting = waiting;
    report.slots = 3;
    report.answerTime = answerTime;
    return report;
}

static bool isFirst(const Routing::Chain &chain, const std::string &name)
{
    return !chain.isEmpty() && chain[0].instance == Model::instanceId(name);
}

TEST_GROUP(AgentSelector){};

TEST(AgentSelector, TheOwnFailureDomainComesFirstWhileItHasRoom)
{
    const auto table = tableOf({instance("near", "harbour"), instance("far", "portmore")});
    AgentSelector board("harbour");
    board.onReport(load("near", 0, 20ms));
    board.onReport(load("far", 0, 20ms));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "near"));
    board.onReport(load("near", 9, 20ms));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "far"));
}

TEST(AgentSelector, ASlowServerLosesItsShare)
{
    const auto table = tableOf({instance("fast", "harbour"), instance("slow", "harbour")});
    AgentSelector board("harbour");
    board.onReport(load("fast", 2, 15ms));
    board.onReport(load("slow", 0, 100ms));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "fast"));
}

TEST(AgentSelector, FlowsPlacedSinceTheLastReportCount)
{
    const auto table = tableOf({instance("a", "harbour"), instance("b", "harbour")});
    AgentSelector board("harbour");
    board.onReport(load("a", 0, 20ms));
    board.onReport(load("b", 1, 20ms));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "a"));
    for (int flow = 0; flow < 2; ++flow)
        board.onPlaced(start, Model::instanceId("a"));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "b"));
}

TEST(AgentSelector, AnAgentThatSaysNothingAfterAFlowIsAskedLast)
{
    const auto table = tableOf({instance("dead", "harbour"), instance("alive", "harbour")});
    AgentSelector board("harbour");
    board.onReport(load("dead", 0, 10ms));
    board.onReport(load("alive", 3, 40ms));
    board.onPlaced(start, Model::instanceId("dead"));
    CHECK_TRUE(isFirst(board.order(start + PlacementReportTimeout, table, {}), "dead"));
    CHECK_TRUE(isFirst(board.order(start + PlacementReportTimeout + 1ms, table, {}), "alive"));
    board.onReport(load("dead", 0, 10ms));
    CHECK_TRUE(isFirst(board.order(start + 200ms, table, {}), "dead"));
}

TEST(AgentSelector, AgentsThatWereTriedComeLast)
{
    const auto table = tableOf({instance("a", "harbour"), instance("b", "harbour")});
    AgentSelector board("harbour");
    board.onReport(load("a", 0, 10ms));
    board.onReport(load("b", 5, 50ms));
    const std::vector tried{Model::instanceId("a")};
    const auto chain = board.order(start, table, tried);
    CHECK_TRUE(isFirst(chain, "b"));
    LONGS_EQUAL(2, chain.size());
}

TEST(AgentSelector, OnlyReadyAgentsGetNewFlows)
{
    const auto table = tableOf({instance("draining", "harbour", Model::InstanceState::Draining),
                                instance("suspect", "harbour", Model::InstanceState::Suspect)});
    CHECK_TRUE(AgentSelector("harbour").order(start, table, {}).isEmpty());
}

static Tunnel::Report failing(const std::string &name, double share)
{
    Tunnel::Report report = load(name, 0, 2ms);
    report.failureShare = share;
    return report;
}

TEST(AgentSelector, AServerThatFailsFastDrawsNoLoad)
{
    const auto table = tableOf({instance("good", "harbour"), instance("bad", "harbour")});
    AgentSelector board("harbour");
    board.onReport(load("good", 3, 40ms));
    board.onReport(failing("bad", OutlierFailureShare));
    const auto chain = board.order(start, table, {});
    LONGS_EQUAL(1, chain.size());
    CHECK_TRUE(isFirst(chain, "good"));
    // A few failures cost it share, but do not exclude it.
    board.onReport(load("good", 1, 40ms));
    board.onReport(failing("bad", OutlierFailureShare / 2));
    LONGS_EQUAL(2, board.order(start, table, {}).size());
    CHECK_TRUE(isFirst(board.order(start, table, {}), "good"));
    board.onReport(load("good", 30, 40ms));
    CHECK_TRUE(isFirst(board.order(start, table, {}), "bad"));
}

TEST(AgentSelector, FailuresOfMostServersExcludeNone)
{
    const auto table =
        tableOf({instance("a", "harbour"), instance("b", "harbour"), instance("c", "harbour")});
    AgentSelector board("harbour");
    board.onReport(failing("a", 0.9));
    board.onReport(load("b", 0, 20ms));
    board.onReport(load("c", 0, 20ms));
    LONGS_EQUAL(2, board.order(start, table, {}).size());
    board.onReport(failing("b", 0.9));
    LONGS_EQUAL(3, board.order(start, table, {}).size());
}
