#pragma once

#include "routing/routingtable.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

/// Selects the agents to which new flows are offered, and measures the load of an agent.
namespace Placement {

using TimePoint = std::chrono::steady_clock::time_point;

/// Time that an agent in another failure domain must save to be worth the traffic between domains.
constexpr std::chrono::milliseconds CrossDomainCost{40};

/// Response time assumed for an agent that has not responded yet. Allows for a cold start.
constexpr std::chrono::milliseconds DefaultAnswerTime{30};

/// Time without a report after a flow was placed on an agent, after which that agent is tried last.
/// Reports follow a change within MinReportSpacing; the rest allows for a processor shared with
/// other processes.
constexpr std::chrono::milliseconds PlacementReportTimeout{150};

/// Time that a failed response costs a caller: another attempt with all its waits. Requests that
/// must not be repeated are lost.
constexpr std::chrono::milliseconds FailureCost{500};

/// Share of failed responses from which on a server is an outlier, which gets no new flows while
/// most other servers do better.
constexpr double OutlierFailureShare = 0.3;

/// Maximum share of a service's servers that may be left out as outliers. If more fail, the
/// cause is in the requests or in something on which all servers depend, and leaving servers out
/// only adds load to the others.
constexpr double MaxOutlierShare = 0.5;

/// Time after the first report of an agent that joined before it gets new flows. Until then, its
/// report has reached every balancer and the member directory was written, so that no search for
/// the owner of a flow misses the agent.
constexpr std::chrono::milliseconds JoinDelay{1500};

/// The same if no other agent of the service is ready. Within an interval of reports, a balancer
/// that just started hears the other agents.
constexpr std::chrono::milliseconds LoneJoinDelay{300};

/// Ranks the agents to which a balancer offers a new flow, by the load that they report.
///
/// Balances changing demand over backend servers of unequal speed: a flow goes to the agent that is
/// expected to answer its request first, counting the flows placed since the last report. Servers
/// that fail requests while their health check passes would attract all load, since they fail fast:
/// failures therefore count as response time, and servers that fail many requests are excluded.
/// Uses no sockets, threads or clocks; not thread-safe.
class AgentSelector
{
public:
    /// \a failureDomain is the failure domain of the balancer.
    explicit AgentSelector(std::string failureDomain);

    /// Updates the load of the agent that sent \a report. \a isJoining is whether the agent did not
    /// run before; it gets flows only after JoinDelay or LoneJoinDelay. So does one that had no
    /// backend server, since nobody asks it for the owner of a flow.
    void onReport(TimePoint now, const Tunnel::Report &report, bool isJoining);

    /// Notes that a new flow was offered to \a instance.
    void onPlaced(TimePoint now, Model::InstanceId instance);

    /// Removes the load of all agents but \a agents.
    void retainOnly(const std::vector<Model::Instance> &agents);

    /// Returns the agents for a new flow, best first; those in \a tried come last. Only ready
    /// agents of \a table are returned, at most Routing::MaxChainLength.
    Routing::Chain order(TimePoint now, const Routing::ServiceTable &table,
                         std::span<const Model::InstanceId> tried) const;

private:
    struct Load
    {
        /// When an agent first reported that did not run before, or that had no server.
        std::optional<TimePoint> joined;
        bool hasNoServer = false; ///< at the last report
        double waiting = 0;       ///< at the last report
        double usualWaiting = 0;  ///< smoothed
        double placedSince = 0;   ///< flows placed after the last report
        std::chrono::microseconds answerTime{0};
        double failureShare = 0;
        bool isWarmingUp = false;
        TimePoint startableFrom; ///< when the server may get another flow, as of the last report
        TimePoint placedFirst;   ///< the first placement after the last report
    };

    double expectedCost(TimePoint now, const Model::Instance &instance, Model::InstanceId id) const;

    std::string failureDomain_;
    std::unordered_map<Model::InstanceId, Load> loads_;
};

} // namespace Placement
