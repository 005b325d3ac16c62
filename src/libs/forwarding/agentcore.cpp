#include "forwarding/agentcore.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

/// Number of deliveries that are kept in case the backend server returns them: 4096 packets of
/// 1.2 KB are more than its link carries in a round trip.
static constexpr std::size_t RememberedDeliveries = 4096;

/// Time without an answer to a SYN after which no further SYN is delivered. Backend servers answer
/// within 1 ms; the rest allows for a processor shared with other processes.
static constexpr std::chrono::milliseconds SynTimeout{100};

/// Time without a packet or heartbeat of the backend server after which it gets no new flows: three
/// heartbeats.
static constexpr std::chrono::milliseconds BackendTimeout{4000};

/// Interval at which the notices for all owned flows are repeated, since notices may be lost.
static constexpr std::chrono::seconds FullNoticeInterval{10};

/// Minimum time between two notices about one flow to balancers that send its packets to
/// other agents.
static constexpr std::chrono::milliseconds OriginNoticeInterval{100};

/// Interval between two searches for ended and idle flows.
static constexpr std::chrono::seconds ExpiryCheckInterval{1};

/// How long a flow without packets is remembered: longer than any idle timeout of the deployments.
static constexpr std::chrono::seconds IdleLimit{60};

/// How long an ended flow is remembered, for retransmissions of its last packets: a caller that
/// misses an acknowledgement retransmits after 200 ms, 400 ms, 800 ms and then every 1.6 s.
static constexpr std::chrono::seconds EndedFlowLifetime{10};

/// How long the terms of a flow are kept until its handshake ends: until its caller gives up.
static constexpr std::chrono::seconds OpeningTermsLifetime{2};

/// Maximum number of flows of one backend server, as the connections of the services are bounded.
static constexpr std::size_t MaxOpenFlows = 2000;

/// Number of requests beyond the slots that may wait at the backend server when the request of a
/// new flow arrives. One keeps the slots busy. The server would run more of them in the order of
/// their arrival, even before a later request that can still be answered in time.
static constexpr std::uint32_t MaxQueuedRequests = 1;

AgentCore::AgentCore(TimePoint now, Options options)
    : options_(std::move(options))
    , service_(Model::serviceId(options_.self.instance.service))
    , selfHop_{Model::instanceId(options_.self.instance.name), {}, options_.self.instance.tunnel}
    , roster_(options_.self)
    , reportScheduler_(options_.self.instance.failureDomain)
    , director_(selfHop_, service_)
    , marks_(RememberedDeliveries)
    , started_(now)
    , unknownFlowsSince_(now)
    , lastBackendActivity_(now)
    , lastFullNotices_(now)
    , lastExpiryCheck_(now)
{
    director_.setMayHoldUnknownFlows(!options_.isFirstStart);
    if (!options_.isFirstStart) {
        takeover_.emplace(now, options_.self.instance.incarnation);
        director_.setAwaitsHandover(true);
    }
    rebuild();
}

bool AgentCore::isEvacuated() const
{
    return evacuations_.contains(options_.self.instance.failureDomain);
}

bool AgentCore::isAccepting(TimePoint now) const
{
    const bool isUnresponsive = now - lastBackendActivity_ >= BackendTimeout
                                || (unansweredSyn_ && now - *unansweredSyn_ >= SynTimeout);
    // After an evacuation the server may be cold, which its next heartbeat tells.
    const bool isMaybeCold = awaitsHeartbeat_ && warmUpLimiter_.hasRate();
    // Before it has asked its peers, a later process could get a handover that lacks its flows.
    const bool isUnannounced = isTakeoverPending() && !takeover_->hasAsked();
    return backend_ && !backend_->isDraining && !isBackendLeaving_ && !isUnresponsive
           && !isEvacuated() && !isMaybeCold && !isUnannounced;
}

/// Whether the backend server has as many requests as may run and wait there.
bool AgentCore::isServerFull(TimePoint now)
{
    const std::uint32_t slots = backend_ ? std::max(1u, backend_->slots) : 1;
    return meter_.occupancy(now) >= slots + MaxQueuedRequests;
}

bool AgentCore::hasFreeSlot(TimePoint now)
{
    return warmUpLimiter_.delay(now).count() == 0 && !isServerFull(now);
}

