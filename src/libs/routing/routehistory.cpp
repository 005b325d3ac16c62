#include "routing/routehistory.h"

#include "routing/hash.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Routing {

/// Time after the first start of the whole system within which no configuration was replaced.
static constexpr std::chrono::seconds FirstConfigurationLimit{3};

std::map<Model::Endpoint, Targets> targetsByAddress(const Model::Configuration &configuration)
{
    std::set<std::string> services;
    std::map<Model::Endpoint, Targets> byAddress;
    for (const Model::Service &service : configuration.services) {
        services.insert(service.name);
        if (service.address.isValid())
            byAddress[service.address].push_back({service.name, 1});
    }
    for (const Model::Route &route : configuration.routes) {
        Targets &targets = byAddress[route.address];
        for (const Model::RouteTarget &target : route.targets) {
            if (target.weight > 0 && services.contains(target.service))
                targets.push_back(target);
        }
    }
    return byAddress;
}

const std::string &selectService(const Targets &targets, std::uint64_t flowHash)
{
    const auto total = std::accumulate(
        targets.begin(), targets.end(), std::uint64_t(0),
        [](std::uint64_t sum, const Model::RouteTarget &target) { return sum + target.weight; });
    std::uint64_t point = mixedHash(flowHash) % total;
    for (const Model::RouteTarget &target : targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return targets.back().service;
}

RouteHistory::RouteHistory(TimePoint started, bool isFirstStart, std::chrono::seconds maxFlowAge)
    : started_(started)
    , isFirstStart_(isFirstStart)
    , maxFlowAge_(maxFlowAge)
{
    if (!isFirstStart)
        incompleteSince_ = started;
}

/// Whether all flows that were opened under targets replaced at \a since have ended.
bool RouteHistory::isOver(TimePoint now, TimePoint since) const
{
    return maxFlowAge_.count() > 0 && now - since >= maxFlowAge_ + ConfigurationSpread;
}

void RouteHistory::add(TimePoint now, const Model::Endpoint &address, const Targets &targets)
{
    std::vector<Entry> &entries = entries_[address];
    std::erase_if(entries, [&](const Entry &entry) { return entry.targets == targets; });
    entries.insert(entries.begin(), {targets, now});
    if (entries.size() > MaxFormerTargets) {
        entries.pop_back();
        incompleteSince_ = now;
    }
}

void RouteHistory::onConfiguration(TimePoint now, const Model::Configuration &previous,
                                   const Model::Configuration &next, Succession succession)
{
    if (previous.generation == Model::Generation{}) {
        if (!isFirstStart_ || now - started_ >= FirstConfigurationLimit)
            incompleteSince_ = now;
        return;
    }
    if (succession == Succession::Unknown)
        incompleteSince_ = now;
    const auto targetsAfter = targetsByAddress(next);
    for (const auto &[address, targets] : targetsByAddress(previous)) {
        const auto after = targetsAfter.find(address);
        if (after == targetsAfter.end())
            entries_.erase(address); // flows end with their route
        else if (after->second != targets && !targets.empty())
            add(now, address, targets);
    }
}

void RouteHistory::merge(TimePoint now, const FormerTargets &known)
{
    for (const auto &[address, lists] : known.byAddress) {
        for (auto targets = lists.rbegin(); targets != lists.rend(); ++targets) {
            if (!targets->empty())
                add(now, address, *targets);
        }
    }
    if (known.isComplete)
        incompleteSince_.reset();
}

bool RouteHistory::expire(TimePoint now)
{
    bool changed = false;
    for (auto &[address, entries] : entries_)
        changed |=
            std::erase_if(entries, [&](const Entry &entry) { return isOver(now, entry.replaced); })
            > 0;
    std::erase_if(entries_, [](const auto &entry) { return entry.second.empty(); });
    if (incompleteSince_ && isOver(now, *incompleteSince_)) {
        incompleteSince_.reset();
        changed = true;
    }
    return changed;
}

FormerTargets RouteHistory::former() const
{
    FormerTargets former;
    former.isComplete = isComplete();
    for (const auto &[address, entries] : entries_) {
        std::vector<Targets> &lists = former.byAddress[address];
        for (const Entry &entry : entries)
            lists.push_back(entry.targets);
    }
    return former;
}

} // namespace Routing
