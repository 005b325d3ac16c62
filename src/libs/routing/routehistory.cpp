#include "routing/routehistory.h"

#include "routing/hash.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Routing {

/// Time after the first start of the whole system within which no configuration was replaced.
static constexpr std::chrono::seconds FirstConfigurationLimit{3};

TargetsByAddress targetsByAddress(const Model::Configuration &configuration)
{
    std::set<std::string> services;
    TargetsByAddress byAddress;
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
    if (targets.empty())
        return;
    std::vector<Entry> &entries = entries_[address];
    std::erase_if(entries, [&](const Entry &entry) { return entry.targets == targets; });
    entries.insert(entries.begin(), {targets, now});
    if (entries.size() > MaxFormerTargets) {
        entries.pop_back();
        unknown_[address] = now;
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
        unconfirmedSince_ = now;
    const auto targetsAfter = targetsByAddress(next);
    for (const auto &[address, targets] : targetsByAddress(previous)) {
        const auto after = targetsAfter.find(address);
        if (after == targetsAfter.end()) {
            // Flows end with their route.
            entries_.erase(address);
            unknown_.erase(address);
        } else if (after->second != targets) {
            add(now, address, targets);
        }
    }
}

void RouteHistory::merge(TimePoint now, const TargetsRecord &record,
                         const Model::Configuration &current, bool presumesUnchanged)
{
    const bool isUsable = presumesUnchanged ? record.generation <= current.generation
                                            : record.generation == current.generation;
    if (isComplete() || !isUsable)
        return;
    for (const auto &[address, targets] : targetsByAddress(current)) {
        const auto recorded = record.inForce.find(address);
        const bool isUnchanged = recorded != record.inForce.end() && recorded->second == targets;
        if (const auto former = record.former.find(address); former != record.former.end()) {
            for (auto list = former->second.rbegin(); list != former->second.rend(); ++list)
                add(now, address, *list);
        }
        if (isUnchanged)
            continue;
        unknown_[address] = now;
        if (recorded != record.inForce.end())
            add(now, address, recorded->second);
    }
    incompleteSince_.reset();
    unconfirmedSince_.reset();
}

TargetsRecord RouteHistory::record(const Model::Configuration &current) const
{
    TargetsRecord record{current.generation, targetsByAddress(current), former().byAddress};
    for (const auto &[address, since] : unknown_)
        record.inForce.erase(address);
    return record;
}

bool RouteHistory::expire(TimePoint now)
{
    bool changed = false;
    for (auto &[address, entries] : entries_)
        changed |=
            std::erase_if(entries, [&](const Entry &entry) { return isOver(now, entry.replaced); })
            > 0;
    std::erase_if(entries_, [](const auto &entry) { return entry.second.empty(); });
    changed |=
        std::erase_if(unknown_, [&](const auto &entry) { return isOver(now, entry.second); }) > 0;
    for (auto *const since : {&incompleteSince_, &unconfirmedSince_}) {
        if (*since && isOver(now, **since)) {
            since->reset();
            changed = true;
        }
    }
    return changed;
}

FormerTargets RouteHistory::former() const
{
    FormerTargets former;
    former.isComplete = isComplete();
    for (const auto &[address, since] : unknown_)
        former.unknown.insert(address);
    for (const auto &[address, entries] : entries_) {
        std::vector<Targets> &lists = former.byAddress[address];
        for (const Entry &entry : entries)
            lists.push_back(entry.targets);
    }
    return former;
}

} // namespace Routing
