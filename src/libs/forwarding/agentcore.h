#pragma once

#include "flows/flowdirector.h"
#include "flows/handover.h"
#include "forwarding/admissionqueue.h"
#include "forwarding/balancercore.h"
#include "forwarding/deliverymarks.h"
#include "forwarding/reportscheduler.h"
#include "membership/roster.h"
#include "placement/failuremeter.h"
#include "placement/loadmeter.h"
#include "placement/warmuplimiter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Forwarding {

/// A decoded heartbeat of a backend server.
struct BackendHeartbeat
{
    std::string id;
    std::string service;
    std::string failureDomain;
    Model::Endpoint address;
    std::uint32_t slots = 0;
    bool isDraining = false;
    std::chrono::milliseconds warmUpRemaining{0}; ///< of the slow phase after its start
    std::int64_t startTimeMs = 0;     ///< Unix time of its start; a later start has a greater one
    std::uint64_t sequence = 0;       ///< grows with each heartbeat of one start
    std::chrono::milliseconds age{0}; ///< time since its start; wrong if the clock was set
};

/// Notice of a backend server that it ends permanently.
struct BackendDeparture
{
    std::string id;
    std::optional<std::int64_t> startTimeMs; ///< of the start that ends; any if not stated
};

/// Result of processing a heartbeat.
enum class HeartbeatOutcome {
    Accepted,     ///< the agent uses the contents of the heartbeat
    Outdated,     ///< a later heartbeat, or one of a later start, was received before
    OtherBackend, ///< the service or the address is not that of this agent's backend server
};

/// Returns the name of \a outcome in logs. Thread-safe.
const char *heartbeatOutcomeText(HeartbeatOutcome outcome);

/// Deliver the packet to the backend server, marked with \c mark.
struct DeliverToBackend
{
    DeliveryMark mark{};
};

/// Send the packet to its caller.
struct SendToCaller
{
    Model::Endpoint caller;
};

/// Hold the packet until takeAdmitted() or takeExpired() returns its flow.
struct HoldPacket
{
    bool isAddition = false; ///< hold the packets of its flow that are held already, too
};

/// Send the packet back to \c receiver, the balancer that sent it, behind the header in
/// \c datagram: no agent of this service owns the flow, and that balancer knows which other
/// services may.
struct ReturnToOrigin
{
    Tunnel::Datagram datagram;
    Model::Endpoint receiver;
};

using AgentVerdict = std::variant<DeliverToBackend, SendToCaller, ForwardPacket, ReturnToOrigin,
                                  ResetFlow, HoldPacket, Flows::DropCause>;

/// A flow whose held packets are to be delivered now, in order and marked with \c mark.
struct AdmittedFlow
{
    Model::FlowKey flow;
    DeliveryMark mark{};
};

/// Returns whether the HTTP \a status of a response reports a failure of the server rather than a
/// wrong request. Thread-safe.
bool isServerError(int status);

/// Load and health of an agent's backend server, as measured by the agent.
struct AgentStatus
{
    bool isAccepting = false;  ///< accepts new flows if a slot is free
    std::uint32_t waiting = 0; ///< flows whose request is not answered yet, or is expected
    std::size_t openFlows = 0;
    std::size_t redirects = 0; ///< flows known to be owned by other agents
    std::size_t heldSyns = 0;
    std::size_t heldRequests = 0;
    std::chrono::microseconds answerTime{0}; ///< smoothed
    double failureShare = 0;                 ///< smoothed share of failed responses, 0 to 1
    bool isEvacuated = false;                ///< the operator evacuated the failure domain
    std::chrono::milliseconds startDelay{0}; ///< until the server may get another flow
};

/// Decides what an agent does with the packets between balancers and its backend server.
///
/// Accepts new flows as far as the load of the backend server allows, and only after a heartbeat of
/// that server. Tracks the flows that the server holds, detects those opened before the agent's own
/// start from the server's responses, and finds the owners of other flows. Uses no sockets, threads
/// or clocks; not thread-safe.
class AgentCore
{
public:
    struct Options
    {
        Tunnel::Member self;
        Model::Endpoint backend;
        bool isFirstStart = false;          ///< no flow can be older than this agent
        std::chrono::seconds maxFlowAge{0}; ///< longest life of older flows; 0: no limit
        std::chrono::milliseconds heartbeatInterval{0}; ///< between heartbeats of the server
    };

    AgentCore(TimePoint now, Options options);

    /// Decides on \a packet of a caller, which a balancer or another agent sent with \a header to
    /// \a service.
    AgentVerdict onCallerPacket(TimePoint now, Model::ServiceId service,
                                const Tunnel::PacketHeader &header,
                                const Tunnel::TcpPacket &packet);

