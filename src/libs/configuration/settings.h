#pragma once

#include "configuration/checkedjson.h"
#include "model/identity.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// Settings that both roles have.
struct ProcessSettings
{
    std::string name;
    std::string failureDomain;
    Model::Endpoint tunnel;             ///< where the process receives datagrams
    Model::Endpoint admin;              ///< HTTP: metrics, state dump
    Model::Endpoint platform;           ///< object API
    std::vector<Model::Endpoint> peers; ///< admin endpoints to start from during an outage
};

struct BalancerSettings
{
    ProcessSettings process;
};

struct AgentSettings
{
    ProcessSettings process;
    std::string service;
    double capacity = 1.0;
    Model::Endpoint peer;                   ///< where peers' Cap'n Proto RPC arrives
    Model::Endpoint fabric;                 ///< where answers to callers go
    Model::Endpoint backend;                ///< the backend server beside this agent
    std::chrono::milliseconds warmUp{0};    ///< time in which the share of work rises
    std::chrono::milliseconds stopGrace{0}; ///< longest wait for requests and flows at a stop
    std::uint16_t maximumPacketBytes = 0;   ///< largest packet of a caller, for the segment size
};

using Settings = std::variant<BalancerSettings, AgentSettings>;

/// Checks the settings in \a document. Fails with FileError.
boost::leaf::result<Settings> readSettings(const Document &document);

} // namespace Configuration
