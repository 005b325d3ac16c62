#include "membership/roster.h"

#include "property.h"

using namespace Membership;
using namespace std::chrono_literals;

using TimePoint = Roster::TimePoint;

static const TimePoint start = TimePoint() + 100s;

static Tunnel::Member member(const std::string &name, Tunnel::Role role,
                             const std::string &service = "order-desk")
{
    Tunnel::Member member;
    member.role = role;
    member.instance.name = name;
    member.instance.service = role == Tunnel::Role::Agent ? service : "";
    member.instance.failureDomain = "harbour";
    member.instance.tunnel = {0x0a000000 + std::uint32_t(std::hash<std::string>()(name) % 200) + 1,
                              7000};
    member.instance.peer = {member.instance.tunnel.address, 7001};
    member.instance.incarnation = Model::Incarnation(5);
    return member;
}

static Tunnel::Member agent(const std::string &name, const std::string &service = "order-desk")
{
    return member(name, Tunnel::Role::Agent, service);
}

static Tunnel::Member balancer(const std::string &name)
{
    return member(name, Tunnel::Role::Balancer);
}

static Tunnel::Report reportOf(const Tunnel::Member &sender, std::uint64_t number = 1)
{
    Tunnel::Report report;
    report.sender = sender;
    report.number = number;
    return report;
}

/// Sends what \a part says over the wire and back.
static Tunnel::RosterPart carried(const Tunnel::RosterPart &part)
{
    const auto bytes = Tunnel::encodeDatagram({{}, {}, part});
    const auto received = Tunnel::decodeDatagram(bytes);
    CHECK_TRUE(received.has_value());
    return std::get<Tunnel::RosterPart>(received->datagram.content);
}

static bool teach(TimePoint now, const Roster &keeper, const Tunnel::Member &reader, Roster &roster)
{
    bool changed = false;
    for (const Tunnel::RosterPart &part : keeper.partsFor(now, reader))
        changed |= roster.onRosterPart(now, carried(part));
    return changed;
}

TEST_GROUP(Roster){};

TEST(Roster, AgentTakesOverABalancersViewOfItsService)
{
    Roster keeper(balancer("front-1"));
    for (int index = 0; index < 20; ++index)
        keeper.onReport(start, reportOf(agent("side-" + std::to_string(index))));
    keeper.onReport(start, reportOf(agent("other", "yard-ticket")));
    keeper.onReport(start, reportOf(balancer("front-2")));

    Roster roster(agent("side-3"));
    CHECK_TRUE(teach(start, keeper, agent("side-3"), roster));
    LONGS_EQUAL(19, roster.agents().size());
    LONGS_EQUAL(2, roster.balancers().size());
}

TEST(Roster, DigestsMatchOnceTheViewsDo)
{
    Roster keeper(balancer("front-1"));
    for (int index = 0; index < 20; ++index)
        keeper.onReport(start, reportOf(agent("side-" + std::to_string(index))));
    keeper.onReport(start, reportOf(balancer("front-2")));

    Roster roster(agent("side-3"));
    CHECK_TRUE(roster.digest() != keeper.digestFor(agent("side-3")));
    teach(start, keeper, agent("side-3"), roster);
    CHECK_TRUE(roster.digest() == keeper.digestFor(agent("side-3")));
    CHECK_FALSE(teach(start, keeper, agent("side-3"), roster));

    Roster second(balancer("front-2"));
    teach(start, keeper, balancer("front-2"), second);
    CHECK_TRUE(second.digest() == keeper.digestFor(balancer("front-2")));
}

TEST(Roster, ASilentAgentIsSuspectAndThenLost)
{
    Roster roster(balancer("front-1"));
    roster.onReport(start, reportOf(agent("side-1")));
    CHECK_FALSE(roster.expire(start + SuspectTimeout - 1ms));
    CHECK_TRUE(roster.expire(start + SuspectTimeout));
    CHECK_TRUE(roster.agents()[0].state == Model::InstanceState::Suspect);
    CHECK_TRUE(roster.expire(start + LostTimeout));
    LONGS_EQUAL(0, roster.agents().size());
}

