#include "forwarding/balancercore.h"
#include "forwarding/reportscheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace Forwarding;
using namespace std::chrono_literals;

static const TimePoint start = TimePoint() + 100s;

static Tunnel::Report reportOf(const std::string &name, Tunnel::Role role, std::size_t number,
                               const std::string &domain)
{
    Tunnel::Report report;
    report.sender.role = role;
    report.sender.instance.name = name + std::to_string(number);
    report.sender.instance.service = role == Tunnel::Role::Agent ? "order-desk" : "";
    report.sender.instance.failureDomain = domain;
    const std::uint32_t net = role == Tunnel::Role::Agent ? 0x0a020000 : 0x0a010000;
    report.sender.instance.tunnel = {net + std::uint32_t(number) + 1, 7000};
    report.sender.instance.incarnation = Model::Incarnation(1);
    return report;
}

static std::string domainOf(std::size_t number)
{
    return "domain-" + std::to_string(number % 5);
}

/// Returns a roster with \a count balancers in five failure domains.
static Membership::Roster rosterOf(std::size_t count)
{
    Membership::Roster roster(reportOf("side-", Tunnel::Role::Agent, 0, "domain-0").sender);
    for (std::size_t number = 0; number < count; ++number)
        roster.onReport(start,
                        reportOf("front-", Tunnel::Role::Balancer, number, domainOf(number)));
    return roster;
}

TEST_GROUP(ReportScheduler){};

TEST(ReportScheduler, NewBalancerAloneGetsAReportAtOnce)
{
    const auto roster = rosterOf(20);
    ReportScheduler scheduler("domain-0");
    LONGS_EQUAL(20, scheduler.due(start, roster).size());
    LONGS_EQUAL(0, scheduler.due(start + 5ms, roster).size());
    const auto tunnel = roster.balancers()[7].tunnel;
    scheduler.onNewBalancer(tunnel);
    const auto receivers = scheduler.due(start + 10ms, roster);
    LONGS_EQUAL(1, receivers.size());
    CHECK_TRUE(receivers[0].tunnel == tunnel);
    CHECK_FALSE(receivers[0].isAskedForRoster);
    LONGS_EQUAL(0, scheduler.due(start + 15ms, roster).size());
}

/// Two of three rosters come from the own failure domain, all of its balancers are asked in turn,
/// and so are all others.
TEST(ReportScheduler, RostersComeFromTheOwnFailureDomainMostly)
{
    const auto roster = rosterOf(20);
    ReportScheduler scheduler("domain-0");
    std::map<Model::Endpoint, int> asked;
    const auto balancers = roster.balancers();
    int inDomain = 0;
    for (int round = 0; round < 60; ++round) {
        for (const auto &receiver :
             scheduler.due(start + round * Membership::ReportInterval, roster)) {
            if (!receiver.isAskedForRoster)
                continue;
            ++asked[receiver.tunnel];
            const auto balancer =
                std::find_if(balancers.begin(), balancers.end(), [&receiver](const auto &known) {
                    return known.tunnel == receiver.tunnel;
                });
            inDomain += balancer->failureDomain == "domain-0";
        }
    }
    LONGS_EQUAL(20, asked.size());
    LONGS_EQUAL(40 + 4, inDomain);
}

TEST(ReportScheduler, ASingleBalancerOfTheDomainIsNotTheOnlySource)
{
    const auto roster = rosterOf(5);
    ReportScheduler scheduler("domain-0");
    std::map<Model::Endpoint, int> asked;
    for (int round = 0; round < 10; ++round) {
        for (const auto &receiver :
             scheduler.due(start + round * Membership::ReportInterval, roster))
            asked[receiver.tunnel] += receiver.isAskedForRoster;
    }
    for (const auto &[tunnel, count] : asked)
        LONGS_EQUAL(2, count);
}

/// Load that grows with the square of the balancers: each of them once told each other one of
/// every change of an agent, which that agent tells all of them itself.
TEST(ReportScheduler, ChangeOfAnAgentCausesNoReportsBetweenBalancers)
{
    const Tunnel::Member self = reportOf("front-", Tunnel::Role::Balancer, 99, "domain-0").sender;
    BalancerCore core(start, {self, true, 60s});
    for (std::size_t number = 0; number < 20; ++number)
        core.onDatagram(
            start, {{}, {}, reportOf("front-", Tunnel::Role::Balancer, number, domainOf(number))});
    core.onDatagram(start, {{}, {}, reportOf("side-", Tunnel::Role::Agent, 1, "domain-1")});
    LONGS_EQUAL(20, core.tick(start).size());
    auto changed = reportOf("side-", Tunnel::Role::Agent, 1, "domain-1");
    changed.number = 2;
    changed.sender.instance.state = Model::InstanceState::Draining;
    core.onDatagram(start + 50ms, {{}, {}, changed});
    LONGS_EQUAL(0, core.tick(start + 50ms).size());
    core.onDatagram(start + 60ms,
                    {{}, {}, reportOf("front-", Tunnel::Role::Balancer, 20, domainOf(20))});
    LONGS_EQUAL(1, core.tick(start + 60ms).size());
}
