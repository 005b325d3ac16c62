#include "forwarding/balancercore.h"

#include <algorithm>

namespace Forwarding {

using Knowledge = Routing::RoutingTable::Knowledge;

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
    case BalancerDrop::EvacuationsUnknown:
        return "evacuations-unknown";
    case BalancerDrop::UnknownRoute:
        return "unknown-route";
    case BalancerDrop::NoAgent:
        return "no-agent";
    case BalancerDrop::NoOwner:
        return "no-owner";
    }
    return "unknown";
}

BalancerCore::BalancerCore(TimePoint now, const Options &options)
    : self_(options.self)
    , roster_(options.self, options.isFirstStart ? now : now + Membership::RemovalTimeout)
    , agentSelector_(options.self.instance.failureDomain)
    , lostFlowSearch_(now)
    , reportScheduler_(options.self.instance.failureDomain)
    , followsEvacuations_(options.followsEvacuations)
    , routeHistory_(now, options.isFirstStart, options.maxFlowAge)
    , successionCheck_(options.maxFlowAge.count() > 0
                           ? options.maxFlowAge + Routing::ConfigurationSpread
                           : std::chrono::seconds(0))
    , table_(std::make_shared<Routing::RoutingTable>())
    , isFirstStart_(options.isFirstStart)
    , started_(now)
{}

std::vector<OutgoingDatagram>
BalancerCore::setConfiguration(TimePoint now, const Model::Configuration &configuration,
                               Routing::Succession succession)
{
    for (const Model::Route &route : configuration_.routes)
        formerRoutes_.insert(route.address);
    routeHistory_.onConfiguration(now, configuration_, configuration, succession);
    previousGeneration_ = configuration_.generation;
    successionCheck_.onConfiguration(now, previousGeneration_, configuration.generation,
                                     succession);
    configuration_ = configuration;
    if (!firstConfigured_)
        firstConfigured_ = now;
    terms_.clear();
    for (const Model::Route &route : configuration_.routes) {
        formerRoutes_.erase(route.address);
        if (route.terms != Model::RouteTerms())
            terms_.emplace(route.address, route.terms);
    }
    mergeRecord(now, false);
    rebuild();
    return reportsToBalancers(report());
}

bool BalancerCore::setEvacuations(const Model::Evacuations &evacuations)
{
    if (!followsEvacuations_ || evacuations.asOf <= evacuations_.asOf)
        return false;
    const bool changed = evacuations.domains != evacuations_.domains;
    evacuations_ = evacuations;
    if (changed)
        rebuild();
    return changed;
}

bool BalancerCore::canPlaceFlows(TimePoint now) const
{
    if (!isConfigured())
        return false;
    return !followsEvacuations_ || evacuations_.isKnown()
           || now - *firstConfigured_ >= MaxEvacuationWait;
}

/// Returns what is known about the earlier configurations of \a address, and about newer ones that
/// other balancers may have used already.
Knowledge BalancerCore::knowledgeOf(const Model::Endpoint &address) const
{
    if (newerConfiguration())
        return Knowledge::Unknown;
    const Knowledge knowledge = table_->knowledgeOf(address);
    const bool isPresumed = knowledge == Knowledge::Unknown && presumedUnchanged_.contains(address)
                            && lostFlowSearch_.isWholeLoss();
    return isPresumed ? Knowledge::Unchanged : knowledge;
}

void BalancerCore::setRecordedTargets(TimePoint now, const Routing::TargetsRecord &record)
{
    recordedTargets_ = record;
    mergeRecord(now, false);
    rebuild();
}

std::optional<Routing::TargetsRecord> BalancerCore::recordableTargets() const
{
    if (!isConfigured() || !routeHistory_.isComplete())
        return std::nullopt;
    return routeHistory_.record(configuration_);
}

