#include "placement/agentselector.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

namespace Placement {

/// Weight of the newest report in the smoothed load, which spans about ten reports, so that open
/// flows that pause between their requests still count.
static constexpr double NewestReportWeight = 0.1;

AgentSelector::AgentSelector(std::string failureDomain)
    : failureDomain_(std::move(failureDomain))
{}

void AgentSelector::onReport(TimePoint now, const Tunnel::Report &report, bool isJoining)
{
    const auto [entry, isNew] = loads_.try_emplace(Model::instanceId(report.sender.instance.name));
    Load &load = entry->second;
    const bool hadNoServer = std::exchange(load.hasNoServer, report.sender.hasNoServer);
    if ((isNew && isJoining) || (hadNoServer && !load.hasNoServer))
        load.joined = now;
    load.waiting = report.waiting;
    load.usualWaiting += NewestReportWeight * (load.waiting - load.usualWaiting);
    load.answerTime = report.answerTime;
    load.failureShare = report.failureShare;
    load.startableFrom = now + report.startDelay;
    load.isWarmingUp = report.isWarmingUp;
    load.placedSince = 0;
}

void AgentSelector::onPlaced(TimePoint now, Model::InstanceId instance)
{
    Load &load = loads_[instance];
    if (load.placedSince == 0)
        load.placedFirst = now;
    load.placedSince += 1;
}

void AgentSelector::retainOnly(const std::vector<Model::Instance> &agents)
{
    std::set<Model::InstanceId> kept;
    for (const Model::Instance &agent : agents)
        kept.insert(Model::instanceId(agent.name));
    std::erase_if(loads_, [&kept](const auto &entry) { return !kept.contains(entry.first); });
}

/// Returns the expected time to the response in microseconds, plus the costs of failures and of
/// another failure domain. Assumes the usual running time for every request.
double AgentSelector::expectedCost(TimePoint now, const Model::Instance &instance,
                                   Model::InstanceId id) const
{
    using Micros = std::chrono::duration<double, std::micro>;
    const auto entry = loads_.find(id);
    const Load load = entry == loads_.end() ? Load{} : entry->second;
    const double answerTime = load.answerTime.count() > 0 ? Micros(load.answerTime).count()
                                                          : Micros(DefaultAnswerTime).count();
    const double waiting = (load.waiting + load.usualWaiting) / 2 + load.placedSince;
    const double otherDomain =
        instance.failureDomain == failureDomain_ ? 0 : Micros(CrossDomainCost).count();
    const double startDelay = std::max(0.0, Micros(load.startableFrom - now).count());
    const double failures = load.failureShare * Micros(FailureCost).count();
    return startDelay + answerTime * (waiting + 1) + failures + otherDomain;
}

Routing::Chain AgentSelector::order(TimePoint now, const Routing::ServiceTable &table,
                                    std::span<const Model::InstanceId> tried) const
{
    struct Candidate
    {
        bool isJoining = false;
        bool isOutlier = false;
        bool isLastResort = false;
        bool isWarmingUp = false;
        double cost = 0;
        Routing::Hop hop;
    };
    const bool isRateLimited = table.service().warmUpRate > 0;
    std::vector<Candidate> candidates;
    candidates.reserve(table.instances().size());
    for (const Model::Instance &instance : table.instances()) {
        if (instance.state != Model::InstanceState::Ready)
            continue;
        const Model::InstanceId id = Model::instanceId(instance.name);
        const auto load = loads_.find(id);
        const bool isReportOverdue = load != loads_.end() && load->second.placedSince > 0
                                     && now - load->second.placedFirst > PlacementReportTimeout;
        const bool wasTried = std::find(tried.begin(), tried.end(), id) != tried.end();
        const bool isOutlier =
            load != loads_.end() && load->second.failureShare >= OutlierFailureShare;
        const auto joined = load != loads_.end() ? load->second.joined : std::nullopt;
        if (joined && now - *joined < LoneJoinDelay)
            continue;
        const bool isJoining = joined && now - *joined < JoinDelay;
        candidates.push_back({isJoining,
                              isOutlier,
                              isReportOverdue || wasTried,
                              isRateLimited && load != loads_.end() && load->second.isWarmingUp,
                              expectedCost(now, instance, id),
                              {id, instance.incarnation, instance.tunnel}});
    }
    const auto isJoining = [](const Candidate &candidate) { return candidate.isJoining; };
    if (!std::all_of(candidates.begin(), candidates.end(), isJoining))
        std::erase_if(candidates, isJoining);
    const auto isOutlier = [](const Candidate &candidate) { return candidate.isOutlier; };
    const auto outliers = std::count_if(candidates.begin(), candidates.end(), isOutlier);
    if (double(outliers) <= MaxOutlierShare * double(candidates.size()))
        std::erase_if(candidates, isOutlier);
    const auto count = std::min(candidates.size(), Routing::MaxChainLength);
    const auto isBetter = [](const Candidate &left, const Candidate &right) {
        return std::tie(left.isLastResort, left.cost) < std::tie(right.isLastResort, right.cost);
    };
    const auto chosenEnd = candidates.begin() + std::ptrdiff_t(count);
    std::partial_sort(candidates.begin(), chosenEnd, candidates.end(), isBetter);
    // If a whole domain is cold, its servers may turn the flow away while others have room.
    const auto isWarmingUp = [](const Candidate &candidate) { return candidate.isWarmingUp; };
    if (count > 1 && std::all_of(candidates.begin(), chosenEnd, isWarmingUp)) {
        const auto warmEnd =
            std::stable_partition(chosenEnd, candidates.end(), std::not_fn(isWarmingUp));
        if (const auto warm = std::min_element(chosenEnd, warmEnd, isBetter); warm != warmEnd)
            std::iter_swap(chosenEnd - 1, warm);
    }
    Routing::Chain chain;
    for (std::size_t index = 0; index < count; ++index)
        chain.append(candidates[index].hop);
    return chain;
}

} // namespace Placement
