#pragma once

#include "forwarding/denialbasis.h"
#include "forwarding/flowcache.h"
#include "forwarding/lostflowsearch.h"
#include "forwarding/reportscheduler.h"
#include "membership/roster.h"
#include "placement/agentselector.h"
#include "routing/routehistory.h"
#include "routing/routingtable.h"
#include "routing/successioncheck.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Forwarding {

using TimePoint = std::chrono::steady_clock::time_point;

/// Number of the last retransmission of a caller's SYN, 600 ms after the first SYN. From this one
/// on, a balancer refuses an address that was never configured; before it, a new configuration may
/// have reached other balancers only.
constexpr std::uint32_t LastSynRetransmission = 2;

/// How long a balancer that has a configuration waits until it learns which failure domains are
/// evacuated, before it places new flows in all of them: the store must be unreachable for longer
/// than its timeout, and no other balancer can know either.
constexpr std::chrono::seconds MaxEvacuationWait{2};

/// Why a balancer drops a packet.
enum class BalancerDrop {
    NotConfigured,      ///< no configuration was received yet
    EvacuationsUnknown, ///< which failure domains are evacuated was not learned yet
    UnknownRoute,       ///< the address was never configured
    NoAgent,            ///< no agent of the service can take the packet
    NoOwner,            ///< no agent that was asked owns the flow, but one that was not asked may
};

/// Returns the name of \a cause in logs and metrics. Thread-safe.
const char *balancerDropText(BalancerDrop cause);

/// Send the packet to \c receiver, behind the header in \c datagram.
struct ForwardPacket
{
    Tunnel::Datagram datagram;
    Model::Endpoint receiver;
};

/// Send the caller a reset, since its flow is not open.
struct ResetFlow
{
    Model::FlowKey flow;
    std::uint32_t acknowledgement = 0; ///< the caller's latest; a reset must be close to it
    std::vector<std::string> servicesAsked = {};     ///< whose agents all deny the flow
    std::optional<DenialBasis> basis = std::nullopt; ///< if the flow's owner was not found
};

using BalancerVerdict = std::variant<ForwardPacket, ResetFlow, BalancerDrop>;

/// Decides to which agents a balancer sends callers' packets.
///
/// A new flow is offered to the agent that is expected to answer first, and each retransmission of
/// its SYN to another agent. Packets of open flows go to the same agent as before, or else to the
/// first-ranked one, which has a redirect to the owner or searches for it. A flow belongs to its
/// owner even if the configuration sends new flows to another service by now: where that may be the
/// case, the packet asks one service after the other. Uses no sockets, threads or clocks; not
/// thread-safe.
class BalancerCore
{
public:
    struct Options
    {
        Tunnel::Member self;
        bool isFirstStart = false;          ///< no flow can be older than the whole system
        std::chrono::seconds maxFlowAge{0}; ///< longest life of a flow; 0: no limit
        bool followsEvacuations = false;    ///< the operator may evacuate failure domains
    };

    /// \a now is when this process started.
    BalancerCore(TimePoint now, const Options &options);

    /// Decides on a packet of a caller.
    BalancerVerdict onCallerPacket(TimePoint now, const Tunnel::TcpPacket &packet);

    /// Decides on a caller's packet that an agent of \a service returned with \a header, because no
    /// agent of that service owns its flow.
    BalancerVerdict onUnownedPacket(TimePoint now, Model::ServiceId service,
                                    const Tunnel::PacketHeader &header,
                                    const Tunnel::TcpPacket &packet);

    /// Processes a control datagram of another process, and returns the replies to it.
    std::vector<OutgoingDatagram> onDatagram(TimePoint now, const Tunnel::Datagram &datagram);

    /// Expires members and cached flows, and returns the control datagrams that are due now.
    std::vector<OutgoingDatagram> tick(TimePoint now);

    /// Returns the last reports, which announce to all balancers that this process ends:
    /// permanently if \a isPermanent, or else for a restart.
    std::vector<OutgoingDatagram> finalReports(TimePoint now, bool isPermanent);

    /// Replaces the configuration by \a configuration. \a succession is whether other
    /// configurations may have been in force in between. Returns reports to all balancers, which
    /// have to be sent before the next packet: packets of the flows that it opens may reach
    /// balancers that have an older configuration.
    std::vector<OutgoingDatagram> setConfiguration(TimePoint now,
                                                   const Model::Configuration &configuration,
                                                   Routing::Succession succession);

    /// Sets which failure domains are evacuated, unless what is known is at least as new. Their
    /// agents get no new flows. Returns whether that changed.
    bool setEvacuations(const Model::Evacuations &evacuations);

    const Model::Evacuations &evacuations() const { return evacuations_; }

    /// Whether new flows can be placed: there is a configuration, and the evacuated failure domains
    /// are known, if the operator may evacuate any.
    bool canPlaceFlows(TimePoint now) const;

    /// Sets the record of targets that a balancer made. It is used if it belongs to the
    /// configuration in force. After a loss of the whole system, routes that are the same as in an
    /// earlier record count as unchanged, so that lost flows are found at once: the first balancer
    /// records each change within a second.
    void setRecordedTargets(TimePoint now, const Routing::TargetsRecord &record);

    /// Returns the former targets that may own open flows, as far as they are known.
    Routing::FormerTargets formerTargets() const { return routeHistory_.former(); }

    /// Returns the targets to record for processes that start, or nothing if some may be missing.
    std::optional<Routing::TargetsRecord> recordableTargets() const;

    /// Returns a number that changes whenever recordableTargets() may have changed.
    std::uint64_t targetsVersion() const { return targetsVersion_; }