void BalancerCore::mergeRecord(TimePoint now, bool presumesUnchanged)
{
    ++targetsVersion_;
    presumedUnchanged_.clear();
    if (!recordedTargets_ || !isConfigured())
        return;
    routeHistory_.merge(now, *recordedTargets_, configuration_, presumesUnchanged);
    if (routeHistory_.isComplete()) {
        recordedTargets_.reset();
        return;
    }
    if (now - started_ >= StartupDuration)
        return;
    for (const auto &[address, targets] : Routing::targetsByAddress(configuration_)) {
        const auto recorded = recordedTargets_->inForce.find(address);
        const bool isSame =
            recorded != recordedTargets_->inForce.end() && recorded->second == targets;
        if (isSame && !recordedTargets_->former.contains(address))
            presumedUnchanged_.insert(address);
    }
}

void BalancerCore::onRosterChanged(TimePoint now)
{
    if (!lastRosterChange_ || roster_.ownerChanges() != ownerChanges_)
        lastRosterChange_ = now;
    ownerChanges_ = roster_.ownerChanges();
    rebuild();
}

void BalancerCore::rebuild()
{
    auto agents = roster_.agents();
    // Flows stay at the backend server when its agent restarts, so the incarnation doesn't matter.
    for (Model::Instance &agent : agents) {
        agent.incarnation = {};
        if (evacuations_.contains(agent.failureDomain)
            && agent.state == Model::InstanceState::Ready)
            agent.state = Model::InstanceState::Draining;
    }
    agentSelector_.retainOnly(agents);
    hasSuspectAgents_ = std::any_of(agents.begin(), agents.end(), [](const Model::Instance &agent) {
        return agent.state == Model::InstanceState::Suspect;
    });
    restartingServices_.clear();
    for (const Model::Instance &agent : roster_.restartingAgents())
        restartingServices_.insert(Model::serviceId(agent.service));
    unheardServices_.clear();
    for (const Model::Instance &agent : roster_.unheardAgents())
        unheardServices_.insert(Model::serviceId(agent.service));
    table_ = Routing::RoutingTable::build(configuration_, agents, *table_, ++tableVersion_,
                                          routeHistory_.former());
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
    std::vector<Tunnel::Member> agents;
    lastKnownServices_.emplace();
    isEveryoneHeard_ = false;
    for (const Membership::DirectoryEntry &member : members) {
        if (member.name == self_.instance.name)
            continue;
        lastKnownServices_->emplace(member.name, Model::serviceId(member.service));
        tunnels.push_back(member.tunnel);
        others.push_back(member);
        if (member.service.empty())
            continue;
        Tunnel::Member agent;
        agent.instance.name = member.name;
        agent.instance.service = member.service;
        agent.instance.tunnel = member.tunnel;
        agent.instance.incarnation = member.incarnation;
        agents.push_back(std::move(agent));
    }
    reportScheduler_.setLastKnownMembers(std::move(tunnels));
    lostFlowSearch_.setDirectory(now, others, isComplete);
    if (lostFlowSearch_.isSystemRunning())
        roster_.setSystemRunning();
    if (roster_.scope(now) == Tunnel::RosterScope::Complete)
        return;
    if (roster_.addRecorded(now, agents, isComplete))
        onRosterChanged(now);
}

std::vector<ResetFlow> BalancerCore::takeLostFlows(TimePoint now)
{
    std::vector<ResetFlow> resets;
    for (const auto &[lost, services] : lostFlowSearch_.takeLost(now)) {
        ResetFlow reset{lost.flow,
                        lost.acknowledgement,
                        {},
                        denialBasis(now, started_, lastRosterChange_, roster_, 0)};
        for (const Model::ServiceId service : services) {
            const auto *const table = table_->findById(service);
            reset.servicesAsked.push_back(table ? table->service().name : "unknown");
        }
        resets.push_back(std::move(reset));
    }
    return resets;
}

Tunnel::PacketHeader BalancerCore::newHeader() const
{
    Tunnel::PacketHeader header;
    header.origin = self_.instance.tunnel;
    header.generation = configuration_.generation;
    return header;
}

