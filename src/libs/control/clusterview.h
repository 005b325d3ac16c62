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

/// Keeps a process in step with the platform.
namespace Control {

/// How long a notice counts without being repeated.
constexpr std::chrono::seconds StateNoticeLifetime{15};

/// What a process knows of the configuration and the instances.
///
/// Every input may be stale, repeated or out of order. Without sockets, threads or clocks; not
/// thread-safe, the control thread owns it.
class ClusterView
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ClusterView();

    /// Takes a whole listing of the platform or of a peer. Returns whether anything changed.
    bool apply(const Store::Listing &listing);

    /// Takes changes that a watch reported. Returns whether anything changed.
    bool apply(const Store::Changes &changes);

    /// Takes what an instance or its peers say of its state. It counts until the platform says
    /// something newer, and for StateNoticeLifetime at most. Returns whether anything changed.
    bool apply(TimePoint now, const Tunnel::StateNotice &notice);

    /// Drops notices that are too old. Returns whether anything changed.
    bool expireNotices(TimePoint now);

    /// Returns the table as of the last change. Safe to share with other threads.
    std::shared_ptr<const Routing::RoutingTable> table() const { return table_; }

    const Model::Configuration &configuration() const { return gate_.current(); }
    const Membership::InstanceRegistry &registry() const { return registry_; }

    /// Returns what this process knows in the form of a listing, for peers that start during an
    /// outage of the platform.
    Store::Listing snapshot() const;

    /// Returns the configurations that were refused since the start.
    std::size_t refusedConfigurations() const { return refusedConfigurations_; }

private:
    struct Notice
    {
        Model::Incarnation incarnation{};
        Model::InstanceState state{};
        Store::Version version{}; ///< of the announcement that the notice is newer than
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

/// Writes \a listing as JSON in the form of the platform's own listings. Thread-safe.
std::string encodeListing(const Store::Listing &listing);

} // namespace Control