Flows::Availability AgentCore::availability(TimePoint now)
{
    return {isAccepting(now), hasFreeSlot(now),
            hasFreeSlot(now) && director_.openCount() < MaxOpenFlows};
}

AgentVerdict AgentCore::onCallerPacket(TimePoint now, Model::ServiceId service,
                                       const Tunnel::PacketHeader &header,
                                       const Tunnel::TcpPacket &packet)
{
    if (header.opensFlow && header.generation >= newestGeneration_)
        warmUpLimiter_.setRate(header.terms.warmUpRate);
    newestGeneration_ = std::max(newestGeneration_, header.generation);
    Tunnel::PacketHeader known = header;
    known.findings.merge(rosterFindings(now));
    const bool wasOwned = director_.owns(packet.flow);
    const Flows::Decision decision =
        director_.onPacket(now, service, known, packet, availability(now));
    if (!wasOwned && director_.owns(packet.flow))
        notifyFirstRankedAgent(packet.flow);
    return applyDecision(now, decision, known, packet);
}

AgentVerdict AgentCore::applyDecision(TimePoint now, const Flows::Decision &decision,
                                      const Tunnel::PacketHeader &header,
                                      const Tunnel::TcpPacket &packet)
{
    if (decision.notice)
        pendingNotices_[decision.notice->receiver.tunnel].push_back(decision.notice->flow);
    if (std::holds_alternative<Flows::Deliver>(decision.verdict)) {
        if (const auto held = holdBehindUrgent(now, header, packet))
            return *held;
        return deliver(now, header, packet);
    }
    if (const auto *forwardToHop = std::get_if<Flows::ForwardToHop>(&decision.verdict)) {
        const Routing::Hop &next = forwardToHop->header.chain[forwardToHop->header.position];
        return ForwardPacket{{service_, header.generation, forwardToHop->header}, next.tunnel};
    }
    const auto cause = std::get<Flows::Drop>(decision.verdict).cause;
    const bool isFull = cause == Flows::DropCause::NoRoom && isAccepting(now);
    if (isFull && admissionQueue_.holdSyn(now, header, packet))
        return HoldPacket{};
    if (cause != Flows::DropCause::NoOwner)
        return cause;
    Tunnel::PacketHeader searched = header;
    searched.findings.merge(std::get<Flows::Drop>(decision.verdict).findings);
    return forwardSearch(now, searched, packet);
}

/// Holds \a packet, which belongs to a flow of this agent's server, if it begins a request while
/// the server is full and more urgent SYNs wait, or if its request is held already. Returns nothing
/// if the packet is to be delivered.
std::optional<AgentVerdict> AgentCore::holdBehindUrgent(TimePoint now,
                                                        const Tunnel::PacketHeader &header,
                                                        const Tunnel::TcpPacket &packet)
{
    if (packet.syn || !director_.owns(packet.flow))
        return std::nullopt;
    if (packet.rst) {
        if (admissionQueue_.removeRequest(packet.flow))
            endedRequests_.push_back(packet.flow);
        return std::nullopt;
    }
    if (packet.payloadBytes == 0 && !packet.fin)
        return std::nullopt;
    switch (admissionQueue_.addToRequest(packet)) {
    case AdmissionQueue::Addition::Added:
        return HoldPacket{true};
    case AdmissionQueue::Addition::Duplicate:
    case AdmissionQueue::Addition::Full:
        return Flows::DropCause::NoRoom;
    case AdmissionQueue::Addition::NotHeld:
        break;
    }
    const auto flowState = flowStates_.find(packet.flow);
    const bool beginsRequest = packet.payloadBytes > 0 && !meter_.isWaiting(packet.flow);
    if (!beginsRequest || flowState == flowStates_.end() || !isAccepting(now))
        return std::nullopt;
    const Tunnel::FlowTerms &terms = flowState->second.terms;
    const bool mustWait = terms.objective.count() > 0
                          && admissionQueue_.hasMoreUrgentSyn(now, terms, meter_.answerTime(now))
                          && isServerFull(now);
    if (!mustWait)
        return std::nullopt;
    Tunnel::PacketHeader held = header;
    held.terms = terms;
    if (!admissionQueue_.holdRequest(now, held, packet))
        return std::nullopt;
    return HoldPacket{};
}

void AgentCore::recordEnd(TimePoint now, FlowState &flowState)
{
    if (flowState.callerEnded && flowState.backendEnded && flowState.ended == TimePoint())
        flowState.ended = now;
}