    /// Decides on \a packet, which the backend server sent. \a status is the HTTP status of the
    /// response that begins in the packet, if one does.
    AgentVerdict onBackendPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                 std::optional<int> status);

    /// Decides on \a packet of a caller, which the backend server returned with \a mark because it
    /// does not hold the flow or can't accept it.
    AgentVerdict onReturnedPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                  DeliveryMark mark);

    /// Processes a heartbeat of the backend server.
    HeartbeatOutcome onHeartbeat(TimePoint now, const BackendHeartbeat &heartbeat);

    /// Stops accepting new flows, since the backend server ends permanently. Ignored if \a
    /// departure is of another server than the current one, or of an earlier start of it.
    void onBackendLeaving(TimePoint now, const BackendDeparture &departure);

    /// Records whether the backend server's address accepted a connection or refused it. A refusal
    /// before the first heartbeat shows that no server runs, if servers of this service accept
    /// connections; see Tunnel::Member::serverListens.
    void onConnectionTried(bool isAccepted);

    /// Whether to connect to the backend server's address, to find out whether a server runs or, if
    /// one does, whether it accepts connections.
    bool needsConnection() const;

    /// Processes a control datagram of another process.
    void onDatagram(TimePoint now, const Tunnel::Datagram &datagram);

    /// Returns the flows whose held packets are to be delivered now; they are no longer held. Must
    /// be called after each packet and each tick.
    std::vector<AdmittedFlow> takeAdmitted(TimePoint now);

    /// Returns the flows whose held packets are to be dropped now; they are no longer held.
    std::vector<Model::FlowKey> takeExpired(TimePoint now);

    /// Returns the response times measured since the last call, and clears them.
    std::vector<std::chrono::microseconds> takeAnswerTimes();

    /// Returns the datagrams to be sent at once, and clears them: notices that this agent accepted
    /// or owns a flow, and answers to queries for owners.
    std::vector<OutgoingDatagram> takeUrgentDatagrams();

    /// Expires old flows and returns the control datagrams that are due now.
    std::vector<OutgoingDatagram> tick(TimePoint now);

    /// Returns the resets to be sent to the callers of a backend server that was replaced, and
    /// clears them.
    std::vector<ResetFlow> takeResets();

    /// Returns the last reports, which announce to all balancers that this process ends, and the
    /// handover of its flows to peers. Precondition: no packet is decided on afterwards.
    std::vector<OutgoingDatagram> finalReports(TimePoint now);

    /// Returns what was learned from the handover of the previous process, once that is settled,
    /// and clears it.
    std::optional<Flows::TakeoverOutcome> takeTakeoverOutcome();

    /// Sets the addresses of balancers that get reports until the roster contains them.
    void setSeeds(std::vector<Model::Endpoint> seeds)
    {
        reportScheduler_.setSeeds(std::move(seeds));
    }

    AgentStatus status(TimePoint now);
    const Membership::Roster &roster() const { return roster_; }

