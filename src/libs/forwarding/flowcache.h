#pragma once

#include "routing/routingtable.h"

#include <chrono>
#include <unordered_map>

namespace Forwarding {

/// Flows that a balancer remembers at most: at 100 bytes each, 6 MB of the smallest instance's 60.
constexpr std::size_t MaxCachedFlows = 65'536;

/// Where a balancer sent the packets of a flow, as a hint: agents find the owner without it.
/// Not thread-safe.
class FlowCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Entry
    {
        Model::ServiceId service{};
        Routing::Chain agents; ///< the owner or the latest choice first
        TimePoint lastUse;
    };

    /// Returns the entry of \a flow, or null; valid until the next call.
    Entry *find(TimePoint now, const Model::FlowKey &flow);

    /// Notes that \a flow was offered to \a agent of \a service.
    void onOffered(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                   const Routing::Hop &agent);

    /// Notes that \a owner says it owns \a flow.
    void onOwned(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service,
                 const Routing::Hop &owner);

    /// Forgets \a flow.
    void forget(const Model::FlowKey &flow);

    /// Forgets flows without a packet since \a limit.
    void forgetIdle(TimePoint limit);

    std::size_t size() const { return entries_.size(); }

private:
    Entry *entryFor(TimePoint now, const Model::FlowKey &flow, Model::ServiceId service);

    std::unordered_map<Model::FlowKey, Entry> entries_;
};

} // namespace Forwarding
