#pragma once

#include "flows/flowdirector.h"
#include "forwarding/balancercore.h"
#include "forwarding/reportscheduler.h"
#include "forwarding/deliverymarks.h"
#include "forwarding/heldsynqueue.h"
#include "membership/roster.h"
#include "placement/failuremeter.h"
#include "placement/loadmeter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Forwarding {

/// What a backend server says of itself, decoded.
struct BackendHeartbeat
{
    std::string id;
    std::string service;
    std::string failureDomain;
    Model::Endpoint address;
    std::uint32_t slots = 0;
    bool isDraining = false;
    std::chrono::milliseconds warmUpRemaining{0}; ///< how much longer it stays slow after its start
    std::int64_t startTimeMs = 0;              ///< Unix time of its start; greater in a later one
    std::uint64_t sequence = 0;           ///< grows with each beat of one start
};

/// How a beat was taken.
enum class HeartbeatOutcome {
    Taken,      ///< the agent holds what the beat says
    Outdated,  ///< a later beat, or a later start, is known
    OtherBackend, ///< the beat is of a service or an address that is not beside this agent
};

/// Returns the name of \a outcome in logs. Thread-safe.
const char *heartbeatOutcomeText(HeartbeatOutcome outcome);

/// Hand the packet to the backend server, marked with \c mark.
struct DeliverToBackend
{
    DeliveryMark mark{};
};

/// Send the packet to its caller.
struct SendToCaller
{
    Model::Endpoint caller;
};

/// Keep the packet until takeAdmitted() or takeExpired() names its flow.
struct HoldPacket
{};

using AgentVerdict =
    std::variant<DeliverToBackend, SendToCaller, ForwardPacket, ResetFlow, HoldPacket, Flows::DropCause>;

/// A held packet that is delivered now.
struct AdmittedFlow
{
    Model::FlowKey flow;
    DeliveryMark mark{};
};

/// Whether the answer's \a status says that the server failed, rather than that the request was
/// wrong. Thread-safe.
bool isServerError(int status);

/// How an agent stands to its backend server.
struct AgentStatus
{
    bool isAccepting = false;
    std::uint32_t waiting = 0;
    std::size_t openFlows = 0;
    std::size_t redirects = 0;
    std::size_t heldSyns = 0;
    std::chrono::microseconds answerTime{0};
    double failureShare = 0;
};

/// Decides on an agent that carries packets between balancers and one backend server.
///
/// Accepts new flows as the load of its backend server allows, and only after that server said that
/// it is ready; knows the flows that the server holds, learns those opened before the agent's own
/// start from the server's answers, and finds other owners. Without sockets, threads or clocks; not
/// thread-safe.
class AgentCore
{
public:
    struct Options
    {
        Tunnel::Member self;
        Model::Endpoint backend;
        bool isFirstStart = false;                 ///< no backend server can hold flows from before
        std::chrono::seconds maxFlowAge{0};       ///< flows from before this start last no longer
        std::chrono::milliseconds heartbeatInterval{0}; ///< of the backend server
    };

    AgentCore(TimePoint now, Options options);

    /// Decides on \a packet, which a balancer or an agent sent under \a header to \a service.
    AgentVerdict onCallerPacket(TimePoint now, Model::ServiceId service,
                                const Tunnel::PacketHeader &header,
                                const Tunnel::TcpPacket &packet);

