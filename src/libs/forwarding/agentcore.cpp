#include "forwarding/agentcore.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

/// Deliveries that may be on their way to a backend server and back: 4096 packets of 1.2 KB are
/// more than its link holds in a round trip.
static constexpr std::size_t RememberedDeliveries = 4096;

/// Time without an answer to a SYN after which no further one is delivered. Backend servers answer
/// in under a millisecond; the rest covers a processor shared by others.
static constexpr std::chrono::milliseconds SynSilence{100};

/// Time without any sign of the backend server after which it gets no new flow: three beats.
static constexpr std::chrono::milliseconds BackendSilence{4000};

/// How often all flows are claimed again, since claims may be lost.
static constexpr std::chrono::seconds FullClaimInterval{10};

/// Least time between two notices about one flow to the balancers that miss its owner.
static constexpr std::chrono::milliseconds OriginNoticeInterval{100};

/// How often ended and idle flows are searched for.
static constexpr std::chrono::seconds SweepInterval{1};

/// How long a flow without a packet is remembered; longer than any idle timeout of the deployments.
static constexpr std::chrono::seconds IdleLimit{60};

/// Time without a change of the roster after which it misses no owner that runs, so that a caller
/// may be told that its flow is gone: two balancers were asked for theirs in it.
static constexpr std::chrono::milliseconds SettlingTime{2 * Membership::ReportInterval};

/// How long an ended flow is remembered, for copies of its last packets: a caller that misses an
/// acknowledgement sends again after 200 ms, 400 ms, 800 ms and then every 1.6 s.
static constexpr std::chrono::seconds EndedLinger{10};

/// Flows that one backend server may hold, as the services' connections are bounded.
static constexpr std::size_t MaxOpenFlows = 2000;

/// Requests beyond the slots that may wait at the backend server when that of a new flow arrives.
/// One keeps a slot from idling; more would wait in the order of their arrival, where a later one
/// that can still be in time can't go first.
static constexpr std::uint32_t SpareWaiting = 1;

/// Times its interval that a beat may be late.
static constexpr int BeatMargin = 2;

const char *heartbeatOutcomeText(HeartbeatOutcome outcome)
{
    switch (outcome) {
    case HeartbeatOutcome::Taken:
        return "taken";
    case HeartbeatOutcome::Outdated:
        return "overtaken";
    case HeartbeatOutcome::OtherBackend:
        return "other-place";
    }
    return "unknown";
}

AgentCore::AgentCore(TimePoint now, Options options)
    : options_(std::move(options))
    , service_(Model::serviceId(options_.self.instance.service))
    , selfHop_{Model::instanceId(options_.self.instance.name), {}, options_.self.instance.tunnel}
    , roster_(options_.self)
    , pacer_(options_.self.instance.failureDomain)
    , director_(selfHop_, service_)
    , marks_(RememberedDeliveries)
    , started_(now)
    , lastBackendSign_(now)
    , lastFullClaims_(now)
    , lastSweep_(now)
{
    director_.setMayHoldUnknownFlows(!options_.isFirstStart);
    rebuild();
}

bool AgentCore::isAccepting(TimePoint now) const
{
    const bool isSilent = now - lastBackendSign_ >= BackendSilence
                          || (unansweredSyn_ && now - *unansweredSyn_ >= SynSilence);
    return backend_ && !backend_->isDraining && !hasLeft_ && !isSilent;
}

bool AgentCore::hasFreeSlot(TimePoint now)
{
    const std::uint32_t slots = backend_ ? std::max(1u, backend_->slots) : 1;
    return meter_.occupancy(now) < slots + SpareWaiting;
}

Flows::Availability AgentCore::room(TimePoint now)
{
    return {isAccepting(now), hasFreeSlot(now), hasFreeSlot(now) && director_.openCount() < MaxOpenFlows};
}

AgentVerdict AgentCore::onCallerPacket(TimePoint now, Model::ServiceId service,
                                       const Tunnel::PacketHeader &header,
                                       const Tunnel::TcpPacket &packet)
{
    const bool wasOwned = director_.owns(packet.flow);
    const Flows::Decision decision = director_.onPacket(now, service, header, packet, room(now));
    if (!wasOwned && director_.owns(packet.flow))
        claimAtRegistrar(packet.flow);
    return act(now, decision, header, packet);
}