TEST(Roster, AnAgentThatSaidItStopsIsKeptThroughItsRestart)
{
    Roster roster(balancer("front-1"));
    roster.onReport(start, reportOf(agent("side-1")));
    Tunnel::Report finalReports = reportOf(agent("side-1"), 2);
    finalReports.sender.instance.state = Model::InstanceState::Suspect;
    CHECK_TRUE(roster.onReport(start, finalReports));
    roster.expire(start + LostTimeout + 1s);
    LONGS_EQUAL(1, roster.agents().size());
    roster.expire(start + RemovalTimeout);
    LONGS_EQUAL(0, roster.agents().size());
}

TEST(Roster, AMemberThatLeftIsNotBroughtBackByOthers)
{
    Roster roster(balancer("front-1"));
    Roster other(balancer("front-2"));
    other.onReport(start, reportOf(agent("side-1")));
    roster.onReport(start, reportOf(agent("side-1")));
    Tunnel::Report last = reportOf(agent("side-1"), 2);
    last.isLeaving = true;
    CHECK_TRUE(roster.onReport(start, last));
    teach(start, other, balancer("front-1"), roster);
    LONGS_EQUAL(0, roster.agents().size());
    // A new start under the same name is another matter.
    Tunnel::Member again = agent("side-1");
    again.instance.incarnation = Model::Incarnation(6);
    CHECK_TRUE(roster.onReport(start, reportOf(again)));
    LONGS_EQUAL(1, roster.agents().size());
}

TEST(Roster, OneBalancersOmissionDoesNotRemoveAMember)
{
    Roster first(balancer("front-1"));
    Roster second(balancer("front-2"));
    Roster third(balancer("front-3"));
    for (Roster *keeper : {&first, &second, &third}) {
        for (const char *name : {"front-1", "front-2", "front-3"})
            keeper->onReport(start, reportOf(balancer(name)));
    }
    second.onReport(start, reportOf(agent("side-1")));
    Roster roster(agent("side-2"));
    teach(start, second, agent("side-2"), roster);
    LONGS_EQUAL(1, roster.agents().size());
    teach(start, first, agent("side-2"), roster);
    LONGS_EQUAL(1, roster.agents().size());
    teach(start, third, agent("side-2"), roster);
    LONGS_EQUAL(0, roster.agents().size());
}

TEST(Roster, ABalancerHeardOfThroughOthersIsReportedTo)
{
    Roster keeper(balancer("front-1"));
    keeper.onReport(start, reportOf(balancer("front-2")));
    Roster roster(balancer("front-3"));
    teach(start, keeper, balancer("front-3"), roster);
    LONGS_EQUAL(2, roster.balancers().size());
}

TEST(Roster, LateAndOvertakenReportsChangeNothing)
{
    Roster roster(balancer("front-1"));
    roster.onReport(start, reportOf(agent("side-1"), 9));
    Tunnel::Report overtaken = reportOf(agent("side-1"), 8);
    overtaken.sender.instance.state = Model::InstanceState::Draining;
    CHECK_FALSE(roster.onReport(start, overtaken));
    Tunnel::Report late = reportOf(agent("side-1"), 99);
    late.sender.instance.incarnation = Model::Incarnation(4);
    late.sender.instance.state = Model::InstanceState::Draining;
    CHECK_FALSE(roster.onReport(start + 100ms, late));
    // After a step of its clock, a restarted process has a smaller incarnation; its silence tells.
    CHECK_TRUE(roster.onReport(start + 2s, late));
}

TEST(Roster, AnOwnPauseMakesNobodySuspect)
{
    Roster roster(balancer("front-1"));
    roster.onReport(start, reportOf(agent("side-1")));
    roster.onPaused(4000ms);
    CHECK_FALSE(roster.expire(start + 4s));
    LONGS_EQUAL(1, roster.agents().size());
}
