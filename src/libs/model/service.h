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
    Endpoint address;                       ///< where callers reach it
    std::chrono::milliseconds deadline{0};  ///< from a whole request to the end of its answer
    std::uint32_t slotsPerServer = 0;       ///< requests that run at once on a backend server
    std::uint32_t connectionsPerServer = 0; ///< flows that a backend server may hold
    std::vector<std::string> longWorkPaths; ///< path prefixes of work that runs long
    std::vector<std::string> feedPaths;     ///< path prefixes of endless answers

    bool operator==(const Service &) const = default;
};

/// A service that takes a share of a route's new flows.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1; ///< share among the targets of its route

    bool operator==(const RouteTarget &) const = default;
};

/// An address that callers use, and the services that may take flows to it.
struct Route
{
    Endpoint address;
    std::vector<RouteTarget> targets;

    bool operator==(const Route &) const = default;
};

/// What the questionnaire generates and operators accept.
struct Configuration
{
    Generation generation{};
    std::string deployment;
    std::vector<std::string> recentChanges; ///< ids of the latest acceptances, newest first
    std::vector<std::string> failureDomains;
    std::vector<Service> services;
    std::vector<Route> routes; ///< addresses besides those of the services themselves
    std::chrono::milliseconds idleFlowTimeout{0}; ///< an idle flow may be forgotten; 0: never

    bool operator==(const Configuration &) const = default;
};

} // namespace Model