AgentVerdict AgentCore::act(TimePoint now, const Flows::Decision &decision,
                            const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet)
{
    if (decision.notice)
        claims_[decision.notice->receiver.tunnel].push_back(decision.notice->flow);
    if (std::holds_alternative<Flows::Deliver>(decision.verdict))
        return deliver(now, header, packet);
    if (const auto *passOn = std::get_if<Flows::ForwardToHop>(&decision.verdict)) {
        const Routing::Hop &next = passOn->header.chain[passOn->header.position];
        return ForwardPacket{{service_, {}, passOn->header}, next.tunnel};
    }
    const auto cause = std::get<Flows::Drop>(decision.verdict).cause;
    const bool isFull = cause == Flows::DropCause::NoRoom && isAccepting(now);
    if (isFull && waitingRoom_.hold(now, header, packet))
        return HoldPacket{};
    return cause == Flows::DropCause::NoOwner ? searchOn(now, header, packet) : AgentVerdict(cause);
}

AgentVerdict AgentCore::searchOn(TimePoint now, const Tunnel::PacketHeader &header,
                                 const Tunnel::TcpPacket &packet)
{
    if (const auto onward = Flows::continueSearch(*table_, header, packet.flow))
        return ForwardPacket{{service_, {}, *onward}, onward->chain[0].tunnel};
    if (packet.rst || packet.opensFlow() || !isViewWhole(now))
        return Flows::DropCause::NoOwner;
    return ResetFlow{packet.flow, packet.acknowledgement};
}

/// Whether all instances that may own a flow of the service were known and able to say so.
bool AgentCore::isViewWhole(TimePoint now) const
{
    if (!viewChanged_ || now - *viewChanged_ < SettlingTime)
        return false;
    const auto &instances = table_->instances();
    return std::none_of(instances.begin(), instances.end(), [](const Model::Instance &instance) {
        return instance.state == Model::InstanceState::Suspect;
    });
}

void AgentCore::noteEnded(TimePoint now, FlowTrack &track)
{
    if (track.callerEnded && track.backendEnded && track.ended == TimePoint())
        track.ended = now;
}

