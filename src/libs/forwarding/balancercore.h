#pragma once

#include "forwarding/reportscheduler.h"
#include "forwarding/flowcache.h"
#include "membership/roster.h"
#include "placement/agentselector.h"
#include "routing/routingtable.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Forwarding {

using TimePoint = std::chrono::steady_clock::time_point;

/// Copy of a caller's SYN from which on an address that was never configured is refused: the last
/// copy leaves 600 ms after the first, and configurations reach balancers unevenly until then.
constexpr std::uint32_t LastSynRetransmission = 2;

enum class BalancerDrop {
    NotConfigured, ///< no configuration is known yet
    UnknownRoute,  ///< the address was never configured
    NoAgent,       ///< no agent of the service could take the packet
};

/// Returns the name of \a cause in logs and metrics. Thread-safe.
const char *balancerDropText(BalancerDrop cause);

/// Send the packet under \c datagram to \c receiver.
struct ForwardPacket
{
    Tunnel::Datagram datagram;
    Model::Endpoint receiver;
};

/// Tell the caller that its flow is not open.
struct ResetFlow
{
    Model::FlowKey flow;
    std::uint32_t acknowledgement = 0; ///< the caller's latest, near which a reset must lie
};

using BalancerVerdict = std::variant<ForwardPacket, ResetFlow, BalancerDrop>;

/// Decides on a balancer where callers' packets go.
///
/// A new flow is offered to the agent that answers first, each copy of its SYN to another one.
/// Packets of open flows go to the agent they went to before, or else to the first-ranked one,
/// which knows the owner or finds it. Without sockets, threads or clocks; not thread-safe.
class BalancerCore
{
public:
    explicit BalancerCore(const Tunnel::Member &self);

    /// Decides on a packet of a caller.
    BalancerVerdict onCallerPacket(TimePoint now, const Tunnel::TcpPacket &packet);

    /// Takes a datagram of another process; returns what to answer.
    std::vector<OutgoingDatagram> onDatagram(TimePoint now, const Tunnel::Datagram &datagram);

    /// Returns what is due now.
    std::vector<OutgoingDatagram> tick(TimePoint now);

    /// Returns the reports of a process that ends: \a isPermanent, or to start again.
    std::vector<OutgoingDatagram> finalReports(TimePoint now, bool isPermanent);

    /// Uses \a configuration from now on.
    void setConfiguration(const Model::Configuration &configuration);

    /// Sets where balancers run that may not be known yet.
    void setSeeds(std::vector<Model::Endpoint> seeds) { pacer_.setSeeds(std::move(seeds)); }

    /// Adds members that ran before this process started.
    void setLastKnownMembers(std::vector<Model::Endpoint> contacts)
    {
        pacer_.setLastKnownMembers(std::move(contacts));
    }

    /// A configuration that another balancer has and this one hasn't.
    struct NewerConfiguration
    {
        Model::Generation generation{};
        Model::Endpoint pages; ///< where that balancer hands it on
        TimePoint since;
    };

    /// Returns the newest configuration that is known to exist but not known here.
    std::optional<NewerConfiguration> newerConfiguration() const;

    const Model::Configuration &configuration() const { return configuration_; }
    const Routing::RoutingTable &table() const { return *table_; }
    const Membership::Roster &roster() const { return roster_; }
    std::size_t cachedFlows() const { return cache_.size(); }
    bool isConfigured() const { return configuration_.generation > Model::Generation{}; }

private:
    BalancerVerdict onSyn(TimePoint now, const Tunnel::TcpPacket &packet);
    BalancerVerdict onFlowPacket(TimePoint now, const Tunnel::TcpPacket &packet);
    BalancerVerdict send(Model::ServiceId service, const Routing::Chain &chain, bool opensFlow);
    void rebuild();
    Tunnel::Report report() const;

    Tunnel::Member self_;
    Membership::Roster roster_;
    Placement::AgentSelector board_;
    FlowCache cache_;
    ReportScheduler pacer_;
    Model::Configuration configuration_;
    NewerConfiguration newest_;
    std::set<Model::Endpoint> formerRoutes_; ///< addresses of an earlier configuration only
    std::shared_ptr<const Routing::RoutingTable> table_;
    std::uint64_t tableVersion_ = 0;
    std::uint64_t reportNumber_ = 0;
    TimePoint lastTick_;
    TimePoint lastSweep_;
};

} // namespace Forwarding
