#pragma once

#include "routing/routingtable.h"

#include <chrono>
#include <unordered_map>

namespace Forwarding {

/// Maximum number of flows in the cache: at 100 bytes each, 6 MB of the smallest instance's 60 MB.
constexpr std::size_t MaxCachedFlows = 65'536;

/// Remembers the agents to which a balancer sent the packets of its flows. This is only a hint:
/// agents find the owner of a flow without it. Not thread-safe.
class FlowCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Entry
    {
        Model::ServiceId service{};
        Routing::Chain agents;     ///< the owner or the latest choice first
        bool isOwnerKnown = false; ///< the first agent is the only choice so far, or the owner
        TimePoint lastUse;
    };

    /// Returns the entry of \a flow and sets its last use, or returns null; valid until the next
    /// call.
    Entry *find(TimePoint now, const Model::FlowKey &flow);

    /// Records that \a flow was offered to \a agent of \a service. Ignored if the cache is full.
    void onOffered(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                   const Routing::Hop &agent);

    /// Records that \a owner of \a service owns \a flow. Ignored if the cache is full.
    void onOwned(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                 const Routing::Hop &owner);

    /// Removes the entry of \a flow.
    void forget(const Model::FlowKey &flow);

    /// Removes the flows that were not used since \a limit.
    void forgetIdle(TimePoint limit);

    std::size_t size() const { return entries_.size(); }

private:
    Entry *entryFor(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service);

    std::unordered_map<Model::FlowKey, Entry> entries_;
};

} // namespace Forwarding
