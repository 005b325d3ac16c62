#include "forwarding/reportscheduler.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

ReportScheduler::ReportScheduler(std::string failureDomain)
    : failureDomain_(std::move(failureDomain))
{}

void ReportScheduler::onUrgentChange()
{
    hasChange_ = true;
    isUrgent_ = true;
}

/// Returns the index in \a balancers, which is not empty, of the one that is asked for its roster.
std::size_t ReportScheduler::nextRosterSource(const std::vector<Model::Instance> &balancers)
{
    std::vector<std::size_t> inDomain;
    for (std::size_t index = 0; index < balancers.size(); ++index) {
        if (balancers[index].failureDomain == failureDomain_)
            inDomain.push_back(index);
    }
    const bool isAnyAsked = rosterRequests_++ % RosterRequestCycle == 0
                            || inDomain.size() < Membership::MinOmissionsForRemoval;
    return isAnyAsked ? anyTurn_++ % balancers.size() : inDomain[domainTurn_++ % inDomain.size()];
}

std::vector<ReportScheduler::Receiver> ReportScheduler::due(TimePoint now,
                                                            const Membership::Roster &roster)
{
    std::vector<Receiver> receivers;
    const auto balancers = roster.balancers();
    if (!started_)
        started_ = now;
    const auto seedInterval =
        now - *started_ < StartupDuration ? StartupSeedInterval : SeedInterval;
    if (now - lastSeedReport_ >= seedInterval) {
        lastSeedReport_ = now;
        for (const Model::Endpoint &seed : seeds_) {
            if (!roster.hasAddress(seed.address))
                receivers.push_back({seed, true});
        }
        if (now - *started_ >= StartupDuration)
            lastKnownMembers_.clear();
        for (const Model::Endpoint &member : lastKnownMembers_) {
            if (!roster.hasAddress(member.address))
                receivers.push_back({member, false});
        }
    }
    const auto newBalancers = std::exchange(newBalancers_, {});
    if (balancers.empty())
        return receivers;

    const auto inDomain = std::size_t(
        std::count_if(balancers.begin(), balancers.end(), [this](const Model::Instance &balancer) {
            return balancer.failureDomain == failureDomain_;
        }));
    const std::chrono::milliseconds budgeted(1000 * inDomain / MaxReportsPerSecond);
    const bool isFullDue = isUrgent_ || now - lastFullReport_ >= Membership::ReportInterval;
    const bool isDomainDue =
        hasChange_ && now - lastDomainReport_ >= std::max(MinReportSpacing, budgeted);
    const std::size_t source = isFullDue ? nextRosterSource(balancers) : 0;
    for (std::size_t index = 0; index < balancers.size(); ++index) {
        const Model::Instance &balancer = balancers[index];
        const bool isInDomain = balancer.failureDomain == failureDomain_;
        if (isFullDue || (isDomainDue && isInDomain) || newBalancers.contains(balancer.tunnel))
            receivers.push_back({balancer.tunnel, isFullDue && index == source});
    }
    if (!isFullDue && !isDomainDue)
        return receivers;
    if (isFullDue) {
        lastFullReport_ = now;
        isUrgent_ = false;
    }
    lastDomainReport_ = now;
    hasChange_ = false;
    return receivers;
}

} // namespace Forwarding
