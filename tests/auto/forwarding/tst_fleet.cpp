#include "forwarding/fleet.h"

#include "property.h"

using namespace Fleet;

/// Opens \a count flows and lets their handshakes end.
static void openFlows(World &world, std::size_t count, std::size_t routes = 1)
{
    for (std::size_t number = 0; number < count; ++number) {
        world.open(number % world.balancerCount(), number % routes);
        world.run(20ms);
    }
    world.run(100ms);
}

static std::size_t heldCount(const World &world)
{
    std::size_t held = 0;
    for (std::size_t number = 0; number < world.callerCount(); ++number)
        held += world.isHeld(number);
    return held;
}

/// Sends data on every flow through every balancer; returns the flows of which all arrived.
static std::size_t reachableCount(World &world)
{
    std::size_t reachable = 0;
    for (std::size_t number = 0; number < world.callerCount(); ++number) {
        const auto before = world.reached(number);
        for (std::size_t balancer = 0; balancer < world.balancerCount(); ++balancer) {
            world.sendData(number, balancer);
            world.run(40ms);
        }
        reachable += world.reached(number) - before == world.balancerCount();
    }
    return reachable;
}

TEST_GROUP(Fleet){};

TEST(Fleet, FlowsOpenAndAnyBalancerReachesTheirOwners)
{
    World world(3, 6);
    openFlows(world, 20);
    LONGS_EQUAL(20, heldCount(world));
    LONGS_EQUAL(20, reachableCount(world));
    LONGS_EQUAL(0, world.resets);
}

TEST(Fleet, FlowsSurviveBalancersThatRestartInTurn)
{
    World world(3, 6);
    openFlows(world, 20);
    for (std::size_t index = 0; index < 3; ++index) {
        world.stopBalancer(index);
        world.run(500ms);
        world.startBalancer(index);
        world.run(1000ms);
        LONGS_EQUAL(20, reachableCount(world));
    }
    LONGS_EQUAL(0, world.resets);
}

TEST(Fleet, FlowsSurviveAgentsThatRestartInTurnAndForgetEverything)
{
    World world(3, 6);
    openFlows(world, 20);
    for (std::size_t index = 0; index < 6; ++index) {
        world.stopAgent(index, true);
        for (std::size_t number = 0; number < 20; ++number)
            world.sendData(number, number % 3);
        world.run(600ms);
        world.startAgent(index);
        world.run(1500ms);
        LONGS_EQUAL(20, reachableCount(world));
    }
    LONGS_EQUAL(0, world.resets);
}

TEST(Fleet, FlowsSurviveARestartOfEverythingButTheBackendServers)
{
    World world(3, 12);
    openFlows(world, 30);
    for (std::size_t index = 0; index < 12; ++index)
        world.stopAgent(index, false);
    for (std::size_t index = 0; index < 3; ++index)
        world.stopBalancer(index);
    world.run(700ms);
    for (std::size_t index = 0; index < 3; ++index)
        world.startBalancer(index);
    for (std::size_t index = 0; index < 12; ++index)
        world.startAgent(index);
    world.run(2000ms);
    LONGS_EQUAL(30, reachableCount(world));
    LONGS_EQUAL(0, world.resets);
}

TEST(Fleet, AStartWithoutItsSeedsIsServedByContactsFromTheDirectory)
{
    World world(3, 6);
    std::vector<Model::Endpoint> tunnels;
    for (const Tunnel::Member &member : world.balancer(2).roster().runningMembers())
        tunnels.push_back(member.instance.tunnel);
    LONGS_EQUAL(9, tunnels.size());
    for (std::size_t index = 0; index < 3; ++index)
        world.stopBalancer(index);
    for (std::size_t index = 0; index < 6; ++index) {
        world.stopAgent(index, false);
        world.startAgent(index);
        world.beat(index);
    }
    // The seeds, the first two balancers, stay down.
    world.startBalancer(2);
    world.balancer(2).setLastKnownMembers(tunnels);
    world.run(100ms);
    const auto caller = world.open(2);
    world.run(100ms);
    CHECK_TRUE(world.caller(caller).acknowledgement.has_value());
}

TEST(Fleet, CallersOfABackendServerThatStartedAnewAreToldAtOnce)
{
    World world(3, 6);
    openFlows(world, 20);
    const auto held = heldCount(world);
    world.run(5000ms);
    world.replaceBackend(2, true);
    const auto lost = held - heldCount(world);
    CHECK_TRUE(lost > 0);
    world.beat(2);
    world.run(50ms);
    LONGS_EQUAL(lost, world.resets);
    LONGS_EQUAL(0, world.wrongResets);
}

TEST(Fleet, CallersAreToldWhenEveryAgentDeniesTheFlow)
{
    World world(2, 5);
    openFlows(world, 10);
    for (std::size_t index = 0; index < 5; ++index)
        world.stopAgent(index, false);
    for (std::size_t index = 0; index < 5; ++index) {
        world.replaceBackend(index, false);
        world.startAgent(index);
    }
    world.run(3000ms);
    for (std::size_t number = 0; number < 10; ++number)
        world.sendData(number, number % 2);
    world.run(200ms);
    LONGS_EQUAL(10, world.resets);
    LONGS_EQUAL(0, world.wrongResets);
}