void AgentCore::recordOpening(TimePoint now, const Tunnel::PacketHeader &header,
                              const Tunnel::TcpPacket &packet)
{
    meter_.onOpening(now, packet.flow);
    warmUpLimiter_.onStarted(now);
    if (header.terms.objective.count() > 0)
        openingTerms_[packet.flow] = {header.terms, now};
    // Otherwise the balancer sends the next packets to the agent that it offered the flow to.
    if (header.passes > 0 && header.origin.isValid())
        pendingNotices_[header.origin].push_back({packet.flow, Tunnel::Epoch(0)});
    if (!unansweredSyn_)
        unansweredSyn_ = now;
}

/// Returns the state of \a flow, which the server holds; creates it if the flow is new.
AgentCore::FlowState &AgentCore::flowStateOf(TimePoint now, const Model::FlowKey &flow)
{
    const auto [entry, isNew] = flowStates_.try_emplace(flow);
    FlowState &state = entry->second;
    if (!isNew)
        return state;
    state.since = now;
    if (const auto opening = openingTerms_.find(flow); opening != openingTerms_.end()) {
        state.terms = opening->second.terms;
        openingTerms_.erase(opening);
    }
    return state;
}

AgentVerdict AgentCore::deliver(TimePoint now, const Tunnel::PacketHeader &header,
                                const Tunnel::TcpPacket &packet)
{
    if (packet.opensFlow()) {
        recordOpening(now, header, packet);
    } else if (packet.payloadBytes > 0) {
        meter_.onRequestBytes(now, packet.flow);
    }
    if (director_.owns(packet.flow)) {
        FlowState &flowState = flowStateOf(now, packet.flow);
        flowState.acknowledgement = packet.acknowledgement;
        flowState.callerEnded |= packet.fin || packet.rst;
        recordEnd(now, flowState);
        const bool wasSearched = header.passes > 0 && header.origin.isValid();
        if (wasSearched && now - flowState.lastOriginNotice >= OriginNoticeInterval) {
            flowState.lastOriginNotice = now;
            pendingNotices_[header.origin].push_back({packet.flow, Tunnel::Epoch(1)});
        }
    }
    if (packet.fin || packet.rst)
        meter_.onFlowRemoved(packet.flow);
    return DeliverToBackend{marks_.add(header)};
}

bool isServerError(int status)
{
    return status >= 500;
}

void AgentCore::recordAnswer(TimePoint now, bool failed)
{
    failures_.onAnswer(now, failed);
    const bool isOutlier = failures_.share(now) >= Placement::OutlierFailureShare;
    if (isOutlier != std::exchange(wasReportedOutlier_, isOutlier))
        reportScheduler_.onUrgentChange();
}

AgentVerdict AgentCore::onBackendPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                        std::optional<int> status)
{
    lastBackendActivity_ = now;
    unansweredSyn_.reset();
    if (packet.syn) {
        director_.onSynAckSent(packet.flow, packet.sequence);
        return SendToCaller{packet.flow.caller};
    }
    if (packet.payloadBytes > 0) {
        if (director_.onPacketFromBackend(now, packet.flow)) {
            notifyFirstRankedAgent(packet.flow);
            // No flow of this agent's own is forgotten so early.
            if (now - started_ < EndedFlowLifetime) {
                director_.setMayHoldUnknownFlows(true);
                foundFlows_.push_back(packet.flow);
            }
        }
        if (const auto answerTime = meter_.onAnswerBytes(now, packet.flow))
            answerTimes_.push_back(*answerTime);
    }
    if (status)
        recordAnswer(now, isServerError(*status));
    else if (packet.rst && meter_.isWaiting(packet.flow))
        recordAnswer(now, true);
    if (packet.fin || packet.rst) {
        meter_.onFlowRemoved(packet.flow);
        if (const auto flowState = flowStates_.find(packet.flow); flowState != flowStates_.end()) {
            flowState->second.backendEnded = true;
            flowState->second.callerEnded |= packet.rst;
            recordEnd(now, flowState->second);
        }
    }
    return SendToCaller{packet.flow.caller};
}

