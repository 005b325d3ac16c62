#include "forwarding/heldsynqueue.h"

#include "property.h"

using namespace Forwarding;
using namespace std::chrono_literals;

static const HeldSynQueue::TimePoint start = HeldSynQueue::TimePoint() + 100s;

static Tunnel::TcpPacket syn(std::uint16_t port, std::uint32_t transmission = 0)
{
    Tunnel::TcpPacket packet;
    packet.flow = {{0x64400007, port}, {0xc6120001, 443}};
    packet.syn = true;
    packet.acknowledgement = transmission;
    return packet;
}

TEST_GROUP(HeldSynQueue){};

TEST(HeldSynQueue, TakesNewestTimelySynFirst)
{
    HeldSynQueue queue;
    queue.hold(start, {}, syn(1, 1));
    queue.hold(start + 1ms, {}, syn(2));
    queue.hold(start + 2ms, {}, syn(3));
    LONGS_EQUAL(3, queue.take(start + 10ms)->packet.flow.caller.port);
    LONGS_EQUAL(2, queue.take(start + 10ms)->packet.flow.caller.port);
    LONGS_EQUAL(1, queue.take(start + 10ms)->packet.flow.caller.port);
}

TEST(HeldSynQueue, TakesLateSynsNewestFirst)
{
    HeldSynQueue queue;
    queue.hold(start, {}, syn(1));
    queue.hold(start + 1ms, {}, syn(2));
    const auto later = start + 2ms + TimelyHoldLimit;
    LONGS_EQUAL(2, queue.take(later)->packet.flow.caller.port);
    LONGS_EQUAL(1, queue.take(later)->packet.flow.caller.port);
}

TEST(HeldSynQueue, RetransmissionReplacesEarlierSyn)
{
    HeldSynQueue queue;
    queue.hold(start, {}, syn(1));
    queue.hold(start + 200ms, {}, syn(1, 1));
    LONGS_EQUAL(1, queue.size());
    LONGS_EQUAL(0, queue.expire(start + 300ms).size());
    LONGS_EQUAL(1, queue.expire(start + 600ms).size());
    LONGS_EQUAL(0, queue.size());
}

TEST(HeldSynQueue, HoldsAtMostMaxHeldSyns)
{
    HeldSynQueue queue;
    for (std::size_t port = 1; port <= MaxHeldSyns; ++port)
        CHECK_TRUE(queue.hold(start, {}, syn(std::uint16_t(port))));
    CHECK_FALSE(queue.hold(start, {}, syn(65000)));
}
