#pragma once

#include "configuration/generationgate.h"
#include "membership/instanceregistry.h"
#include "platform/objectclient.h"
#include "routing/routingtable.h"

#include <memory>
#include <string>

/// Keeps a process in step with the platform.
namespace Control {

/// What a process knows of the configuration and the instances.
///
/// Every input may be stale, repeated or out of order. Without sockets, threads or clocks; not
/// thread-safe, the control thread owns it.
class ClusterView
{
public:
    ClusterView();

    /// Takes a whole listing of the platform or of a peer. Returns whether anything changed.
    bool apply(const Platform::Listing &listing);

    /// Takes changes that a watch reported. Returns whether anything changed.
    bool apply(const Platform::Changes &changes);

    /// Returns the table as of the last change. Safe to share with other threads.
    std::shared_ptr<const Routing::RoutingTable> table() const { return table_; }

    const Model::Configuration &configuration() const { return gate_.current(); }
    const Membership::InstanceRegistry &registry() const { return registry_; }

    /// Returns what this process knows in the form of a listing, for peers that start during an
    /// outage of the platform.
    Platform::Listing snapshot() const;

    /// Returns the configurations that were refused since the start.
    std::size_t refusedConfigurations() const { return refusedConfigurations_; }

private:
    bool offerConfiguration(Platform::Version version, const std::string &value);
    void rebuild();

    Configuration::GenerationGate gate_;
    Membership::InstanceRegistry registry_;
    std::shared_ptr<const Routing::RoutingTable> table_;
    Platform::Version configurationVersion_{};
    Platform::Revision revision_{};
    std::uint64_t tableVersion_ = 0;
    std::size_t refusedConfigurations_ = 0;
};

/// Writes \a listing as JSON in the form of the platform's own listings. Thread-safe.
std::string encodeListing(const Platform::Listing &listing);

} // namespace Control
