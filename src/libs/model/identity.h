#pragma once

#include "model/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Model {

/// Short form of an instance's name on the wire.
enum class InstanceId : std::uint64_t {};

/// Short form of a service's name on the wire.
enum class ServiceId : std::uint64_t {};

/// Counts the starts of an instance under one name; a later start has a greater value.
enum class Incarnation : std::uint64_t {};

/// Number of an accepted configuration; a later one is greater.
enum class Generation : std::uint64_t {};

/// Returns the id of the instance called \a name. Thread-safe.
InstanceId instanceId(std::string_view name);

/// Returns the id of the service called \a name. Thread-safe.
ServiceId serviceId(std::string_view name);

enum class InstanceState {
    Ready,    ///< takes new flows and requests
    Draining, ///< keeps open flows, takes nothing new
    Suspect,  ///< did not answer its peers; keeps its rank for open flows only
};

/// Returns the name of \a state in announcements and dumps. Thread-safe.
std::string_view stateText(InstanceState state);

/// An agent as it announces itself on the platform.
struct Instance
{
    std::string name;
    std::string service;
    std::string failureDomain;
    Endpoint tunnel; ///< UDP, datagrams of balancers and peers
    Endpoint peer;   ///< TCP, Cap'n Proto RPC of peers
    double capacity = 1.0;
    InstanceState state = InstanceState::Ready;
    bool drainRequested = false; ///< an operator asked this incarnation to drain
    Incarnation incarnation{};

    bool operator==(const Instance &) const = default;
};

} // namespace Model
