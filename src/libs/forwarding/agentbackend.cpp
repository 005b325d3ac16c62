// An agent and the life of its backend server: heartbeats, starts and departures.

#include "forwarding/agentcore.h"

namespace Forwarding {

/// Heartbeat intervals after which a heartbeat counts as missed.
static constexpr int MissedHeartbeatFactor = 2;

/// Share of the heartbeat interval below which no heartbeat follows one that was acknowledged.
/// Servers repeat only unacknowledged ones sooner.
static constexpr double RepetitionShare = 0.5;

/// Sequence number of the first heartbeat of a server, some of which count from 0. A later one may
/// look as young as the first if the clock was set back.
static constexpr std::uint64_t FirstSequence = 1;

/// Heartbeat intervals after the start of an agent, after which a backend server that sent no
/// heartbeat does not run.
static constexpr double AbsentServerFactor = 1.5;

const char *heartbeatOutcomeText(HeartbeatOutcome outcome)
{
    switch (outcome) {
    case HeartbeatOutcome::Accepted:
        return "taken";
    case HeartbeatOutcome::Outdated:
        return "overtaken";
    case HeartbeatOutcome::OtherBackend:
        return "other-place";
    }
    return "unknown";
}

HeartbeatOutcome AgentCore::onHeartbeat(TimePoint now, const BackendHeartbeat &heartbeat)
{
    if (Model::serviceId(heartbeat.service) != service_ || heartbeat.address != options_.backend)
        return HeartbeatOutcome::OtherBackend;
    if (backend_) {
        const bool isSameStart =
            heartbeat.id == backend_->id && heartbeat.startTimeMs == backend_->startTimeMs;
        // If the clock was set back, a later start has a smaller time. Such a start is accepted
        // once the current server sends no more heartbeats.
        const bool isCurrentSilent =
            now - lastHeartbeat_ >= options_.heartbeatInterval * MissedHeartbeatFactor;
        const bool isOutdated =
            isSameStart ? heartbeat.sequence <= backend_->sequence
                        : heartbeat.startTimeMs <= backend_->startTimeMs && !isCurrentSilent;
        if (isOutdated)
            return HeartbeatOutcome::Outdated;
        if (!isSameStart) {
            // The new server started at most this long ago; flows opened since may be its own.
            const auto oldest =
                options_.heartbeatInterval * MissedHeartbeatFactor * (heartbeat.sequence + 1);
            endAllFlows(now - oldest);
            director_.setMayHoldUnknownFlows(true);
            unknownFlowsSince_ = now;
            isBackendLeaving_ = false;
            hasOlderServer_ = false;
        }
    }
    if (!backend_)
        onFirstHeartbeat(heartbeat);
    warmUpLimiter_.setWarmUpEnd(now + heartbeat.warmUpRemaining);
    const bool wasAccepting = isAccepting(now);
    awaitsHeartbeat_ = false;
    backend_ = heartbeat;
    lastHeartbeat_ = now;
    lastBackendActivity_ = now;
    unansweredSyn_.reset();
    if (isAccepting(now) != wasAccepting)
        reportScheduler_.onUrgentChange();
    return HeartbeatOutcome::Accepted;
}

/// Processes the first \a heartbeat since this agent started.
void AgentCore::onFirstHeartbeat(const BackendHeartbeat &heartbeat)
{
    const auto heldBy = takeover_ ? takeover_->serverStartTimeMs() : std::nullopt;
    if (heldBy && *heldBy != heartbeat.startTimeMs)
        dropTakenOver();
    if (isFirstAcknowledged(heartbeat)) {
        // The previous process knew no flow of this server.
        takeover_.reset();
        director_.setAwaitsHandover(false);
        director_.setMayHoldUnknownFlows(false);
    } else {
        hasOlderServer_ = !options_.isFirstStart;
        warmUpLimiter_.onUnknownStarts(started_);
    }
}

/// Whether no agent acknowledged a heartbeat of this start of the server before \a heartbeat, and
/// thus delivered a SYN to it.
bool AgentCore::isFirstAcknowledged(const BackendHeartbeat &heartbeat) const
{
    return heartbeat.sequence <= FirstSequence && heartbeat.age.count() >= 0
           && heartbeat.age < options_.heartbeatInterval * RepetitionShare;
}

/// Whether the backend server holds no flow that this agent does not know. A server that sends no
/// heartbeat is taken for absent here only: packets of unknown flows are still delivered to it, in
/// case it hangs.
bool AgentCore::knowsAllFlows(TimePoint now) const
{
    if (!backend_)
        return isKnownAbsent() || now - started_ >= options_.heartbeatInterval * AbsentServerFactor;
    return !director_.mayHoldUnknownFlows();
}

/// Whether no backend server runs beside this agent: none sent a heartbeat since the start.
bool AgentCore::hasNoServer(TimePoint now) const
{
    return !backend_ && knowsAllFlows(now) && director_.openCount() == 0;
}

/// Whether the server's address refused a connection before any heartbeat, although servers of this
/// service accept connections.
bool AgentCore::isKnownAbsent() const
{
    return !backend_ && wasConnectionRefused_
           && roster_.hasListeningServer(options_.self.instance.service);
}

void AgentCore::onConnectionTried(bool isAccepted)
{
    serverListens_ |= isAccepted;
    wasConnectionRefused_ |= !isAccepted && !backend_;
}

bool AgentCore::needsConnection() const
{
    return !serverListens_ && (backend_ ? !backend_->isDraining : !wasConnectionRefused_);
}

void AgentCore::onBackendLeaving(TimePoint, const BackendDeparture &departure)
{
    if (!backend_ || backend_->id != departure.id)
        return;
    if (departure.startTimeMs && *departure.startTimeMs != backend_->startTimeMs)
        return;
    isBackendLeaving_ = true;
    // The server ends now, so that packets of flows that this agent does not know would be lost.
    director_.setMayHoldUnknownFlows(false);
    reportScheduler_.onUrgentChange();
}

/// Ends the flows of a backend server that was replaced, and resets those opened before
/// \a resetBefore. Later ones may belong to its successor; their owner is found again with the next
/// packet.
void AgentCore::endAllFlows(TimePoint resetBefore)
{
    for (const Model::FlowKey &flow : director_.ownedFlows()) {
        const auto flowState = flowStates_.find(flow);
        if (flowState != flowStates_.end() && flowState->second.since < resetBefore)
            resets_.push_back({flow, flowState->second.acknowledgement, {}});
        director_.onFlowRemoved(flow);
    }
    flowStates_.clear();
    meter_.clear();
    failures_.clear();
}

} // namespace Forwarding