BalancerVerdict BalancerCore::send(Model::ServiceId service,
                                   const Tunnel::PacketHeader &header) const
{
    if (header.chain.isEmpty())
        return BalancerDrop::NoAgent;
    Tunnel::PacketHeader sent = header;
    sent.findings.merge(awayFindings(service));
    return ForwardPacket{{service, header.generation, sent}, header.chain[0].tunnel};
}

/// Returns whether an agent of \a service announced a restart, or may have done so before this
/// balancer started: it runs no longer, although the system as a whole did not restart.
Routing::SearchFindings BalancerCore::awayFindings(Model::ServiceId service) const
{
    const bool isAway =
        restartingServices_.contains(service)
        || (unheardServices_.contains(service) && lostFlowSearch_.isSystemRunning());
    return isAway ? Routing::SearchFindings{Routing::SearchGap::AgentAway}
                  : Routing::SearchFindings();
}

BalancerVerdict BalancerCore::sendSyn(const Model::Endpoint &address,
                                      const Routing::ServiceTable &service,
                                      const Routing::Chain &chain)
{
    Tunnel::PacketHeader header = newHeader();
    header.chain = chain;
    header.opensFlow = true;
    header.terms.warmUpRate = float(service.service().warmUpRate);
    if (const auto terms = terms_.find(address); terms != terms_.end()) {
        header.terms.priority = terms->second.priority;
        header.terms.objective = terms->second.objective;
    }
    return send(service.id(), header);
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
    if (!canPlaceFlows(now))
        return BalancerDrop::EvacuationsUnknown;
    lostFlowSearch_.forget(packet.flow);
    std::vector<Model::InstanceId> tried;
    const FlowCache::Entry *const cached = cache_.find(now, packet.flow);
    if (cached && cached->service == service->id()) {
        for (const Routing::Hop &agent : cached->agents)
            tried.push_back(agent.instance);
    }
    const Routing::Chain chain = agentSelector_.order(now, *service, tried);
    if (chain.isEmpty())
        return refuseSyn(now, packet, *service);
    agentSelector_.onPlaced(now, chain[0].instance);
    cache_.onOffered(now, packet.flow, service->id(), chain[0]);
    return sendSyn(packet.flow.service, *service, chain);
}

/// Decides on a SYN that no agent of \a service can take. The caller is told at once if that will
/// not change soon, since all agents are in evacuated domains, and if no transmission of the SYN
/// was offered to one of them before.
BalancerVerdict BalancerCore::refuseSyn(TimePoint now, const Tunnel::TcpPacket &packet,
                                        const Routing::ServiceTable &service)
{
    const auto &agents = service.instances();
    const bool isEvacuated =
        !agents.empty() && std::all_of(agents.begin(), agents.end(), [this](const auto &agent) {
            return evacuations_.contains(agent.failureDomain);
        });
    if (isEvacuated && packet.acknowledgement == 0 && !cache_.find(now, packet.flow))
        return ResetFlow{packet.flow, 0};
    return BalancerDrop::NoAgent;
}

/// Whether \a agent did not run before this balancer started. Without the directory, that is not
/// known until the agents of a system that starts had time to report.
bool BalancerCore::isJoining(TimePoint now, const Tunnel::Member &agent) const
{
    if (lastKnownServices_)
        return !lastKnownServices_->contains(agent.instance.name);
    return now - started_ >= Membership::DirectoryWriteDelay;
}

/// Records that the process at \a pages has the configuration \a generation. Of the processes that
/// have the newest one, the latest to report is asked for it: the first may have ended.
void BalancerCore::onGeneration(TimePoint now, Model::Generation generation,
                                const Model::Endpoint &pages)
{
    if (generation <= configuration_.generation || generation < newest_.generation)
        return;
    const TimePoint since = generation == newest_.generation ? newest_.since : now;
    newest_ = {generation, pages, since};
}

