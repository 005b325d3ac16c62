#pragma once

#include "configuration/generationgate.h"
#include "membership/instanceregistry.h"
#include "routing/routingtable.h"
#include "store/objectclient.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

/// Synchronizes a process with the platform.
namespace Control {

/// Time after which a state notice expires unless it is repeated.
constexpr std::chrono::seconds StateNoticeLifetime{15};

/// The configuration and the instances, as seen by one process.
///
/// Inputs may be stale, repeated or out of order. Performs no I/O and reads no clock. Not
/// thread-safe: the control thread owns it.
class ClusterView
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ClusterView();

    /// Applies a complete listing from the platform or a peer. Returns whether anything changed.
    bool apply(const Store::Listing &listing);

    /// Applies changes that a watch reported. Returns whether anything changed.
    bool apply(const Store::Changes &changes);

    /// Applies a notice of an instance's state from the instance itself or a peer. It is in effect
    /// until the platform has a newer announcement, and for at most StateNoticeLifetime after \a
    /// now. Returns whether anything changed.
    bool apply(TimePoint now, const Tunnel::StateNotice &notice);

    /// Drops notices that expired by \a now, and instances whose announcements the platform lost
    /// and that did not announce themselves again in time. Returns whether anything changed.
    bool expire(TimePoint now);

    /// Returns the routing table as of the last change. Never null; the table is immutable and may
    /// be shared with other threads.
    std::shared_ptr<const Routing::RoutingTable> table() const { return table_; }

    const Model::Configuration &configuration() const { return gate_.current(); }
    const Membership::InstanceRegistry &registry() const { return registry_; }

    /// Returns the configuration and the announcements as a listing, for peers that start during an
    /// outage of the platform. State notices are not included.
    Store::Listing snapshot() const;

    /// Returns the number of configurations since the start that could not be decoded.
    std::size_t refusedConfigurations() const { return refusedConfigurations_; }

private:
    struct Notice
    {
        Model::Incarnation incarnation{};
        Model::InstanceState state{};
        Store::Version version{}; ///< of the announcement that the notice overrides
        TimePoint since;
    };

    bool dropSupersededNotices();
    std::vector<Model::Instance> instancesWithNotices() const;
    bool offerConfiguration(Store::Version version, const std::string &value);
    void rebuild();

    Configuration::GenerationGate gate_;
    Membership::InstanceRegistry registry_;
    std::map<Model::InstanceId, Notice> notices_;
    std::shared_ptr<const Routing::RoutingTable> table_;
    Store::Version configurationVersion_{};
    Store::Revision revision_{};
    std::uint64_t tableVersion_ = 0;
    std::size_t refusedConfigurations_ = 0;
};

/// Returns \a listing as JSON, in the format of the platform's own listings. The values of its
/// objects must be valid JSON. Thread-safe.
std::string encodeListing(const Store::Listing &listing);

} // namespace Control