TEST(Fleet, AFlowOfAnAgentThatRestartsIsNotTakenForLost)
{
    World world(2, 4);
    openFlows(world, 12);
    world.stopAgent(1, true);
    for (int step = 0; step < 20; ++step) {
        for (std::size_t number = 0; number < 12; ++number)
            world.sendData(number, (number + std::size_t(step)) % 2);
        world.run(200ms);
    }
    LONGS_EQUAL(0, world.resets);
    world.startAgent(1);
    world.run(1500ms);
    LONGS_EQUAL(12, reachableCount(world));
}

TEST(Fleet, CallersOfALostInstanceAreToldWithinTheShortestDeadline)
{
    World world(2, 4);
    openFlows(world, 12);
    const auto before = heldCount(world);
    world.stopAgent(1, false);
    world.agent(1).backend.isAlive = false;
    const auto lost = before - heldCount(world);
    CHECK_TRUE(lost > 0);
    for (int step = 0; step < 15; ++step) {
        for (std::size_t number = 0; number < 12; ++number) {
            if (!world.caller(number).wasReset)
                world.sendData(number, number % 2);
        }
        world.run(200ms);
    }
    LONGS_EQUAL(lost, world.resets);
    LONGS_EQUAL(0, world.wrongResets);
}

TEST(Fleet, NoNewFlowReachesADrainingBackendServer)
{
    World world(3, 4);
    world.drain(0);
    openFlows(world, 20);
    LONGS_EQUAL(0, world.agent(0).backend.synsAfterDrain);
    // Nor after a restart of its agent, which knows nothing of the drain.
    world.stopAgent(0, false);
    world.startAgent(0);
    openFlows(world, 20);
    world.run(1500ms);
    openFlows(world, 20);
    LONGS_EQUAL(0, world.agent(0).backend.synsAfterDrain);
    LONGS_EQUAL(60, heldCount(world));
}

TEST(Fleet, ACopyOfASynGoesToAnotherAgentAndTheCallersChoiceCounts)
{
    World world(2, 4);
    const auto caller = world.open(0);
    world.run(1ms);
    world.sendSyn(caller, 0, 1);
    world.sendSyn(caller, 1, 2);
    world.run(500ms);
    CHECK_TRUE(world.isHeld(caller));
    LONGS_EQUAL(1, reachableCount(world));
    LONGS_EQUAL(0, world.resets);
}

TEST(Fleet, ADeadFirstChoiceCostsOneCopy)
{
    World world(1, 3);
    for (std::size_t index = 0; index < 3; ++index) {
        world.stopAgent(index, false);
        std::vector<std::size_t> callers;
        callers.reserve(6);
        for (int number = 0; number < 6; ++number)
            callers.push_back(world.open(0));
        world.run(200ms);
        for (const auto caller : callers) {
            if (!world.caller(caller).acknowledgement)
                world.sendSyn(caller, 0, 1);
        }
        world.run(100ms);
        for (const auto caller : callers)
            CHECK_TRUE(world.caller(caller).acknowledgement.has_value());
        world.startAgent(index);
        world.run(2000ms);
    }
}

TEST(Fleet, AServerThatFailsItsRequestsSoonGetsNoNewFlows)
{
    World world(2, 6);
    world.agent(3).backend.responseStatus = 500;
    std::size_t atFailing = 0;
    for (std::size_t number = 0; number < 60; ++number) {
        const auto caller = world.open(number % 2);
        world.run(10ms);
        world.sendData(caller, number % 2);
        world.run(10ms);
        atFailing += number >= 30 && world.caller(caller).owner == 3;
    }
    LONGS_EQUAL(0, atFailing);
    LONGS_EQUAL(60, heldCount(world));
}

TEST(Fleet, AServiceWhoseServersAllFailIsStillReached)
{
    World world(2, 4);
    for (std::size_t index = 0; index < 4; ++index)
        world.agent(index).backend.responseStatus = 500;
    for (std::size_t number = 0; number < 60; ++number) {
        const auto caller = world.open(number % 2);
        world.run(10ms);
        world.sendData(caller, number % 2);
        world.run(10ms);
    }
    LONGS_EQUAL(60, heldCount(world));
}

TEST(Fleet, ServicesNeverMixWhenAnAddressIsUsedByAnother)
{
    World world(2, 6, "yard-ticket");
    openFlows(world, 20, 2);
    LONGS_EQUAL(20, heldCount(world));
    // The instance of one service ends; another service's one starts at its address.
    world.stopAgent(0, false);
    world.replaceBackend(0, false);
    world.agent(0).backend.service = "yard-ticket";
    world.startAgent(0);
    world.beat(0);
    for (int step = 0; step < 10; ++step) {
        for (std::size_t number = 0; number < 20; ++number)
            world.sendData(number, number % 2);
        world.open(std::size_t(step % 2), std::size_t(step % 2));
        world.run(200ms);
    }
    LONGS_EQUAL(0, world.strays);
    LONGS_EQUAL(0, world.wrongResets);
}