std::vector<OutgoingDatagram> BalancerCore::onDatagram(TimePoint now,
                                                       const Tunnel::Datagram &datagram)
{
    std::vector<OutgoingDatagram> answers;
    if (const auto *report = std::get_if<Tunnel::Report>(&datagram.content)) {
        if (report->sender.role == Tunnel::Role::Balancer) {
            onGeneration(now, datagram.generation, report->sender.instance.peer);
            successionCheck_.onReport(now, report->sender.instance.name, datagram.generation,
                                      report->previousGeneration);
        }
        if (now - started_ < Membership::RemovalTimeout)
            heardMembers_.insert(report->sender.instance.name);
        setEvacuations(report->evacuations);
        lostFlowSearch_.onReport(now, *report);
        if (lostFlowSearch_.isSystemRunning())
            roster_.setSystemRunning();
        if (report->sender.role == Tunnel::Role::Agent)
            agentSelector_.onReport(now, *report, isJoining(now, report->sender));
        if (roster_.onReport(now, *report)) {
            onRosterChanged(now);
            if (report->sender.role == Tunnel::Role::Balancer)
                reportScheduler_.onNewBalancer(report->sender.instance.tunnel);
        }
        if (report->wantsRoster && report->rosterDigest != roster_.digestFor(report->sender)) {
            for (Tunnel::RosterPart &part : roster_.partsFor(now, report->sender))
                answers.push_back({report->sender.instance.tunnel,
                                   {{}, configuration_.generation, std::move(part)}});
        }
        if (report->wantsRoster && report->sender.role == Tunnel::Role::Agent
            && report->evacuations.domains != evacuations_.domains)
            answers.push_back(
                {report->sender.instance.tunnel,
                 {{}, configuration_.generation, Tunnel::EvacuationNotice{evacuations_}}});
    } else if (const auto *part = std::get_if<Tunnel::RosterPart>(&datagram.content)) {
        if (roster_.onRosterPart(now, *part))
            onRosterChanged(now);
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
    report.evacuations = evacuations_;
    report.previousGeneration = previousGeneration_;
    return report;
}

std::vector<OutgoingDatagram> BalancerCore::tick(TimePoint now)
{
    if (lastTick_ != TimePoint() && now - lastTick_ > PauseThreshold)
        roster_.onPaused(std::chrono::duration_cast<std::chrono::milliseconds>(now - lastTick_));
    lastTick_ = now;
    if (roster_.expire(now))
        onRosterChanged(now);
    if (recordedTargets_ && !presumedUnchanged_.empty() && now - started_ >= StartupDuration) {
        mergeRecord(now, lostFlowSearch_.isWholeLoss());
        rebuild();
    }
    confirmSuccession(now);
    isEveryoneHeard_ = isEveryoneHeard_ || hasHeardEveryone();
    if (routeHistory_.expire(now)) {
        ++targetsVersion_;
        rebuild();
    }
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

/// Uses that no balancer had a configuration in force that this one missed, once that is certain.
void BalancerCore::confirmSuccession(TimePoint now)
{
    if (!successionCheck_.isPending())
        return;
    std::vector<std::string> balancers;
    for (const Model::Instance &balancer : roster_.balancers())
        balancers.push_back(balancer.name);
    if (!successionCheck_.confirm(now, balancers))
        return;
    routeHistory_.confirmSuccession();
    ++targetsVersion_;
    rebuild();
}

std::vector<OutgoingDatagram> BalancerCore::reportsToBalancers(const Tunnel::Report &report)
{
    std::vector<OutgoingDatagram> outgoing;
    ++reportNumber_;
    for (const Model::Instance &balancer : roster_.balancers()) {
        Tunnel::Report addressed = report;
        addressed.number = reportNumber_;
        outgoing.push_back(
            {balancer.tunnel, {{}, configuration_.generation, std::move(addressed)}});
    }
    return outgoing;
}

std::vector<OutgoingDatagram> BalancerCore::finalReports(TimePoint, bool isPermanent)
{
    Tunnel::Report last = report();
    last.sender.instance.state = Model::InstanceState::Suspect;
    last.isLeaving = isPermanent;
    return reportsToBalancers(last);
}

} // namespace Forwarding