private:
    /// State of an open flow in addition to its owner.
    struct FlowState
    {
        TimePoint since;                   ///< when the flow was first found to be open
        std::uint32_t acknowledgement = 0; ///< latest acknowledgement number of the caller
        TimePoint lastOriginNotice;
        Tunnel::FlowTerms terms; ///< if this agent accepted the flow
        bool callerEnded = false;
        bool backendEnded = false;
        TimePoint ended; ///< when both sides had ended it
    };

    /// Terms of a flow whose SYN was delivered.
    struct OpeningTerms
    {
        Tunnel::FlowTerms terms;
        TimePoint since;
    };

    AgentVerdict applyDecision(TimePoint now, const Flows::Decision &decision,
                               const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet);
    AgentVerdict forwardSearch(TimePoint now, const Tunnel::PacketHeader &header,
                               const Tunnel::TcpPacket &packet);
    bool isTakeoverPending() const { return takeover_ && takeover_->isPending(); }
    bool isRestarting(TimePoint now) const;
    std::vector<Flows::Peer> peers() const;
    void onHandover(TimePoint now, const Tunnel::FlowHandover &handover);
    void answerHandoverRequest(TimePoint now, const Tunnel::HandoverRequest &request);
    void continueTakeover(TimePoint now, std::vector<OutgoingDatagram> &outgoing);
    bool isOfCurrentServer(std::int64_t startTimeMs) const;
    void dropTakenOver();
    void onFirstHeartbeat(const BackendHeartbeat &heartbeat);
    void appendHandover(TimePoint now, std::vector<OutgoingDatagram> &outgoing) const;
    Routing::SearchFindings rosterFindings(TimePoint now) const;
    Routing::SearchFindings viewFindings(TimePoint now) const;
    void answerQuery(TimePoint now, const Tunnel::OwnerQuery &query);
    bool knowsAllFlows(TimePoint now) const;
    bool hasNoServer(TimePoint now) const;
    bool isKnownAbsent() const;
    bool isFirstAcknowledged(const BackendHeartbeat &heartbeat) const;
    void recordEnd(TimePoint now, FlowState &flowState);
    AgentVerdict deliver(TimePoint now, const Tunnel::PacketHeader &header,
                         const Tunnel::TcpPacket &packet);
    Flows::Availability availability(TimePoint now);
    bool isServerFull(TimePoint now);
    bool hasFreeSlot(TimePoint now);
    std::optional<AgentVerdict> holdBehindUrgent(TimePoint now, const Tunnel::PacketHeader &header,
                                                 const Tunnel::TcpPacket &packet);
    void recordOpening(TimePoint now, const Tunnel::PacketHeader &header,
                       const Tunnel::TcpPacket &packet);
    FlowState &flowStateOf(TimePoint now, const Model::FlowKey &flow);
    void admitRequest(TimePoint now, const AdmissionQueue::Entry &request,
                      std::vector<AdmittedFlow> &admitted);
    void notifyFirstRankedAgent(const Model::FlowKey &flow);
    void forgetFlow(const Model::FlowKey &flow);
    void endAllFlows(TimePoint resetBefore);
    void recordAnswer(TimePoint now, bool failed);
    void rebuild();
    bool isAccepting(TimePoint now) const;
    bool isEvacuated() const;
    void setEvacuations(TimePoint now, const Model::Evacuations &evacuations);
    Tunnel::Report report(TimePoint now);

    Options options_;
    Model::ServiceId service_;
    Routing::Hop selfHop_;
    Membership::Roster roster_;
    ReportScheduler reportScheduler_;
    Flows::FlowDirector director_;
    Placement::LoadMeter meter_;
    Placement::FailureMeter failures_;
    Placement::WarmUpLimiter warmUpLimiter_;
    Model::Evacuations evacuations_;
    bool awaitsHeartbeat_ =
        false; ///< the evacuation of the failure domain ended after the last one
    DeliveryMarks marks_;
    Flows::HandoverKeeper handoverKeeper_;
    std::optional<Flows::Takeover> takeover_; ///< unless no process ran before this one
    std::set<Model::FlowKey> takenOver_;      ///< flows in the handover
    std::vector<Model::FlowKey> foundFlows_;  ///< of the server, found in its data at the start
    std::optional<Flows::TakeoverOutcome> takeoverOutcome_;
    bool wasReportedRestarting_ = false;
    AdmissionQueue admissionQueue_;
    std::vector<Model::FlowKey> endedRequests_; ///< held ones that their callers ended
    std::unordered_map<Model::FlowKey, OpeningTerms> openingTerms_; ///< of flows that open
    std::unordered_map<Model::FlowKey, FlowState> flowStates_;
    std::unique_ptr<Routing::ServiceTable> table_;
    Routing::SearchFindings peerFindings_; ///< on agents of the service that can't be asked
    std::optional<BackendHeartbeat> backend_;
    bool isBackendLeaving_ = false;
    bool hasOlderServer_ = false;       ///< the server ran before this process
    bool wasConnectionRefused_ = false; ///< before the first heartbeat
    bool serverListens_ = false;
    TimePoint started_;
    TimePoint unknownFlowsSince_; ///< the latest time from which unknown flows may be held
    std::optional<TimePoint> lastRosterChange_; ///< latest change of the possible owners of flows
    std::uint64_t ownerChanges_ = 0;            ///< of the roster at that time
    Model::Generation newestGeneration_{};      ///< of the balancers that sent packets
    TimePoint lastHeartbeat_;                   ///< latest heartbeat that was accepted
    TimePoint lastBackendActivity_;          ///< latest packet or heartbeat of the backend server
    std::optional<TimePoint> unansweredSyn_; ///< first SYN delivered after lastBackendActivity_
    std::map<Model::Endpoint, std::vector<Tunnel::ClaimedFlow>> pendingNotices_;
    std::vector<OutgoingDatagram> answers_;
    std::vector<ResetFlow> resets_;
    std::vector<std::chrono::microseconds> answerTimes_;
    TimePoint lastFullNotices_;
    TimePoint lastExpiryCheck_;
    std::uint64_t reportNumber_ = 0;
    std::uint32_t lastReportedWaiting_ = 0;
    bool wasReportedOutlier_ = false;
};

} // namespace Forwarding
