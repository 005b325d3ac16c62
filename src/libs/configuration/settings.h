#pragma once

#include "configuration/checkedjson.h"
#include "model/identity.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// Settings common to the roles balancer and agent.
struct ProcessSettings
{
    std::string name;
    std::string failureDomain;
    Model::Endpoint tunnel;             ///< where the process receives datagrams
    Model::Endpoint admin;              ///< HTTP: metrics, state dump
    Model::Endpoint platform;           ///< object API
    std::vector<Model::Endpoint> peers; ///< admin endpoints of peers, for a platform outage
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
    Model::Endpoint peer;                   ///< receives the peers' Cap'n Proto RPC
    Model::Endpoint fabric;                 ///< destination of packets to callers
    Model::Endpoint backend;                ///< the backend server of this agent
    std::chrono::milliseconds warmUp{0};    ///< until a ready backend server gets all its slots
    std::chrono::milliseconds stopGrace{0}; ///< maximum wait for requests and flows on shutdown
    std::uint16_t maximumPacketBytes = 0;   ///< largest packet of a caller; sets the segment size
};

/// Settings common to the roles forwarding-balancer and forwarding-agent, whose processes forward
/// callers' packets unchanged.
struct ForwardingSettings
{
    std::string name;
    std::string failureDomain;
    Model::Endpoint tunnel;             ///< receives the datagrams of other processes
    Model::Endpoint pages;              ///< HTTP: state dump, configuration for peers
    Model::Endpoint metrics;            ///< HTTP: metrics and state dump for operators
    Model::Endpoint store;              ///< the platform's store
    Model::Endpoint callers;            ///< receives callers' packets; callers use its port too
    Model::Endpoint readiness;          ///< where the platform checks whether to send packets here
    Model::Endpoint control;            ///< receives the backend servers' reports
    std::vector<Model::Endpoint> seeds; ///< control addresses of balancers to contact at the start
    bool isFirstStart = false;          ///< the whole system starts for the first time
};

struct ForwardingBalancerSettings
{
    ForwardingSettings process;
    std::chrono::seconds maxFlowAge{0}; ///< age after which a flow may be discarded; 0: no limit
    bool followsEvacuations = false;    ///< the operator may evacuate failure domains
    std::chrono::milliseconds storeHistory{0}; ///< how long the store keeps changes; 0: not known
};

struct ForwardingAgentSettings
{
    ForwardingSettings process;
    std::string service;
    Model::Endpoint backend;                        ///< the backend server of this agent
    Model::Endpoint outbound;                       ///< receives the backend server's packets
    std::chrono::milliseconds heartbeatInterval{0}; ///< between the backend server's heartbeats
    std::chrono::seconds maxFlowAge{0};             ///< age after which a flow may be discarded
};

using Settings = std::variant<BalancerSettings, AgentSettings, ForwardingBalancerSettings,
                              ForwardingAgentSettings>;

/// Parses and checks the settings in \a document. Fails with FileError. Thread-safe.
boost::leaf::result<Settings> readSettings(const Document &document);

} // namespace Configuration
