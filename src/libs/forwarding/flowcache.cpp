#include "forwarding/flowcache.h"

namespace Forwarding {

FlowCache::Entry *FlowCache::find(TimePoint now, const Model::FlowKey &flow)
{
    const auto entry = entries_.find(flow);
    if (entry == entries_.end())
        return nullptr;
    entry->second.lastUse = now;
    return &entry->second;
}

FlowCache::Entry *FlowCache::entryFor(TimePoint now, const Model::FlowKey &flow,
                                      Model::ServiceId service)
{
    // Without an entry the agents search for the owner; no flow is lost.
    if (entries_.size() >= MaxCachedFlows && !entries_.contains(flow))
        return nullptr;
    Entry &entry = entries_[flow];
    if (entry.service != service)
        entry = {};
    entry.service = service;
    entry.lastUse = now;
    return &entry;
}

/// Moves \a agent to the front of \a agents.
static void moveToFront(Routing::Chain &agents, const Routing::Hop &agent)
{
    Routing::Chain ordered;
    ordered.append(agent);
    for (const Routing::Hop &other : agents) {
        if (other.instance != agent.instance && ordered.size() < Routing::MaxChainLength)
            ordered.append(other);
    }
    agents = ordered;
}

void FlowCache::onOffered(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                          const Routing::Hop &agent)
{
    if (Entry *entry = entryFor(now, flow, service)) {
        moveToFront(entry->agents, agent);
        entry->isOwnerKnown = entry->agents.size() == 1;
    }
}

void FlowCache::onOwned(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                        const Routing::Hop &owner)
{
    if (Entry *entry = entryFor(now, flow, service)) {
        moveToFront(entry->agents, owner);
        entry->isOwnerKnown = true;
    }
}

void FlowCache::forget(const Model::FlowKey &flow)
{
    entries_.erase(flow);
}

void FlowCache::forgetIdle(TimePoint limit)
{
    std::erase_if(entries_, [limit](const auto &entry) { return entry.second.lastUse < limit; });
}

} // namespace Forwarding