AgentVerdict AgentCore::onReturnedPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                         DeliveryMark mark)
{
    lastBackendActivity_ = now;
    unansweredSyn_.reset();
    forgetFlow(packet.flow);
    const auto storedHeader = marks_.find(mark);
    Tunnel::PacketHeader header;
    if (storedHeader) {
        header = *storedHeader;
    } else {
        const auto kind = packet.opensFlow() ? Routing::PacketKind::OpensFlow
                                             : Routing::PacketKind::ContinuesFlow;
        header.chain = table_->chainFor(Model::flowHash(packet.flow), kind);
        header.opensFlow = packet.opensFlow();
        // Only the origin knows which other services may own the flow.
        header.originSearches = true;
        if (header.chain.isEmpty())
            return Flows::DropCause::NoOwner;
    }
    const Flows::Decision decision = director_.onReturnedByBackend(now, header, packet);
    // A SYN is not held for a server that returned it; the caller retransmits it.
    if (const auto *drop = std::get_if<Flows::Drop>(&decision.verdict); drop && packet.opensFlow())
        return drop->cause;
    return applyDecision(now, decision, header, packet);
}

std::vector<ResetFlow> AgentCore::takeResets()
{
    return std::exchange(resets_, {});
}

void AgentCore::forgetFlow(const Model::FlowKey &flow)
{
    flowStates_.erase(flow);
    meter_.onFlowRemoved(flow);
    director_.onFlowRemoved(flow);
}

void AgentCore::notifyFirstRankedAgent(const Model::FlowKey &flow)
{
    if (const auto first = director_.firstOther(*table_, flow))
        pendingNotices_[first->tunnel].push_back({flow, Tunnel::Epoch(1)});
}

void AgentCore::onDatagram(TimePoint now, const Tunnel::Datagram &datagram)
{
    if (const auto *part = std::get_if<Tunnel::RosterPart>(&datagram.content)) {
        const bool isFirst = !lastRosterChange_;
        if (roster_.onRosterPart(now, *part) || isFirst) {
            if (isFirst || roster_.ownerChanges() != ownerChanges_)
                lastRosterChange_ = now;
            ownerChanges_ = roster_.ownerChanges();
            rebuild();
        }
    } else if (const auto *report = std::get_if<Tunnel::Report>(&datagram.content)) {
        // On startup, a balancer sends reports to the agents that it found in the directory.
        const bool isBalancer = report->sender.role == Tunnel::Role::Balancer;
        if (isBalancer && roster_.onReport(now, *report))
            reportScheduler_.onNewBalancer(report->sender.instance.tunnel);
    } else if (const auto *redirects = std::get_if<Tunnel::Redirects>(&datagram.content)) {
        if (datagram.service == service_)
            director_.onRedirects(now, redirects->owner, redirects->flows);
    } else if (const auto *query = std::get_if<Tunnel::OwnerQuery>(&datagram.content)) {
        if (datagram.service == service_)
            answerQuery(now, *query);
    } else if (const auto *notice = std::get_if<Tunnel::EvacuationNotice>(&datagram.content)) {
        setEvacuations(now, notice->evacuations);
    } else if (const auto *handover = std::get_if<Tunnel::FlowHandover>(&datagram.content)) {
        if (datagram.service == service_)
            onHandover(now, *handover);
    } else if (const auto *request = std::get_if<Tunnel::HandoverRequest>(&datagram.content)) {
        if (datagram.service == service_)
            answerHandoverRequest(now, *request);
    }
}

void AgentCore::setEvacuations(TimePoint now, const Model::Evacuations &evacuations)
{
    if (evacuations.asOf <= evacuations_.asOf)
        return;
    const bool wasAccepting = isAccepting(now);
    const bool wasEvacuated = isEvacuated();
    evacuations_ = evacuations;
    awaitsHeartbeat_ |= wasEvacuated && !isEvacuated();
    if (isAccepting(now) != wasAccepting)
        reportScheduler_.onUrgentChange();
}

void AgentCore::answerQuery(TimePoint now, const Tunnel::OwnerQuery &query)
{
    Tunnel::OwnerAnswer answer;
    answer.answerer = selfHop_;
    answer.knowsAllFlows = knowsAllFlows(now);
    for (const Model::FlowKey &flow : query.flows)
        (director_.mayOwn(flow) ? answer.owned : answer.denied).push_back(flow);
    answers_.push_back({query.asker, {service_, {}, std::move(answer)}});
}