AgentVerdict AgentCore::deliver(TimePoint now, const Tunnel::PacketHeader &header,
                                const Tunnel::TcpPacket &packet)
{
    if (packet.opensFlow()) {
        meter_.onOpening(now, packet.flow);
        // The balancer sends the next packets to the agent that it offered the flow to.
        if (header.passes > 0 && header.origin.isValid())
            claims_[header.origin].push_back({packet.flow, Tunnel::Epoch(0)});
        if (!unansweredSyn_)
            unansweredSyn_ = now;
    } else if (packet.payloadBytes > 0) {
        meter_.onRequestBytes(now, packet.flow);
    }
    if (director_.owns(packet.flow)) {
        FlowTrack &track =
            tracks_.try_emplace(packet.flow, FlowTrack{now, 0, {}, false, false, {}}).first->second;
        track.acknowledgement = packet.acknowledgement;
        track.callerEnded |= packet.fin || packet.rst;
        noteEnded(now, track);
        const bool wasSearched = header.passes > 0 && header.origin.isValid();
        if (wasSearched && now - track.lastOriginNotice >= OriginNoticeInterval) {
            track.lastOriginNotice = now;
            claims_[header.origin].push_back({packet.flow, Tunnel::Epoch(1)});
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

void AgentCore::noteAnswer(TimePoint now, bool failed)
{
    failures_.onAnswer(now, failed);
    const bool isOutlier = failures_.share(now) >= Placement::OutlierFailureShare;
    if (isOutlier != std::exchange(reportedOutlier_, isOutlier))
        pacer_.onUrgentChange();
}

AgentVerdict AgentCore::onBackendPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                        std::optional<int> status)
{
    lastBackendSign_ = now;
    unansweredSyn_.reset();
    if (packet.syn) {
        director_.onSynAckSent(packet.flow, packet.sequence);
        return SendToCaller{packet.flow.caller};
    }
    if (packet.payloadBytes > 0) {
        if (director_.onPacketFromBackend(now, packet.flow))
            claimAtRegistrar(packet.flow);
        if (const auto taken = meter_.onAnswerBytes(now, packet.flow))
            answerTimes_.push_back(*taken);
    }
    if (status)
        noteAnswer(now, isServerError(*status));
    else if (packet.rst && meter_.isWaiting(packet.flow))
        noteAnswer(now, true);
    if (packet.fin || packet.rst) {
        meter_.onFlowRemoved(packet.flow);
        if (const auto track = tracks_.find(packet.flow); track != tracks_.end()) {
            track->second.backendEnded = true;
            track->second.callerEnded |= packet.rst;
            noteEnded(now, track->second);
        }
    }
    return SendToCaller{packet.flow.caller};
}

AgentVerdict AgentCore::onReturnedPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                         DeliveryMark mark)
{
    lastBackendSign_ = now;
    unansweredSyn_.reset();
    forgetFlow(packet.flow);
    const auto known = marks_.find(mark);
    Tunnel::PacketHeader header;
    if (known) {
        header = *known;
    } else {
        const auto kind =
            packet.opensFlow() ? Routing::PacketKind::OpensFlow : Routing::PacketKind::ContinuesFlow;
        header.chain = table_->chainFor(Model::flowHash(packet.flow), kind);
        header.opensFlow = packet.opensFlow();
        if (header.chain.isEmpty())
            return Flows::DropCause::NoOwner;
    }
    return act(now, director_.onReturnedByBackend(now, header, packet), header, packet);
}

HeartbeatOutcome AgentCore::onHeartbeat(TimePoint now, const BackendHeartbeat &beat)
{
    if (Model::serviceId(beat.service) != service_ || beat.address != options_.backend)
        return HeartbeatOutcome::OtherBackend;
    if (backend_) {
        const bool isSameStart = beat.id == backend_->id && beat.startTimeMs == backend_->startTimeMs;
        // After a step of the clock a later start has a smaller time; the silence of the other
        // tells.
        const bool isKnownSilent = now - lastBeat_ >= options_.heartbeatInterval * BeatMargin;
        const bool isOvertaken = isSameStart ? beat.sequence <= backend_->sequence
                                             : beat.startTimeMs <= backend_->startTimeMs && !isKnownSilent;
        if (isOvertaken)
            return HeartbeatOutcome::Outdated;
        if (!isSameStart) {
            // The new server started at most that many beats ago; later flows may be its own.
            const auto oldest = options_.heartbeatInterval * BeatMargin * (beat.sequence + 1);
            endFlowsBefore(now - oldest);
            director_.setMayHoldUnknownFlows(true);
            started_ = now;
            hasLeft_ = false;
        }
    }
    const bool wasAccepting = isAccepting(now);
    backend_ = beat;
    lastBeat_ = now;
    lastBackendSign_ = now;
    unansweredSyn_.reset();
    if (isAccepting(now) != wasAccepting)
        pacer_.onUrgentChange();
    return HeartbeatOutcome::Taken;
}

void AgentCore::onBackendLeaving(TimePoint, const std::string &id)
{
    if (!backend_ || backend_->id != id)
        return;
    hasLeft_ = true;
    pacer_.onUrgentChange();
}

/// Ends the flows of a backend server that was replaced. Those that may be its successor's are
/// asked for again by their next packet.
void AgentCore::endFlowsBefore(TimePoint limit)
{
    for (const Model::FlowKey &flow : director_.ownedFlows()) {
        const auto track = tracks_.find(flow);
        if (track != tracks_.end() && track->second.since < limit)
            resets_.push_back({flow, track->second.acknowledgement});
        director_.onFlowRemoved(flow);
    }
    tracks_.clear();
    meter_.clear();
    failures_.clear();
}

std::vector<ResetFlow> AgentCore::takeResets()
{
    return std::exchange(resets_, {});
}

void AgentCore::forgetFlow(const Model::FlowKey &flow)
{
    tracks_.erase(flow);
    meter_.onFlowRemoved(flow);
    director_.onFlowRemoved(flow);
}

void AgentCore::claimAtRegistrar(const Model::FlowKey &flow)
{
    const auto chain = table_->chainFor(Model::flowHash(flow), Routing::PacketKind::ContinuesFlow);
    if (!chain.isEmpty() && chain[0].instance != selfHop_.instance)
        claims_[chain[0].tunnel].push_back({flow, Tunnel::Epoch(1)});
}

void AgentCore::onDatagram(TimePoint now, const Tunnel::Datagram &datagram)
{
    if (const auto *part = std::get_if<Tunnel::RosterPart>(&datagram.content)) {
        const bool isFirst = !viewChanged_;
        if (roster_.onRosterPart(now, *part) || isFirst) {
            viewChanged_ = now;
            rebuild();
        }
    } else if (const auto *report = std::get_if<Tunnel::Report>(&datagram.content)) {
        // A balancer that starts says so to the agents that it read of.
        const bool isBalancer = report->sender.role == Tunnel::Role::Balancer;
        if (isBalancer && roster_.onReport(now, *report))
            pacer_.onUrgentChange();
    } else if (const auto *redirects = std::get_if<Tunnel::Redirects>(&datagram.content)) {
        if (datagram.service == service_)
            director_.onRedirects(now, redirects->owner, redirects->flows);
    }
}

void AgentCore::rebuild()
{
    Model::Service service;
    service.name = options_.self.instance.service;
    std::vector<Model::Instance> instances{options_.self.instance};
    for (Model::Instance &agent : roster_.agents()) {
        if (agent.service == service.name)
            instances.push_back(std::move(agent));
    }
    // A restart of an agent leaves the flows of its backend server where they are.
    for (Model::Instance &instance : instances)
        instance.incarnation = {};
    if (table_)
        table_ = std::make_unique<Routing::ServiceTable>(*table_, std::move(instances));
    else
        table_ = std::make_unique<Routing::ServiceTable>(service, std::move(instances));
    director_.onTableChanged(*table_);
    for (auto &[receiver, flows] : director_.ownershipNotices(*table_)) {
        auto &claims = claims_[receiver.tunnel];
        claims.insert(claims.end(), flows.begin(), flows.end());
    }
}

Tunnel::Report AgentCore::report(TimePoint now)
{
    Tunnel::Report report;
    report.sender = options_.self;
    report.sender.instance.state =
        isAccepting(now) ? Model::InstanceState::Ready : Model::InstanceState::Draining;
    report.number = reportNumber_;
    report.waiting = meter_.waiting(now);
    report.open = std::uint32_t(director_.openCount());
    report.slots = backend_ ? backend_->slots : 0;
    report.answerTime = meter_.answerTime(now);
    report.failureShare = failures_.share(now);
    report.rosterDigest = roster_.digest();
    return report;
}

std::vector<AdmittedFlow> AgentCore::takeAdmitted(TimePoint now)
{
    std::vector<AdmittedFlow> admitted;
    while (isAccepting(now) && hasFreeSlot(now)) {
        const auto held = waitingRoom_.take(now);
        if (!held)
            break;
        const Flows::Decision decision =
            director_.onPacket(now, service_, held->header, held->packet, {true, true, true});
        const auto verdict = act(now, decision, held->header, held->packet);
        if (const auto *delivery = std::get_if<DeliverToBackend>(&verdict))
            admitted.push_back({held->packet.flow, delivery->mark});
    }
    return admitted;
}

std::vector<std::chrono::microseconds> AgentCore::takeAnswerTimes()
{
    return std::exchange(answerTimes_, {});
}

std::vector<OutgoingDatagram> AgentCore::takeOwnershipNotices()
{
    std::vector<OutgoingDatagram> outgoing;
    for (auto &[receiver, flows] : claims_) {
        for (std::size_t first = 0; first < flows.size(); first += Tunnel::MaxFlowsPerRedirects) {
            const auto count = std::min(Tunnel::MaxFlowsPerRedirects, flows.size() - first);
            const auto begin = flows.begin() + std::ptrdiff_t(first);
            Tunnel::Redirects redirects{selfHop_, {begin, begin + std::ptrdiff_t(count)}};
            outgoing.push_back({receiver, {service_, {}, std::move(redirects)}});
        }
    }
    claims_.clear();
    return outgoing;
}

std::vector<OutgoingDatagram> AgentCore::tick(TimePoint now)
{
    if (now - lastSweep_ >= SweepInterval) {
        lastSweep_ = now;
        director_.expire(now);
        for (const Model::FlowKey &flow : director_.forgetIdle(now - IdleLimit))
            forgetFlow(flow);
        std::vector<Model::FlowKey> ended;
        for (const auto &[flow, track] : tracks_) {
            if (track.ended != TimePoint() && now - track.ended >= EndedLinger)
                ended.push_back(flow);
        }
        for (const Model::FlowKey &flow : ended)
            forgetFlow(flow);
        if (options_.maxFlowAge.count() > 0 && now - started_ >= options_.maxFlowAge)
            director_.setMayHoldUnknownFlows(false);
    }
    if (now - lastFullClaims_ >= FullClaimInterval) {
        lastFullClaims_ = now;
        for (auto &[receiver, flows] : director_.ownershipNotices(*table_)) {
            auto &claims = claims_[receiver.tunnel];
            claims.insert(claims.end(), flows.begin(), flows.end());
        }
    }

    std::vector<OutgoingDatagram> outgoing = takeOwnershipNotices();
    if (const auto waiting = meter_.waiting(now); waiting != reportedWaiting_) {
        reportedWaiting_ = waiting;
        pacer_.onChange();
    }
    const auto receivers = pacer_.due(now, roster_);
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
        last.isLeaving = hasLeft_;
        outgoing.push_back({balancer.tunnel, {service_, {}, std::move(last)}});
    }
    return outgoing;
}

AgentStatus AgentCore::status(TimePoint now)
{
    return {isAccepting(now),          meter_.waiting(now), director_.openCount(),
            director_.redirectCount(), waitingRoom_.size(), meter_.answerTime(now),
            failures_.share(now)};
}

} // namespace Forwarding
