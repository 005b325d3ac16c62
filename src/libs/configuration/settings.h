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

/// Settings that both roles of processes that carry callers' packets unchanged have.
struct ForwardingSettings
{
    std::string name;
    std::string failureDomain;
    Model::Endpoint tunnel;             ///< where datagrams of other processes arrive
    Model::Endpoint pages;              ///< HTTP: state dump, configuration for peers
    Model::Endpoint metrics;            ///< HTTP: metrics and state dump for operators
    Model::Endpoint store;              ///< the platform's store
    Model::Endpoint callers;            ///< where callers' packets arrive; callers use its port too
    Model::Endpoint readiness;          ///< where the platform asks whether to send packets here
    Model::Endpoint control;            ///< where backend servers report
    std::vector<Model::Endpoint> seeds; ///< control addresses of balancers to start from
    bool isFirstStart = false;          ///< the whole system starts for the first time
};

struct ForwardingBalancerSettings
{
    ForwardingSettings process;
};

struct ForwardingAgentSettings
{
    ForwardingSettings process;
    std::string service;
    Model::Endpoint backend;                   ///< the backend server beside this agent
    Model::Endpoint outbound;                  ///< where the backend server sends its packets
    std::chrono::milliseconds heartbeatInterval{0}; ///< how often the backend server reports
    std::chrono::seconds maxFlowAge{0};       ///< age after which a flow may be discarded
};

using Settings = std::variant<BalancerSettings, AgentSettings, ForwardingBalancerSettings,
                              ForwardingAgentSettings>;

/// Checks the settings in \a document. Fails with FileError.
boost::leaf::result<Settings> readSettings(const Document &document);

} // namespace Configuration
