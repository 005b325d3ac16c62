#pragma once

#include "routing/routingtable.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>

/// Which agent a new flow is offered to, and how loaded an agent is.
namespace Placement {

using TimePoint = std::chrono::steady_clock::time_point;

/// What an answer from another failure domain may take longer before it is worth the bytes that
/// then cross domains: a third of the tightest latency objective of the deployments, 120 ms.
constexpr std::chrono::milliseconds CrossDomainCost{40};

/// Answer time assumed of an agent that has not answered anything yet: the mean running time of the
/// deployments' requests, and a half more for a cold start.
constexpr std::chrono::milliseconds DefaultAnswerTime{30};

/// How long an agent may leave a placed flow without a report before it is asked last. Reports
/// follow a change within MinReportSpacing; the rest covers a processor shared by others.
constexpr std::chrono::milliseconds PlacementReportTimeout{150};

/// What a failed answer costs a caller: another attempt with all its waits, twice the loosest
/// latency objective of requests that people wait for, 250 ms. Orders that failed are lost.
constexpr std::chrono::milliseconds FailureCost{500};

/// Share of failed answers from which on a server gets no new flow, while most others do better.
constexpr double OutlierFailureShare = 0.3;

/// Largest part of a service's servers that may be left out as outliers: where more fail, the
/// requests or something behind all servers is the cause, and leaving servers out only adds load.
constexpr double MaxOutlierShare = 0.5;

/// What the agents report, and which of them a balancer offers a new flow to first.
///
/// Answers swings of demand and backend servers of unequal speed: a flow goes to where its request
/// is answered first, counting the flows placed since the last report. Answers servers that fail
/// requests while their health check is good, which would draw all load since they fail fast: what
/// they failed counts as time, and those that fail much are left out. Without sockets, threads or
/// clocks; not thread-safe.
class AgentSelector
{
public:
    /// \a failureDomain is the one of the balancer.
    explicit AgentSelector(std::string failureDomain);

    /// Takes what an agent says of its load.
    void onReport(const Tunnel::Report &report);

    /// Notes that a new flow was offered to \a instance.
    void onPlaced(TimePoint now, Model::InstanceId instance);

    /// Forgets agents that \a table no longer names.
    void retainOnly(const std::vector<Model::Instance> &agents);

    /// Returns the agents for a new flow, best first; those in \a tried come last.
    Routing::Chain order(TimePoint now, const Routing::ServiceTable &table,
                         std::span<const Model::InstanceId> tried) const;

private:
    struct Load
    {
        double waiting = 0;      ///< at the last report
        double usualWaiting = 0; ///< smoothed
        double placedSince = 0;  ///< flows placed after the last report
        std::chrono::microseconds answerTime{0};
        double failureShare = 0;
        TimePoint placedFirst; ///< the first placement after the last report
    };

    double costOf(const Model::Instance &instance, Model::InstanceId id) const;

    std::string failureDomain_;
    std::unordered_map<Model::InstanceId, Load> loads_;
};

} // namespace Placement
