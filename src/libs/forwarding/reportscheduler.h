#pragma once

#include "membership/roster.h"

#include <chrono>
#include <optional>
#include <set>
#include <vector>

namespace Forwarding {

/// A datagram to another process of the system.
struct OutgoingDatagram
{
    Model::Endpoint receiver;
    Tunnel::Datagram datagram;
};

/// Minimum time between two reports to one balancer, if MaxReportsPerSecond allows. The load
/// figures used for placement are then about as old as the running time of two requests.
constexpr std::chrono::milliseconds MinReportSpacing{40};

/// Maximum number of reports on load changes that a process sends per second to all receivers
/// together. Bounds the cost of the reports for a balancer on the smallest instance, given the
/// number of agents in its failure domain.
constexpr std::size_t MaxReportsPerSecond = 50;

/// Intervals at which a process reports to a seed that is not in its roster, during StartupDuration
/// and later: a system that starts as a whole must serve requests within a second.
constexpr std::chrono::milliseconds StartupSeedInterval{40};
constexpr std::chrono::milliseconds SeedInterval{300};

/// How long after its start a process counts as starting.
constexpr std::chrono::seconds StartupDuration{3};

/// Of as many requests for a roster, one goes to any balancer and the others to those of the own
/// failure domain, since bytes between failure domains are dear. If the own balancers don't receive
/// the reports of another domain, a different view arrives within every SettlingTime, so that no
/// agent takes that domain's agents for gone.
constexpr std::size_t RosterRequestCycle = 3;

/// Time without a change of the roster after which it includes every running owner, so that a flow
/// without an owner may be reset. Two balancers were asked for their rosters within this time.
constexpr std::chrono::milliseconds SettlingTime{2 * Membership::ReportInterval};

/// Schedules the reports of a process: soon after a change to the balancers of its own failure
/// domain, and every ReportInterval to all balancers. Not thread-safe.
class ReportScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Receiver
    {
        Model::Endpoint tunnel;
        bool isAskedForRoster = false;
    };

    explicit ReportScheduler(std::string failureDomain);

    /// Sets the addresses of balancers that get reports until the roster contains them.
    void setSeeds(std::vector<Model::Endpoint> seeds) { seeds_ = std::move(seeds); }

    /// Sets the addresses of members that ran before this process started. They get reports until
    /// they answer or StartupDuration is over.
    void setLastKnownMembers(std::vector<Model::Endpoint> members)
    {
        lastKnownMembers_ = std::move(members);
    }

    /// Schedules a report to the balancers of the own failure domain, since the load changed.
    void onChange() { hasChange_ = true; }

    /// Schedules a report to all balancers at the next call of due().
    void onUrgentChange();

    /// Schedules a report to the balancer at \a tunnel alone, which has just started or was found
    /// again. The others know this process.
    void onNewBalancer(const Model::Endpoint &tunnel) { newBalancers_.insert(tunnel); }

    /// Returns the receivers of the reports that are due now: balancers in \a roster, and seeds and
    /// earlier members that are not in it. Starts the schedule when first called.
    std::vector<Receiver> due(TimePoint now, const Membership::Roster &roster);

private:
    std::size_t nextRosterSource(const std::vector<Model::Instance> &balancers);

    std::string failureDomain_;
    std::vector<Model::Endpoint> seeds_;
    std::vector<Model::Endpoint> lastKnownMembers_;
    std::set<Model::Endpoint> newBalancers_; ///< that get the next report
    TimePoint lastFullReport_;
    TimePoint lastDomainReport_;
    TimePoint lastSeedReport_;
    std::optional<TimePoint> started_;
    std::size_t rosterRequests_ = 0;
    std::size_t anyTurn_ = 0;    ///< requests to any balancer
    std::size_t domainTurn_ = 0; ///< requests to those of the own failure domain
    bool hasChange_ = true;
    bool isUrgent_ = true;
};

} // namespace Forwarding
