#pragma once

#include "model/identity.h"

#include <chrono>
#include <string>
#include <vector>

namespace Model {

/// A service as the accepted configuration describes it.
struct Service
{
    std::string name;
    Endpoint address;                       ///< the address to which callers connect
    std::chrono::milliseconds deadline{0};  ///< from a complete request to the end of its response
    std::uint32_t slotsPerServer = 0;       ///< concurrent requests of a backend server
    std::uint32_t connectionsPerServer = 0; ///< maximum number of flows of a backend server
    /// New flows per second that a server bears while it warms up after its start; 0: unlimited.
    double warmUpRate = 0;
    std::vector<std::string> longWorkPaths; ///< path prefixes of long-running requests
    std::vector<std::string> feedPaths;     ///< path prefixes of requests with endless responses

    bool operator==(const Service &) const = default;
};

/// A service that receives a share of a route's new flows.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1; ///< share of flows relative to the other targets; 0: none

    bool operator==(const RouteTarget &) const = default;
};

/// What the callers of a route ask of its requests.
struct RouteTerms
{
    std::uint8_t priority = 0;              ///< 0 is the most urgent
    std::chrono::milliseconds objective{0}; ///< time to the response; 0: none is stated

    bool operator==(const RouteTerms &) const = default;
};

/// An address to which callers connect, and the services that receive flows to it.
struct Route
{
    Endpoint address;
    std::vector<RouteTarget> targets;
    RouteTerms terms = {};

    bool operator==(const Route &) const = default;
};

/// A configuration, generated from the questionnaire and accepted by an operator.
struct Configuration
{
    Generation generation{};
    std::string deployment;
    std::vector<std::string> recentChanges; ///< ids of the latest accepted changes, newest first
    std::vector<std::string> failureDomains;
    std::vector<Service> services;
    std::vector<Route> routes; ///< addresses besides those of the services themselves
    std::chrono::milliseconds idleFlowTimeout{0}; ///< idle flows may be removed after it; 0: never

    bool operator==(const Configuration &) const = default;
};

} // namespace Model
