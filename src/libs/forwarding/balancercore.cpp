#include "forwarding/balancercore.h"

#include <algorithm>

namespace Forwarding {

/// How long a flow without packets is cached if the configuration sets no limit.
static constexpr std::chrono::seconds DefaultIdleTimeout{60};

/// Interval between two searches of the cache for idle flows.
static constexpr std::chrono::seconds ExpiryCheckInterval{1};

/// Time between two ticks above which this process itself was paused, so that missing reports of
/// other members don't count: several times the tick interval of the traffic thread.
static constexpr std::chrono::milliseconds PauseThreshold{400};

const char *balancerDropText(BalancerDrop cause)
{
    switch (cause) {
    case BalancerDrop::NotConfigured:
        return "not-configured";
    case BalancerDrop::UnknownRoute:
        return "unknown-route";
    case BalancerDrop::NoAgent:
        return "no-agent";
    }
    return "unknown";
}

BalancerCore::BalancerCore(TimePoint now, const Tunnel::Member &self)
    : self_(self)
    , roster_(self)
    , agentSelector_(self.instance.failureDomain)
    , lostFlowSearch_(now)
    , reportScheduler_(self.instance.failureDomain)
    , table_(std::make_shared<Routing::RoutingTable>())
    , started_(now)
{}

void BalancerCore::setConfiguration(const Model::Configuration &configuration)
{
    for (const Model::Route &route : configuration_.routes)
        formerRoutes_.insert(route.address);
    configuration_ = configuration;
    for (const Model::Route &route : configuration_.routes)
        formerRoutes_.erase(route.address);
    rebuild();
    reportScheduler_.onUrgentChange();
}

void BalancerCore::rebuild()
{
    auto agents = roster_.agents();
    // Flows stay at the backend server when its agent restarts, so the incarnation doesn't matter.
    for (Model::Instance &agent : agents)
        agent.incarnation = {};
    agentSelector_.retainOnly(agents);
    table_ = Routing::RoutingTable::build(configuration_, agents, *table_, ++tableVersion_);
}

std::optional<BalancerCore::NewerConfiguration> BalancerCore::newerConfiguration() const
{
    if (newest_.generation <= configuration_.generation)
        return std::nullopt;
    return newest_;
}

void BalancerCore::setLastKnownMembers(TimePoint now,
                                       const std::vector<Membership::DirectoryEntry> &members,
                                       bool isComplete)
{
    std::vector<Model::Endpoint> tunnels;
    std::vector<Membership::DirectoryEntry> others;
    lastKnownNames_.emplace();
    for (const Membership::DirectoryEntry &member : members) {
        if (member.name == self_.instance.name)
            continue;
        lastKnownNames_->insert(member.name);
        tunnels.push_back(member.tunnel);
        others.push_back(member);
    }
    reportScheduler_.setLastKnownMembers(std::move(tunnels));
    lostFlowSearch_.setDirectory(now, others, isComplete);
}

std::vector<ResetFlow> BalancerCore::takeLostFlows(TimePoint now)
{
    std::vector<ResetFlow> resets;
    for (const auto &[flow, acknowledgement] : lostFlowSearch_.takeLost(now))
        resets.push_back({flow, acknowledgement});
    return resets;
}

BalancerVerdict BalancerCore::send(Model::ServiceId service, const Routing::Chain &chain,
                                   bool opensFlow, bool isSearched)
{
    if (chain.isEmpty())
        return BalancerDrop::NoAgent;
    Tunnel::PacketHeader header;
    header.chain = chain;
    header.opensFlow = opensFlow;
    header.origin = self_.instance.tunnel;
    header.originSearches = isSearched;
    return ForwardPacket{{service, configuration_.generation, header}, chain[0].tunnel};
}

BalancerVerdict BalancerCore::onCallerPacket(TimePoint now, const Tunnel::TcpPacket &packet)
{
    if (!isConfigured())
        return BalancerDrop::NotConfigured;
    return packet.opensFlow() ? onSyn(now, packet) : onFlowPacket(now, packet);
}

BalancerVerdict BalancerCore::onSyn(TimePoint now, const Tunnel::TcpPacket &packet)
{
    const auto *const service =
        table_->pickByWeight(packet.flow.service, Model::flowHash(packet.flow));
    if (!service) {
        const bool wasDropped = formerRoutes_.contains(packet.flow.service);
        if (wasDropped || packet.acknowledgement >= LastSynRetransmission)
            return ResetFlow{packet.flow, 0};
        return BalancerDrop::UnknownRoute;
    }
    lostFlowSearch_.forget(packet.flow);
    std::vector<Model::InstanceId> tried;
    const FlowCache::Entry *const cached = cache_.find(now, packet.flow);
    if (cached && cached->service == service->id()) {
        for (const Routing::Hop &agent : cached->agents)
            tried.push_back(agent.instance);
    }
    const Routing::Chain chain = agentSelector_.order(now, *service, tried);
    if (chain.isEmpty())
        return BalancerDrop::NoAgent;
    agentSelector_.onPlaced(now, chain[0].instance);
    cache_.onOffered(now, packet.flow, service->id(), chain[0]);
    return send(service->id(), chain, true);
}

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

/// Whether \a agent did not run before this balancer started. Without the directory, that is not
/// known until the agents of a system that starts had time to report.
bool BalancerCore::isJoining(TimePoint now, const Tunnel::Member &agent) const
{
    if (lastKnownNames_)
        return !lastKnownNames_->contains(agent.instance.name);
    return now - started_ >= Membership::DirectoryWriteDelay;
}

/// Searches for the owner of an open flow that this balancer does not know, in case it was lost.
/// Returns whether the search can decide, so that agents need not pass the packet on.
bool BalancerCore::searchOwner(TimePoint now, const Tunnel::TcpPacket &packet)
{
    std::set<Model::ServiceId> services;
    for (const auto *const table : table_->tablesAt(packet.flow.service))
        services.insert(table->id());
    return lostFlowSearch_.search(now, {packet.flow, packet.acknowledgement}, std::move(services));
}

BalancerVerdict BalancerCore::onFlowPacket(TimePoint now, const Tunnel::TcpPacket &packet)
{
    const std::uint64_t hash = Model::flowHash(packet.flow);
    const auto *service = table_->pickByWeight(packet.flow.service, hash);
    if (!service) {
        cache_.forget(packet.flow);
        if (formerRoutes_.contains(packet.flow.service) && !packet.rst)
            return ResetFlow{packet.flow, packet.acknowledgement};
        return BalancerDrop::UnknownRoute;
    }
    Routing::Chain chain;
    const FlowCache::Entry *const cached = cache_.find(now, packet.flow);
    if (cached) {
        for (const auto *const table : table_->tablesAt(packet.flow.service)) {
            if (table->id() == cached->service)
                service = table;
        }
        for (const Routing::Hop &agent : cached->agents) {
            if (service->isRunning(agent.instance))
                chain.append(agent);
        }
    }
    appendMissing(chain, service->chainFor(hash, Routing::PacketKind::ContinuesFlow));
    const bool isSearched = !cached && !packet.rst && searchOwner(now, packet);
    return send(service->id(), chain, false, isSearched);
}

std::vector<OutgoingDatagram> BalancerCore::onDatagram(TimePoint now,
                                                       const Tunnel::Datagram &datagram)
{
    std::vector<OutgoingDatagram> answers;
    if (const auto *report = std::get_if<Tunnel::Report>(&datagram.content)) {
        if (datagram.generation > std::max(newest_.generation, configuration_.generation))
            newest_ = {datagram.generation, report->sender.instance.peer, now};
        lostFlowSearch_.onReport(now, *report);
        if (report->sender.role == Tunnel::Role::Agent)
            agentSelector_.onReport(now, *report, isJoining(now, report->sender));
        if (roster_.onReport(now, *report)) {
            rebuild();
            reportScheduler_.onUrgentChange();
        }
        if (report->wantsRoster && report->rosterDigest != roster_.digestFor(report->sender)) {
            for (Tunnel::RosterPart &part : roster_.partsFor(now, report->sender))
                answers.push_back({report->sender.instance.tunnel,
                                   {{}, configuration_.generation, std::move(part)}});
        }
    } else if (const auto *part = std::get_if<Tunnel::RosterPart>(&datagram.content)) {
        if (roster_.onRosterPart(now, *part))
            rebuild();
    } else if (const auto *redirects = std::get_if<Tunnel::Redirects>(&datagram.content)) {
        for (const Tunnel::ClaimedFlow &flow : redirects->flows)
            cache_.onOwned(now, flow.key, datagram.service, redirects->owner);
    } else if (const auto *answer = std::get_if<Tunnel::OwnerAnswer>(&datagram.content)) {
        lostFlowSearch_.onAnswer(datagram.service, *answer);
        for (const Model::FlowKey &flow : answer->owned)
            cache_.onOwned(now, flow, datagram.service, answer->answerer);
    }
    return answers;
}

Tunnel::Report BalancerCore::report() const
{
    Tunnel::Report report;
    report.sender = self_;
    report.number = reportNumber_;
    report.rosterDigest = roster_.digest();
    return report;
}

std::vector<OutgoingDatagram> BalancerCore::tick(TimePoint now)
{
    if (lastTick_ != TimePoint() && now - lastTick_ > PauseThreshold)
        roster_.onPaused(std::chrono::duration_cast<std::chrono::milliseconds>(now - lastTick_));
    lastTick_ = now;
    if (roster_.expire(now))
        rebuild();
    if (now - lastExpiryCheck_ >= ExpiryCheckInterval) {
        lastExpiryCheck_ = now;
        const auto idle = configuration_.idleFlowTimeout.count() > 0
                              ? configuration_.idleFlowTimeout
                              : std::chrono::milliseconds(DefaultIdleTimeout);
        cache_.forgetIdle(now - idle);
    }
    std::vector<OutgoingDatagram> outgoing = lostFlowSearch_.queries(now, self_.instance.tunnel);
    ++reportNumber_;
    for (const auto &[tunnel, isAskedForRoster] : reportScheduler_.due(now, roster_)) {
        Tunnel::Report own = report();
        own.wantsRoster = isAskedForRoster;
        outgoing.push_back({tunnel, {{}, configuration_.generation, std::move(own)}});
    }
    return outgoing;
}

std::vector<OutgoingDatagram> BalancerCore::finalReports(TimePoint, bool isPermanent)
{
    std::vector<OutgoingDatagram> outgoing;
    ++reportNumber_;
    for (const Model::Instance &balancer : roster_.balancers()) {
        Tunnel::Report last = report();
        last.sender.instance.state = Model::InstanceState::Suspect;
        last.isLeaving = isPermanent;
        outgoing.push_back({balancer.tunnel, {{}, configuration_.generation, std::move(last)}});
    }
    return outgoing;
}

} // namespace Forwarding