    /// Sets the addresses of balancers that get reports until the roster contains them.
    void setSeeds(std::vector<Model::Endpoint> seeds)
    {
        reportScheduler_.setSeeds(std::move(seeds));
    }

    /// Sets the members that ran before this process started; see ReportScheduler and
    /// LostFlowSearch. \a isComplete is whether the store was not restored since it acknowledged
    /// them.
    void setLastKnownMembers(TimePoint now, const std::vector<Membership::DirectoryEntry> &members,
                             bool isComplete);

    /// Returns the resets for the callers whose flows were lost when the whole system restarted,
    /// and clears them.
    std::vector<ResetFlow> takeLostFlows(TimePoint now);

    /// A configuration that another balancer has and this one lacks.
    struct NewerConfiguration
    {
        Model::Generation generation{};
        Model::Endpoint pages; ///< where that balancer serves it
        TimePoint since;       ///< when it was first reported to this one
    };

    /// Returns the newest configuration that another balancer reported, or nothing if the
    /// configuration in use is at least as new.
    std::optional<NewerConfiguration> newerConfiguration() const;

    const Model::Configuration &configuration() const { return configuration_; }
    const Routing::RoutingTable &table() const { return *table_; }
    const Membership::Roster &roster() const { return roster_; }
    std::size_t cachedFlows() const { return cache_.size(); }
    bool isConfigured() const { return configuration_.generation > Model::Generation{}; }

private:
    BalancerVerdict onSyn(TimePoint now, const Tunnel::TcpPacket &packet);
    BalancerVerdict onFlowPacket(TimePoint now, const Tunnel::TcpPacket &packet);
    BalancerVerdict sendSyn(const Model::Endpoint &address, const Routing::ServiceTable &service,
                            const Routing::Chain &chain);
    BalancerVerdict send(Model::ServiceId service, const Tunnel::PacketHeader &header) const;
    Tunnel::PacketHeader newHeader() const;
    Routing::SearchFindings awayFindings(Model::ServiceId service) const;
    const Routing::ServiceTable *tableFor(const FlowCache::Entry *cached,
                                          const Tunnel::TcpPacket &packet) const;
    BalancerVerdict askServices(TimePoint now, const Tunnel::TcpPacket &packet,
                                const Tunnel::PacketHeader &header,
                                std::optional<Model::ServiceId> asked);
    BalancerVerdict askSuspect(TimePoint now, const Tunnel::TcpPacket &packet,
                               const std::vector<const Routing::ServiceTable *> &owners);
    Routing::SearchFindings
    viewFindings(TimePoint now, const std::vector<const Routing::ServiceTable *> &owners) const;
    bool isEveryAgentPresent(TimePoint now) const;
    bool hasHeardEveryone() const;
    bool isJoining(TimePoint now, const Tunnel::Member &agent) const;
    bool searchOwner(TimePoint now, const Tunnel::TcpPacket &packet,
                     const Routing::ServiceTable *service);
    void onGeneration(TimePoint now, Model::Generation generation, const Model::Endpoint &pages);
    void mergeRecord(TimePoint now, bool presumesUnchanged);
    void onRosterChanged(TimePoint now);
    void confirmSuccession(TimePoint now);
    void rebuild();
    BalancerVerdict refuseSyn(TimePoint now, const Tunnel::TcpPacket &packet,
                              const Routing::ServiceTable &service);
    Routing::RoutingTable::Knowledge knowledgeOf(const Model::Endpoint &address) const;
    Tunnel::Report report() const;
    std::vector<OutgoingDatagram> reportsToBalancers(const Tunnel::Report &report);

    Tunnel::Member self_;
    Membership::Roster roster_;
    Placement::AgentSelector agentSelector_;
    FlowCache cache_;
    LostFlowSearch lostFlowSearch_;
    ReportScheduler reportScheduler_;
    Model::Configuration configuration_;
    std::optional<TimePoint> firstConfigured_;
    bool followsEvacuations_;
    Model::Evacuations evacuations_;
    NewerConfiguration newest_;
    std::set<Model::Endpoint> formerRoutes_;             ///< only in earlier configurations
    std::map<Model::Endpoint, Model::RouteTerms> terms_; ///< of the routes that state any
    Routing::RouteHistory routeHistory_;
    Routing::SuccessionCheck successionCheck_;
    Model::Generation previousGeneration_{}; ///< in force before the present configuration
    std::optional<Routing::TargetsRecord> recordedTargets_;
    std::set<Model::Endpoint> presumedUnchanged_; ///< according to recordedTargets_
    std::uint64_t targetsVersion_ = 0;
    std::shared_ptr<const Routing::RoutingTable> table_;
    std::optional<std::map<std::string, Model::ServiceId>>
        lastKnownServices_;              ///< of the members before the start by name, if known
    std::set<std::string> heardMembers_; ///< that reported to this process while it started
    bool isEveryoneHeard_ = false;       ///< of the agents in lastKnownServices_
    bool hasSuspectAgents_ = false;
    std::set<Model::ServiceId> restartingServices_; ///< with an agent that announced a restart
    std::set<Model::ServiceId> unheardServices_;    ///< with an agent only known from the directory
    std::optional<TimePoint> lastRosterChange_; ///< latest change of the possible owners of flows
    std::uint64_t ownerChanges_ = 0;            ///< of the roster at that time
    std::size_t suspectsAsked_ = 0;
    std::uint64_t tableVersion_ = 0;
    std::uint64_t reportNumber_ = 0;
    bool isFirstStart_;
    TimePoint started_;
    TimePoint lastTick_;
    TimePoint lastExpiryCheck_;
};

} // namespace Forwarding
