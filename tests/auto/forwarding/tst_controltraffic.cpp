#include "forwarding/balancercore.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace Forwarding;
using namespace std::chrono_literals;

static const TimePoint start = TimePoint() + 100s;

/// Share of the members that are balancers, as on the largest deployment.
static constexpr double BalancerShare = 0.3;

/// Size of the IP and UDP headers.
static constexpr std::size_t HeaderBytes = 28;

/// How much more control a node may send at 1,000 members than at 200.
static constexpr double MaxGrowth = 1.5;

static Tunnel::Member balancerNumber(std::size_t number)
{
    Tunnel::Member member;
    member.role = Tunnel::Role::Balancer;
    member.instance.name = "front-kgn-harbour-" + std::to_string(number);
    member.instance.failureDomain = "kgn-" + std::to_string(number % 5);
    member.instance.tunnel = {0x0a010000 + std::uint32_t(number) + 1, 7400};
    member.instance.peer = {member.instance.tunnel.address, 7401};
    member.instance.incarnation = Model::Incarnation(1'788'184'355'843'000 + number);
    return member;
}

/// Returns the bytes that a balancer in a calm system of \a members sends in a second.
static double bytesPerSecond(std::size_t members)
{
    const std::size_t balancers = std::size_t(double(members) * BalancerShare);
    BalancerCore core(start, {balancerNumber(0), true, 60s});
    std::size_t bytes = 0;
    // Longer than three periods of reports; the first second is the start.
    for (int tick = 0; tick < 300; ++tick) {
        const TimePoint now = start + tick * 20ms;
        // Each other balancer reports several times before it would be suspect.
        for (std::size_t number = 1; tick % 15 == 0 && number < balancers; ++number) {
            Tunnel::Report report;
            report.sender = balancerNumber(number);
            report.number = std::uint64_t(tick) + 1;
            core.onDatagram(now, {{}, {}, report});
        }
        for (const OutgoingDatagram &outgoing : core.tick(now)) {
            if (tick >= 50)
                bytes += Tunnel::encodeDatagram(outgoing.datagram).size() + HeaderBytes;
        }
    }
    return double(bytes) / 5;
}

TEST_GROUP(ControlTraffic){};

/// What a node tells the others must not grow with the size of the system.
TEST(ControlTraffic, BytesOfANodeStayFlatFrom200To1000Members)
{
    const double small = bytesPerSecond(200);
    const double large = bytesPerSecond(1000);
    std::printf("control of a balancer: %.0f bytes/s at 200 members, %.0f at 1000\n", small, large);
    CHECK_TRUE(small > 0);
    CHECK_TRUE(large < MaxGrowth * small);
}
