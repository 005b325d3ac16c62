// Packets of flows that an agent does not own: whom it passes them to, and when it resets a flow.

#include "flows/ownersearch.h"
#include "forwarding/agentcore.h"

namespace Forwarding {

AgentVerdict AgentCore::forwardSearch(TimePoint now, const Tunnel::PacketHeader &header,
                                      const Tunnel::TcpPacket &packet)
{
    if (header.originSearches)
        return Flows::DropCause::NoOwner;
    // The next agents can't tell whom this table lacks.
    Tunnel::PacketHeader searched = header;
    searched.findings.merge(viewFindings(now));
    const auto forward = [&header, this](const Tunnel::PacketHeader &next) {
        return ForwardPacket{{service_, header.generation, next}, next.chain[0].tunnel};
    };
    if (const auto next = Flows::continueSearch(*table_, searched, packet.flow, false))
        return forward(*next);
    if (header.passes >= Flows::MaxSearchPasses)
        searched.findings.add(Routing::SearchGap::ServerNotAsked);
    if (header.originContinues) {
        if (!header.origin.isValid())
            return Flows::DropCause::NoOwner;
        return ReturnToOrigin{{service_, header.generation, searched}, header.origin};
    }
    // A balancer with an older configuration does not know all services that may own the flow.
    if (header.generation < newestGeneration_)
        searched.findings.add(Routing::SearchGap::ServicesUnknown);
    const Routing::SearchConclusion conclusion = searched.findings.conclusion(header.asksServers);
    if (conclusion == Routing::SearchConclusion::AskServers) {
        if (const auto next = Flows::searchAtServers(*table_, searched, packet.flow))
            return forward(*next);
    }
    if (const auto next = Flows::continueSearch(*table_, searched, packet.flow, true))
        return forward(*next);
    if (packet.rst || packet.opensFlow() || conclusion != Routing::SearchConclusion::Reset)
        return Flows::DropCause::NoOwner;
    return ResetFlow{
        packet.flow,
        packet.acknowledgement,
        {options_.self.instance.service},
        denialBasis(now, started_, lastRosterChange_, roster_, backend_ ? backend_->sequence : 0)};
}

/// Returns what this agent knows of agents of the service that packets can't reach, and whether it
/// may not know all of them: no balancer that knew the members of before its start sent its roster.
Routing::SearchFindings AgentCore::rosterFindings(TimePoint now) const
{
    Routing::SearchFindings findings = peerFindings_;
    if (roster_.scope(now) == Tunnel::RosterScope::Reported)
        findings.add(Routing::SearchGap::MembersUnknown);
    return findings;
}

/// Returns why the agents in the table may not be all that may own a flow. Besides
/// rosterFindings(), the roster must not have changed for SettlingTime, so that they could claim
/// it.
Routing::SearchFindings AgentCore::viewFindings(TimePoint now) const
{
    Routing::SearchFindings findings = rosterFindings(now);
    if (!lastRosterChange_ || now - *lastRosterChange_ < SettlingTime)
        findings.add(Routing::SearchGap::MembersUnsettled);
    return findings;
}

} // namespace Forwarding