    /// Decides on \a packet, which the backend server sent; \a status is that of the answer that
    /// begins in it, if one does.
    AgentVerdict onBackendPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                 std::optional<int> status);

    /// Decides on \a packet of a caller, which the backend server returned with \a mark.
    AgentVerdict onReturnedPacket(TimePoint now, const Tunnel::TcpPacket &packet,
                                  DeliveryMark mark);

    /// Takes a beat of the backend server.
    HeartbeatOutcome onHeartbeat(TimePoint now, const BackendHeartbeat &beat);

    /// Notes that the backend server called \a id leaves.
    void onBackendLeaving(TimePoint now, const std::string &id);

    /// Takes a control datagram of another process.
    void onDatagram(TimePoint now, const Tunnel::Datagram &datagram);

    /// Returns the flows whose held packets are delivered now.
    std::vector<AdmittedFlow> takeAdmitted(TimePoint now);

    /// Returns the flows whose held packets are dropped now.
    std::vector<Model::FlowKey> takeExpired(TimePoint now) { return waitingRoom_.expire(now); }

    /// Returns the times that answers took since the last call; empties the list.
    std::vector<std::chrono::microseconds> takeAnswerTimes();

    /// Returns what other processes are to learn at once: who took a flow or owns it.
    std::vector<OutgoingDatagram> takeOwnershipNotices();

    /// Returns the control datagrams that are due now.
    std::vector<OutgoingDatagram> tick(TimePoint now);

    /// Returns flows of a backend server that ended, whose callers are to be told; empties the
    /// list.
    std::vector<ResetFlow> takeResets();

    /// Returns the reports of a process that ends.
    std::vector<OutgoingDatagram> finalReports(TimePoint now);

    /// Sets where balancers run that may not be known yet.
    void setSeeds(std::vector<Model::Endpoint> seeds) { pacer_.setSeeds(std::move(seeds)); }

    AgentStatus status(TimePoint now);
    const Membership::Roster &roster() const { return roster_; }

private:
    /// What the agent keeps of an open flow besides its owner.
    struct FlowTrack
    {
        TimePoint since;                   ///< when the flow was first seen to be open
        std::uint32_t acknowledgement = 0; ///< the caller's latest
        TimePoint lastOriginNotice;
        bool callerEnded = false;
        bool backendEnded = false;
        TimePoint ended; ///< when both had
    };

    AgentVerdict act(TimePoint now, const Flows::Decision &decision,
                     const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet);
    AgentVerdict searchOn(TimePoint now, const Tunnel::PacketHeader &header,
                          const Tunnel::TcpPacket &packet);
    bool isViewWhole(TimePoint now) const;
    void noteEnded(TimePoint now, FlowTrack &track);
    AgentVerdict deliver(TimePoint now, const Tunnel::PacketHeader &header,
                         const Tunnel::TcpPacket &packet);
    Flows::Availability room(TimePoint now);
    bool hasFreeSlot(TimePoint now);
    void claimAtRegistrar(const Model::FlowKey &flow);
    void forgetFlow(const Model::FlowKey &flow);
    void endFlowsBefore(TimePoint limit);
    void noteAnswer(TimePoint now, bool failed);
    void rebuild();
    bool isAccepting(TimePoint now) const;
    Tunnel::Report report(TimePoint now);

    Options options_;
    Model::ServiceId service_;
    Routing::Hop selfHop_;
    Membership::Roster roster_;
    ReportScheduler pacer_;
    Flows::FlowDirector director_;
    Placement::LoadMeter meter_;
    Placement::FailureMeter failures_;
    DeliveryMarks marks_;
    HeldSynQueue waitingRoom_;
    std::unordered_map<Model::FlowKey, FlowTrack> tracks_;
    std::unique_ptr<Routing::ServiceTable> table_;
    std::optional<BackendHeartbeat> backend_;
    bool hasLeft_ = false;
    TimePoint started_;
    std::optional<TimePoint> viewChanged_;   ///< the latest change of the roster by a balancer
    TimePoint lastBeat_;                     ///< the latest beat that was taken
    TimePoint lastBackendSign_;              ///< the latest packet or beat of the backend server
    std::optional<TimePoint> unansweredSyn_; ///< the first SYN delivered after lastBackendSign_
    std::map<Model::Endpoint, std::vector<Tunnel::ClaimedFlow>> claims_;
    std::vector<ResetFlow> resets_;
    std::vector<std::chrono::microseconds> answerTimes_;
    TimePoint lastFullClaims_;
    TimePoint lastSweep_;
    std::uint64_t reportNumber_ = 0;
    std::uint32_t reportedWaiting_ = 0;
    bool reportedOutlier_ = false;
};

} // namespace Forwarding
