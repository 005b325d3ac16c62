#pragma once

#include "model/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Model {

/// Hash of an instance's name, used instead of the name on the wire.
enum class InstanceId : std::uint64_t {};

/// Hash of a service's name, used instead of the name on the wire.
enum class ServiceId : std::uint64_t {};

/// Distinguishes the starts of an instance with the same name; a later start has a greater value.
enum class Incarnation : std::uint64_t {};

/// Number of an accepted configuration; later configurations have greater numbers.
enum class Generation : std::uint64_t {};

/// Returns the id of the instance called \a name. Thread-safe.
InstanceId instanceId(std::string_view name);

/// Returns the id of the service called \a name. Thread-safe.
ServiceId serviceId(std::string_view name);

enum class InstanceState {
    Ready,    ///< accepts new flows and requests
    Draining, ///< keeps open flows, accepts nothing new
    Suspect,  ///< did not respond to its peers; stays ranked for open flows only
};

/// Returns the name of \a state in announcements and state dumps. Thread-safe.
std::string_view stateText(InstanceState state);

/// An agent as it announces itself on the platform.
struct Instance
{
    std::string name;
    std::string service;
    std::string failureDomain;
    Endpoint tunnel;       ///< UDP endpoint for datagrams from balancers and peers
    Endpoint peer;         ///< TCP endpoint for Cap'n Proto RPC from peers
    double capacity = 1.0; ///< weight in the ranking of the service's instances
    InstanceState state = InstanceState::Ready;
    bool drainRequested = false; ///< an operator requested that this incarnation drains
    Incarnation incarnation{};

    bool operator==(const Instance &) const = default;
};

} // namespace Model