void AgentCore::rebuild()
{
    Model::Service service;
    service.name = options_.self.instance.service;
    std::vector<Model::Instance> instances{options_.self.instance};
    for (Model::Instance &agent : roster_.agents()) {
        if (agent.service != service.name)
            continue;
        instances.push_back(std::move(agent));
    }
    const auto restarting = roster_.restartingAgents();
    const auto isRestarting = [&restarting](const Model::Instance &instance) {
        return std::any_of(restarting.begin(), restarting.end(),
                           [&](const auto &agent) { return agent.name == instance.name; });
    };
    for (Model::Instance &instance : instances) {
        // The directory may still name a process before the one that handed over.
        if (instance.state != Model::InstanceState::Suspect || isRestarting(instance))
            handoverKeeper_.onProcessSeen(Model::instanceId(instance.name), instance.incarnation);
        // Flows stay at the backend server when its agent restarts.
        instance.incarnation = {};
    }
    if (table_)
        table_ = std::make_unique<Routing::ServiceTable>(*table_, std::move(instances));
    else
        table_ = std::make_unique<Routing::ServiceTable>(service, std::move(instances));
    peerFindings_ = {};
    if (!table_->suspectInstances().empty())
        peerFindings_.add(Routing::SearchGap::AgentUnheard);
    if (std::any_of(restarting.begin(), restarting.end(), [&service](const Model::Instance &agent) {
            return agent.service == service.name;
        }))
        peerFindings_.add(Routing::SearchGap::AgentAway);
    director_.onTableChanged(*table_);
    for (auto &[receiver, flows] : director_.ownershipNotices(*table_)) {
        auto &notices = pendingNotices_[receiver.tunnel];
        notices.insert(notices.end(), flows.begin(), flows.end());
    }
}

Tunnel::Report AgentCore::report(TimePoint now)
{
    Tunnel::Report report;
    report.sender = options_.self;
    report.sender.hasNoServer = hasNoServer(now);
    report.sender.serverListens = serverListens_;
    report.sender.isRestarting = isRestarting(now);
    report.sender.instance.state =
        isAccepting(now) ? Model::InstanceState::Ready : Model::InstanceState::Draining;
    report.number = reportNumber_;
    report.mayHoldUnknownFlows = backend_ && !knowsAllFlows(now);
    report.hasOlderServer = hasOlderServer_;
    report.waiting = meter_.waiting(now) + std::uint32_t(admissionQueue_.requestCount());
    report.open = std::uint32_t(director_.openCount());
    report.slots = backend_ ? backend_->slots : 0;
    report.answerTime = meter_.answerTime(now);
    report.failureShare = failures_.share(now);
    report.rosterDigest = roster_.digest();
    if (!evacuations_.domains.empty())
        report.evacuations = evacuations_;
    report.startDelay = warmUpLimiter_.delay(now);
    report.isWarmingUp = warmUpLimiter_.isWarmingUp(now);
    return report;
}

/// Delivers the held \a request. If its flow ended meanwhile, the server returns or resets it.
void AgentCore::admitRequest(TimePoint now, const AdmissionQueue::Entry &request,
                             std::vector<AdmittedFlow> &admitted)
{
    const auto verdict = deliver(now, request.header, request.packet);
    if (const auto *delivery = std::get_if<DeliverToBackend>(&verdict))
        admitted.push_back({request.packet.flow, delivery->mark});
}

std::vector<AdmittedFlow> AgentCore::takeAdmitted(TimePoint now)
{
    std::vector<AdmittedFlow> admitted;
    for (const auto &request : admissionQueue_.takeDueRequests(now, !isAccepting(now)))
        admitRequest(now, request, admitted);
    while (isAccepting(now) && hasFreeSlot(now)) {
        const auto next = admissionQueue_.take(now, meter_.answerTime(now));
        if (!next)
            break;
        if (next->isRequest) {
            admitRequest(now, *next, admitted);
            continue;
        }
        const Flows::Decision decision =
            director_.onPacket(now, service_, next->header, next->packet, {true, true, true});
        const auto verdict = applyDecision(now, decision, next->header, next->packet);
        if (const auto *delivery = std::get_if<DeliverToBackend>(&verdict))
            admitted.push_back({next->packet.flow, delivery->mark});
    }
    return admitted;
}