TEST(Fleet, ADroppedRouteIsRefusedAndAnUnknownOneWaitedFor)
{
    World world(1, 2);
    Model::Configuration next = world.configuration();
    next.generation = Model::Generation(2);
    next.routes[0].address.port = 444;
    const Model::Endpoint dropped = world.configuration().routes[0].address;
    world.balancer(0).setConfiguration(next);
    Tunnel::TcpPacket syn;
    syn.syn = true;
    syn.flow = {{0x64400007, 9}, dropped};
    using Forwarding::BalancerDrop;
    using Forwarding::ResetFlow;
    CHECK_TRUE(
        std::holds_alternative<ResetFlow>(world.balancer(0).onCallerPacket(world.now(), syn)));
    syn.flow.service.port = 555;
    CHECK_TRUE(std::get<BalancerDrop>(world.balancer(0).onCallerPacket(world.now(), syn))
               == BalancerDrop::UnknownRoute);
    syn.acknowledgement = Forwarding::LastSynRetransmission;
    CHECK_TRUE(
        std::holds_alternative<ResetFlow>(world.balancer(0).onCallerPacket(world.now(), syn)));
}

TEST(Fleet, LateAndForeignBeatsAreNotBelieved)
{
    World world(1, 1);
    Forwarding::AgentCore &core = *world.agent(0).core;
    const Backend &backend = world.agent(0).backend;
    Forwarding::BackendHeartbeat late;
    late.id = "i-before";
    late.service = backend.service;
    late.address = world.agent(0).app;
    late.isDraining = true;
    late.startTimeMs = backend.startTimeMs - 1;
    late.sequence = 99;
    CHECK_TRUE(core.onHeartbeat(world.now(), late) == Forwarding::HeartbeatOutcome::Outdated);
    late.service = "yard-ticket";
    CHECK_TRUE(core.onHeartbeat(world.now(), late) == Forwarding::HeartbeatOutcome::OtherBackend);
    late.service = backend.service;
    late.id = backend.id;
    late.startTimeMs = backend.startTimeMs;
    late.sequence = backend.sequence;
    CHECK_TRUE(core.onHeartbeat(world.now(), late) == Forwarding::HeartbeatOutcome::Outdated);
    CHECK_TRUE(core.status(world.now()).isAccepting);
}

TEST(Fleet, AServerThatStartsAfterAStepOfTheClockIsBelieved)
{
    World world(1, 1);
    Backend &backend = world.agent(0).backend;
    const auto before = backend.startTimeMs;
    backend.isAlive = false;
    world.run(BeatInterval * 3);
    world.replaceBackend(0, false);
    backend.startTimeMs = before - 50;
    world.beat(0);
    world.drain(0);
    CHECK_FALSE(world.agent(0).core->status(world.now()).isAccepting);
    openFlows(world, 4);
    LONGS_EQUAL(0, backend.synsAfterDrain);
}

TEST(Fleet, ControlTrafficOfAnIdleAgentStaysWithinItsBudget)
{
    World world(4, 6);
    std::size_t bytes = 0;
    Forwarding::AgentCore &core = *world.agent(0).core;
    // Ten seconds beyond what the world's own ticks send.
    for (int step = 1; step <= 500; ++step) {
        for (const auto &outgoing : core.tick(world.now() + step * Tick))
            bytes += Tunnel::encodeDatagram(outgoing.datagram).size() + 28;
    }
    CHECK_TRUE(bytes < 10 * 4096);
}

TEST(Fleet, NoFlowOfALivingBackendServerIsEverReset)
{
    checkProperty("no flow of a living backend server is reset",
                  [](const std::vector<std::uint8_t> &steps) {
                      World world(3, 5, "yard-ticket");
                      for (const std::uint8_t step : steps) {
                          ++generatedSteps;
                          const std::size_t what = step / 8;
                          switch (step % 8) {
                          case 0:
                          case 1:
                              world.open(what % 3, what % 2);
                              break;
                          case 2:
                              world.stopAgent(what % 5, what % 2 == 0);
                              break;
                          case 3:
                              if (!world.agent(what % 5).core)
                                  world.startAgent(what % 5);
                              break;
                          case 4:
                              world.startBalancer(what % 3);
                              break;
                          case 5:
                              world.replaceBackend(what % 5, what % 2 == 0);
                              break;
                          case 6:
                              world.lossRate = what % 2 == 0 ? 0 : 0.05;
                              break;
                          default:
                              for (std::size_t number = 0; number < world.callerCount(); ++number)
                                  world.sendData(number, (number + what) % 3);
                          }
                          world.run(std::chrono::milliseconds(20 + what * 10));
                      }
                      RC_ASSERT(world.wrongResets == 0u);
                      RC_ASSERT(world.strays == 0u);
                  });
}
