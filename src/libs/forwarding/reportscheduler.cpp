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
    const auto seedInterval = now - *started_ < StartupDuration ? StartupSeedInterval : SeedInterval;
    if (now - lastSeed_ >= seedInterval) {
        lastSeed_ = now;
        for (const Model::Endpoint &seed : seeds_) {
            if (!roster.hasAddress(seed.address))
                receivers.push_back({seed, true});
        }
        if (now - *started_ >= StartupDuration)
            contacts_.clear();
        for (const Model::Endpoint &contact : contacts_) {
            if (!roster.hasAddress(contact.address))
                receivers.push_back({contact, false});
        }
    }
    if (balancers.empty())
        return receivers;

    const auto near = std::size_t(
        std::count_if(balancers.begin(), balancers.end(), [this](const Model::Instance &balancer) {
            return balancer.failureDomain == failureDomain_;
        }));
    const std::chrono::milliseconds budgeted(1000 * near / MaxReportsPerSecond);
    const bool isFull = isUrgent_ || now - lastFull_ >= Membership::ReportInterval;
    const bool isNear = hasChange_ && now - lastNear_ >= std::max(MinReportSpacing, budgeted);
    if (!isFull && !isNear)
        return receivers;
    const std::size_t asked = nextAsked_ % balancers.size();
    for (std::size_t index = 0; index < balancers.size(); ++index) {
        if (isFull || balancers[index].failureDomain == failureDomain_)
            receivers.push_back({balancers[index].tunnel, isFull && index == asked});
    }
    if (isFull) {
        lastFull_ = now;
        ++nextAsked_;
        isUrgent_ = false;
    }
    lastNear_ = now;
    hasChange_ = false;
    return receivers;
}

} // namespace Forwarding