std::vector<Model::FlowKey> AgentCore::takeExpired(TimePoint now)
{
    std::vector<Model::FlowKey> expired = std::exchange(endedRequests_, {});
    const auto syns = admissionQueue_.expire(now);
    expired.insert(expired.end(), syns.begin(), syns.end());
    return expired;
}

std::vector<std::chrono::microseconds> AgentCore::takeAnswerTimes()
{
    return std::exchange(answerTimes_, {});
}

std::vector<OutgoingDatagram> AgentCore::takeUrgentDatagrams()
{
    std::vector<OutgoingDatagram> outgoing = std::exchange(answers_, {});
    for (auto &[receiver, flows] : pendingNotices_) {
        for (std::size_t first = 0; first < flows.size(); first += Tunnel::MaxFlowsPerRedirects) {
            const auto count = std::min(Tunnel::MaxFlowsPerRedirects, flows.size() - first);
            const auto begin = flows.begin() + std::ptrdiff_t(first);
            Tunnel::Redirects redirects{selfHop_, {begin, begin + std::ptrdiff_t(count)}};
            outgoing.push_back({receiver, {service_, {}, std::move(redirects)}});
        }
    }
    pendingNotices_.clear();
    return outgoing;
}

std::vector<OutgoingDatagram> AgentCore::tick(TimePoint now)
{
    if (now - lastExpiryCheck_ >= ExpiryCheckInterval) {
        lastExpiryCheck_ = now;
        director_.expire(now);
        handoverKeeper_.expire(now);
        for (const Model::FlowKey &flow : director_.forgetIdle(now - IdleLimit))
            forgetFlow(flow);
        std::vector<Model::FlowKey> ended;
        for (const auto &[flow, flowState] : flowStates_) {
            if (flowState.ended != TimePoint() && now - flowState.ended >= EndedFlowLifetime)
                ended.push_back(flow);
        }
        for (const Model::FlowKey &flow : ended)
            forgetFlow(flow);
        std::erase_if(openingTerms_, [now](const auto &entry) {
            return now - entry.second.since >= OpeningTermsLifetime;
        });
        if (options_.maxFlowAge.count() > 0 && now - unknownFlowsSince_ >= options_.maxFlowAge)
            director_.setMayHoldUnknownFlows(false);
    }
    if (now - lastFullNotices_ >= FullNoticeInterval) {
        lastFullNotices_ = now;
        for (auto &[receiver, flows] : director_.ownershipNotices(*table_)) {
            auto &notices = pendingNotices_[receiver.tunnel];
            notices.insert(notices.end(), flows.begin(), flows.end());
        }
    }

    std::vector<OutgoingDatagram> outgoing = takeUrgentDatagrams();
    continueTakeover(now, outgoing);
    if (isRestarting(now) != std::exchange(wasReportedRestarting_, isRestarting(now)))
        reportScheduler_.onUrgentChange();
    if (const auto waiting = meter_.waiting(now); waiting != lastReportedWaiting_) {
        lastReportedWaiting_ = waiting;
        reportScheduler_.onChange();
    }
    const auto receivers = reportScheduler_.due(now, roster_);
    if (receivers.empty())
        return outgoing;
    ++reportNumber_;
    const Tunnel::Report own = report(now);
    for (const auto &[tunnel, isAskedForRoster] : receivers) {
        Tunnel::Report addressed = own;
        addressed.wantsRoster = isAskedForRoster;
        outgoing.push_back({tunnel, {service_, {}, std::move(addressed)}});
    }
    return outgoing;
}

std::vector<OutgoingDatagram> AgentCore::finalReports(TimePoint now)
{
    std::vector<OutgoingDatagram> outgoing;
    ++reportNumber_;
    for (const Model::Instance &balancer : roster_.balancers()) {
        Tunnel::Report last = report(now);
        last.sender.instance.state = Model::InstanceState::Suspect;
        last.isLeaving = isBackendLeaving_ || hasNoServer(now);
        outgoing.push_back({balancer.tunnel, {service_, {}, std::move(last)}});
    }
    appendHandover(now, outgoing);
    return outgoing;
}

AgentStatus AgentCore::status(TimePoint now)
{
    return {isAccepting(now),          meter_.waiting(now),        director_.openCount(),
            director_.redirectCount(), admissionQueue_.synCount(), admissionQueue_.requestCount(),
            meter_.answerTime(now),    failures_.share(now),       isEvacuated(),
            warmUpLimiter_.delay(now)};
}

} // namespace Forwarding
