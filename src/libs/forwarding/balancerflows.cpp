// Packets of open flows: which agents a balancer asks for the owner, and when it resets a flow.

#include "flows/ownersearch.h"
#include "forwarding/balancercore.h"

#include <algorithm>

namespace Forwarding {

using Knowledge = Routing::RoutingTable::Knowledge;

/// Appends the hops of \a ranked that \a chain does not contain, up to MaxChainLength hops.
static void appendMissing(Routing::Chain &chain, const Routing::Chain &ranked)
{
    const Routing::Chain original = chain;
    for (const Routing::Hop &hop : ranked) {
        bool isPresent = false;
        for (const Routing::Hop &other : original)
            isPresent |= other.instance == hop.instance;
        if (!isPresent && chain.size() < Routing::MaxChainLength)
            chain.append(hop);
    }
}

/// Sets the chain of \a header to the agents of \a cached that run and belong to \a service.
static void putFirst(Tunnel::PacketHeader &header, const FlowCache::Entry &cached,
                     const Routing::ServiceTable &service)
{
    header.chain = {};
    for (const Routing::Hop &agent : cached.agents) {
        if (service.isRunning(agent.instance))
            header.chain.append(agent);
    }
    header.isToClaimant = cached.isOwnerKnown && !header.chain.isEmpty()
                          && header.chain[0].instance == cached.agents[0].instance;
}

/// Searches for the owner of an open flow that this balancer does not know, in case it was lost.
/// \a service is the first one to ask. Returns whether the search can decide, so that agents need
/// not pass the packet on.
bool BalancerCore::searchOwner(TimePoint now, const Tunnel::TcpPacket &packet,
                               const Routing::ServiceTable *service)
{
    std::set<Model::ServiceId> services;
    const auto hash = Model::flowHash(packet.flow);
    for (const auto *const table : table_->knownOwners(packet.flow.service, hash, service))
        services.insert(table->id());
    // The agents of other services may not have reported yet.
    if (knowledgeOf(packet.flow.service) == Knowledge::Unknown)
        services.merge(lostFlowSearch_.services());
    return lostFlowSearch_.search(now, {packet.flow, packet.acknowledgement}, std::move(services));
}

/// Returns the table of the service to which \a cached assigns the flow of \a packet, or else of
/// the one that the configuration selects; null if there is none.
const Routing::ServiceTable *BalancerCore::tableFor(const FlowCache::Entry *cached,
                                                    const Tunnel::TcpPacket &packet) const
{
    const auto *const selected =
        table_->pickByWeight(packet.flow.service, Model::flowHash(packet.flow));
    if (!cached || (selected && selected->id() == cached->service))
        return selected;
    const auto *const table = table_->findById(cached->service);
    return table ? table : selected;
}

/// Whether every agent that may own a flow is known and runs, so that a search may ask the servers
/// at once: no process that it visits later should know of one that is away.
bool BalancerCore::isEveryAgentPresent(TimePoint now) const
{
    const bool isAnyAway =
        hasSuspectAgents_ || !restartingServices_.empty() || !unheardServices_.empty();
    return !isAnyAway && lastRosterChange_ && now - *lastRosterChange_ >= SettlingTime
           && roster_.scope(now) != Tunnel::RosterScope::Reported
           && (isFirstStart_ || isEveryoneHeard_ || now - started_ >= Membership::RemovalTimeout);
}

/// Whether all agents that ran before this balancer started have reported to it.
bool BalancerCore::hasHeardEveryone() const
{
    return lastKnownServices_
           && std::all_of(lastKnownServices_->begin(), lastKnownServices_->end(),
                          [this](const auto &member) {
                              return member.second == Model::serviceId("")
                                     || heardMembers_.contains(member.first);
                          });
}

BalancerVerdict BalancerCore::onFlowPacket(TimePoint now, const Tunnel::TcpPacket &packet)
{
    const Model::Endpoint &address = packet.flow.service;
    const std::uint64_t hash = Model::flowHash(packet.flow);
    if (!table_->hasRoute(address)) {
        cache_.forget(packet.flow);
        if (formerRoutes_.contains(address) && !packet.rst)
            return ResetFlow{packet.flow, packet.acknowledgement};
        return BalancerDrop::UnknownRoute;
    }
    const FlowCache::Entry *const cached = cache_.find(now, packet.flow);
    const auto *const service = tableFor(cached, packet);
    const bool isSearched = !cached && service && !packet.rst && searchOwner(now, packet, service);
    const bool isCertain = knowledgeOf(address) == Knowledge::Unchanged
                           && service == table_->pickByWeight(address, hash);
    Tunnel::PacketHeader header = newHeader();
    header.asksServers = isEveryAgentPresent(now);
    if (!isCertain && !isSearched)
        return askServices(now, packet, header, std::nullopt);
    if (!service)
        return BalancerDrop::NoAgent;
    header.originSearches = isSearched;
    if (cached)
        putFirst(header, *cached, *service);
    appendMissing(header.chain, service->chainFor(hash, Routing::PacketKind::ContinuesFlow));
    return send(service->id(), header);
}

BalancerVerdict BalancerCore::onUnownedPacket(TimePoint now, Model::ServiceId service,
                                              const Tunnel::PacketHeader &header,
                                              const Tunnel::TcpPacket &packet)
{
    if (!table_->hasRoute(packet.flow.service))
        return onFlowPacket(now, packet);
    return askServices(now, packet, header, service);
}

/// Sends \a packet to the next service that may own its flow. \a asked is the service whose agents
/// were asked last, if any. If no service is left, resets the flow, provided that every agent that
/// may own it was asked.
BalancerVerdict BalancerCore::askServices(TimePoint now, const Tunnel::TcpPacket &packet,
                                          const Tunnel::PacketHeader &header,
                                          std::optional<Model::ServiceId> asked)
{
    const std::uint64_t hash = Model::flowHash(packet.flow);
    const FlowCache::Entry *const cached = cache_.find(now, packet.flow);
    const auto *const first = tableFor(cached, packet);
    std::vector<const Routing::ServiceTable *> owners{first};
    // Most flows belong to the first service, so that the others need not be listed.
    const bool isAnyAway = !restartingServices_.empty() || !unheardServices_.empty();
    if (asked || isAnyAway || !first || !first->hasRunning())
        owners = knowledgeOf(packet.flow.service) == Knowledge::Unknown
                     ? table_->possibleOwners(packet.flow.service, hash, first)
                     : table_->knownOwners(packet.flow.service, hash, first);
    // The first service must not try a flow that an absent agent of a later one may own.
    Tunnel::PacketHeader searched = header;
    for (const auto *const owner : owners)
        searched.findings.merge(awayFindings(owner->id()));
    const auto step = Flows::askNextService(owners, hash, searched, asked);
    if (const auto *next = std::get_if<Flows::AskService>(&step)) {
        Tunnel::PacketHeader forwarded = next->header;
        forwarded.generation = configuration_.generation;
        if (cached && next->service == cached->service) {
            putFirst(forwarded, *cached, *first);
            appendMissing(forwarded.chain, next->header.chain);
        }
        return send(next->service, forwarded);
    }
    if (owners.empty())
        return BalancerDrop::NoAgent;
    Routing::SearchFindings findings = std::get<Flows::SearchEnded>(step).findings;
    findings.merge(viewFindings(now, owners));
    const Routing::SearchConclusion conclusion = findings.conclusion(header.asksServers);
    if (conclusion == Routing::SearchConclusion::AskServers) {
        Tunnel::PacketHeader again = newHeader();
        again.findings = findings.withoutUnaskedServers();
        again.asksServers = true;
        return askServices(now, packet, again, std::nullopt);
    }
    if (conclusion == Routing::SearchConclusion::AskAway)
        return askSuspect(now, packet, owners);
    if (conclusion == Routing::SearchConclusion::Wait || packet.rst)
        return BalancerDrop::NoOwner;
    ResetFlow reset{packet.flow, packet.acknowledgement, {}};
    for (const auto *const owner : owners)
        reset.servicesAsked.push_back(owner->service().name);
    reset.basis = denialBasis(now, started_, lastRosterChange_, roster_, 0);
    return reset;
}

/// Sends \a packet to a suspect agent of \a owners: the one that is cached for the flow, or each
/// time another one.
BalancerVerdict BalancerCore::askSuspect(TimePoint now, const Tunnel::TcpPacket &packet,
                                         const std::vector<const Routing::ServiceTable *> &owners)
{
    if (const FlowCache::Entry *const cached = cache_.find(now, packet.flow)) {
        // The service of the cached agent comes first; see tableFor().
        const auto suspects = owners.front()->suspectInstances();
        const auto known =
            std::find_if(suspects.begin(), suspects.end(), [cached](const Routing::Hop &suspect) {
                return suspect.instance == cached->agents[0].instance;
            });
        if (known != suspects.end()) {
            auto step = Flows::askSuspect({owners.front()}, newHeader(),
                                          std::size_t(known - suspects.begin()));
            step->header.isToClaimant = cached->isOwnerKnown;
            return send(step->service, step->header);
        }
    }
    const auto step = Flows::askSuspect(owners, newHeader(), suspectsAsked_++);
    if (!step)
        return BalancerDrop::NoOwner;
    return send(step->service, step->header);
}

/// Returns why the agents of \a owners that are known may not be all that may own a flow: the
/// roster must not have changed for SettlingTime, no agent may be suspect, and all that ran before
/// this process started must be back or count as lost.
Routing::SearchFindings
BalancerCore::viewFindings(TimePoint now,
                           const std::vector<const Routing::ServiceTable *> &owners) const
{
    Routing::SearchFindings findings;
    if (!lastRosterChange_ || now - *lastRosterChange_ < SettlingTime)
        findings.add(Routing::SearchGap::MembersUnsettled);
    if (std::any_of(owners.begin(), owners.end(),
                    [](const auto *owner) { return !owner->suspectInstances().empty(); }))
        findings.add(Routing::SearchGap::AgentAway);
    if (isFirstStart_ || now - started_ >= Membership::RemovalTimeout)
        return findings;
    if (!lastKnownServices_) {
        findings.add(Routing::SearchGap::MembersUnknown);
        return findings;
    }
    // A member that reported since is in the roster as long as it may own flows.
    for (const auto &[name, service] : *lastKnownServices_) {
        const bool mayOwn =
            std::any_of(owners.begin(), owners.end(),
                        [id = service](const auto *owner) { return owner->id() == id; });
        if (mayOwn && !heardMembers_.contains(name))
            findings.add(Routing::SearchGap::AgentUnheard);
    }
    return findings;
}

} // namespace Forwarding
