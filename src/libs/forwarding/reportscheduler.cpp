#include "forwarding/reportscheduler.h"

#include <algorithm>

namespace Forwarding {

ReportScheduler::ReportScheduler(std::string failureDomain)
    : failureDomain_(std::move(failureDomain))
{}

void ReportScheduler::onUrgentChange()
{
    hasChange_ = true;
    isUrgent_ = true;
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
    if (!isFullDue && !isDomainDue)
        return receivers;
    const std::size_t rosterSource = nextRosterRequest_ % balancers.size();
    for (std::size_t index = 0; index < balancers.size(); ++index) {
        if (isFullDue || balancers[index].failureDomain == failureDomain_)
            receivers.push_back({balancers[index].tunnel, isFullDue && index == rosterSource});
    }
    if (isFullDue) {
        lastFullReport_ = now;
        ++nextRosterRequest_;
        isUrgent_ = false;
    }
    lastDomainReport_ = now;
    hasChange_ = false;
    return receivers;
}

} // namespace Forwarding
