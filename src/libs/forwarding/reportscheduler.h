#pragma once

#include "membership/roster.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Forwarding {

/// A datagram to another process of the system.
struct OutgoingDatagram
{
    Model::Endpoint receiver;
    Tunnel::Datagram datagram;
};

/// Least time between two reports to one balancer, as far as the budget allows: the age of the load
/// that placement sees stays near the running time of two requests.
constexpr std::chrono::milliseconds MinReportSpacing{40};

/// Reports on changes of load that a process sends a second at most, over all receivers: bounds
/// what they cost the smallest instance of a balancer at the number of agents of its failure
/// domain.
constexpr std::size_t MaxReportsPerSecond = 50;

/// How often a process reports to a seed that it does not know yet, right after its start and
/// later: a system that starts as a whole is to serve within a second.
constexpr std::chrono::milliseconds StartupSeedInterval{40};
constexpr std::chrono::milliseconds SeedInterval{300};

/// How long a start lasts.
constexpr std::chrono::seconds StartupDuration{3};

/// Decides when a process reports to which balancers: soon after a change to those of its own
/// failure domain, and at ReportInterval to all. Not thread-safe.
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

    /// Sets where balancers run that may not be known yet.
    void setSeeds(std::vector<Model::Endpoint> seeds) { seeds_ = std::move(seeds); }

    /// Adds members that ran before this process started; they are reported to until they answer or
    /// StartupDuration is over.
    void setLastKnownMembers(std::vector<Model::Endpoint> contacts) { contacts_ = std::move(contacts); }

    /// Says that the next report has something new.
    void onChange() { hasChange_ = true; }

    /// Says that every balancer is to be told at once.
    void onUrgentChange();

    /// Returns who gets a report now. \a balancers are those of the roster.
    std::vector<Receiver> due(TimePoint now, const Membership::Roster &roster);

private:
    std::string failureDomain_;
    std::vector<Model::Endpoint> seeds_;
    std::vector<Model::Endpoint> contacts_;
    TimePoint lastFull_;
    TimePoint lastNear_;
    TimePoint lastSeed_;
    std::optional<TimePoint> started_;
    std::size_t nextAsked_ = 0;
    bool hasChange_ = true;
    bool isUrgent_ = true;
};

} // namespace Forwarding
