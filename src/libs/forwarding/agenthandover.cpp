// What an agent hands over to its peers when it stops, and takes over when it starts again.

#include "forwarding/agentcore.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

/// Time after its end from which a flow is not handed over: whoever misses its last packets has
/// retransmitted by then.
static constexpr std::chrono::seconds EndedHandoverLimit{2};

std::vector<Flows::Peer> AgentCore::peers() const
{
    std::vector<Flows::Peer> peers;
    for (const Model::Instance &instance : table_->instances()) {
        const Model::InstanceId id = Model::instanceId(instance.name);
        if (id != selfHop_.instance)
            peers.push_back(
                {{id, {}, instance.tunnel}, instance.state == Model::InstanceState::Suspect});
    }
    return peers;
}

/// Whether this agent can neither deny flows that it does not know nor try them on its server.
bool AgentCore::isRestarting(TimePoint now) const
{
    return takeover_
           && (takeover_->isPending() || roster_.scope(now) == Tunnel::RosterScope::Reported);
}

void AgentCore::appendHandover(TimePoint now, std::vector<OutgoingDatagram> &outgoing) const
{
    Tunnel::FlowHandover handover;
    handover.agent = selfHop_.instance;
    handover.incarnation = options_.self.instance.incarnation;
    handover.sender = selfHop_.instance;
    // Before the first heartbeat, the server is the one of the previous process.
    const auto serverStart = backend_ ? std::optional(backend_->startTimeMs)
                                      : (takeover_ ? takeover_->serverStartTimeMs() : std::nullopt);
    handover.serverStartTimeMs = serverStart.value_or(0);
    handover.knowsAllFlows =
        serverStart && !director_.mayHoldUnknownFlows() && !isTakeoverPending();
    std::vector<Model::FlowKey> flows = director_.possiblyOwnedFlows();
    std::erase_if(flows, [&](const Model::FlowKey &flow) {
        const auto state = flowStates_.find(flow);
        return state != flowStates_.end() && state->second.ended != TimePoint()
               && now - state->second.ended >= EndedHandoverLimit;
    });
    const auto parts = Flows::handoverParts(handover, flows);
    for (const Routing::Hop &keeper :
         Flows::keepersOf(handover.agent, handover.incarnation, peers())) {
        for (const Tunnel::FlowHandover &part : parts)
            outgoing.push_back({keeper.tunnel, {service_, {}, part}});
    }
}

void AgentCore::answerHandoverRequest(TimePoint now, const Tunnel::HandoverRequest &request)
{
    for (Tunnel::FlowHandover &part : handoverKeeper_.answer(now, request)) {
        part.sender = selfHop_.instance;
        answers_.push_back({request.requester.tunnel, {service_, {}, std::move(part)}});
    }
}

/// Keeps a part of a peer's handover, or takes over the flows in one of this agent's own.
void AgentCore::onHandover(TimePoint now, const Tunnel::FlowHandover &handover)
{
    if (handover.agent != selfHop_.instance) {
        handoverKeeper_.onPart(now, handover);
        return;
    }
    if (!takeover_)
        return;
    const auto flows = takeover_->onPart(handover);
    if (!isOfCurrentServer(handover.serverStartTimeMs))
        return;
    for (const Model::FlowKey &flow : flows) {
        takenOver_.insert(flow);
        if (director_.mayOwn(flow))
            continue;
        director_.adopt(now, flow, Tunnel::Epoch(1));
        notifyFirstRankedAgent(flow);
    }
}

/// Whether the backend server that started at \a startTimeMs may be the one that runs now: no
/// heartbeat has shown another one yet.
bool AgentCore::isOfCurrentServer(std::int64_t startTimeMs) const
{
    return !backend_ || backend_->startTimeMs == startTimeMs;
}

/// Asks peers for the handover of the previous process, and ends that once all answered.
void AgentCore::continueTakeover(TimePoint now, std::vector<OutgoingDatagram> &outgoing)
{
    if (!isTakeoverPending())
        return;
    const std::vector<Flows::Peer> others = peers();
    const Routing::Hop requester{selfHop_.instance, options_.self.instance.incarnation,
                                 selfHop_.tunnel};
    if (lastRosterChange_) {
        const bool wasAccepting = isAccepting(now);
        for (const Routing::Hop &peer : takeover_->peersToAsk(now, others))
            outgoing.push_back({peer.tunnel, {service_, {}, Tunnel::HandoverRequest{requester}}});
        if (isAccepting(now) != wasAccepting)
            reportScheduler_.onUrgentChange();
    }
    const bool knowsPeers = roster_.scope(now) != Tunnel::RosterScope::Reported;
    if (!knowsPeers && now - started_ < Flows::HandoverTimeout)
        return;
    takeoverOutcome_ = takeover_->finish(now, others);
    if (!takeoverOutcome_)
        return;
    const auto heldBy = takeover_->serverStartTimeMs();
    const bool hasFoundOthers =
        std::any_of(foundFlows_.begin(), foundFlows_.end(),
                    [this](const Model::FlowKey &flow) { return !takenOver_.contains(flow); });
    takeoverOutcome_->isComplete &=
        knowsPeers && heldBy && isOfCurrentServer(*heldBy) && !hasFoundOthers;
    if (takeoverOutcome_->isComplete)
        director_.setMayHoldUnknownFlows(false);
    director_.setAwaitsHandover(false);
}

/// Forgets the flows that were taken over, since another backend server held them.
void AgentCore::dropTakenOver()
{
    for (const Model::FlowKey &flow : takenOver_)
        forgetFlow(flow);
    director_.setMayHoldUnknownFlows(true);
}

std::optional<Flows::TakeoverOutcome> AgentCore::takeTakeoverOutcome()
{
    return std::exchange(takeoverOutcome_, std::nullopt);
}

} // namespace Forwarding
