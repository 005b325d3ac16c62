#pragma once

#include "forwarding/agentcore.h"
#include "forwarding/balancercore.h"

#include <string_view>

namespace Forwarding {

/// Logs a balancer's decision that places, refuses or ends a flow, or drops a packet. Packets that
/// only follow an earlier decision are not logged. \a generation is that of the configuration in
/// force. Thread-safe, like all functions here.
void logDecision(const Tunnel::TcpPacket &packet, const BalancerVerdict &verdict,
                 Model::Generation generation);

/// Logs a balancer's decision on a packet that the agents of \a service returned with \a header,
/// because none of them owns its flow. \a table names the services.
void logSearch(const Tunnel::TcpPacket &packet, const Routing::RoutingTable &table,
               Model::ServiceId service, const Tunnel::PacketHeader &header,
               const BalancerVerdict &verdict);

/// Logs an agent's decision on a packet that arrived with \a header, if it accepts, holds, refuses
/// or ends a flow, finds its owner, or forwards or drops the packet.
void logDecision(const Tunnel::TcpPacket &packet, const Tunnel::PacketHeader &header,
                 const AgentVerdict &verdict);

/// Logs the request \a id, which begins in a delivered packet, with the load of its backend server.
void logRequest(std::string_view id, const Tunnel::TcpPacket &packet, const AgentStatus &status);

/// Logs a packet that the backend server returned, and where it goes now.
void logReturned(const Tunnel::TcpPacket &packet, const AgentVerdict &verdict);

/// Logs that the held SYN of \a flow is delivered.
void logAdmitted(const Model::FlowKey &flow);

/// Logs that the held SYN of \a flow is dropped, since it was held too long.
void logExpired(const Model::FlowKey &flow);

/// Logs that an agent starts or stops accepting new flows, with the load of its backend server.
void logAccepting(const AgentStatus &status);

/// Logs the members and the configuration of a balancer after a change.
void logView(const Membership::Roster &roster, Model::Generation generation);

/// Logs the evacuated failure domains after a change.
void logEvacuations(const Model::Evacuations &evacuations);

/// Logs what an agent that started learned from the handover of its previous process.
void logTakeover(const Flows::TakeoverOutcome &outcome);

/// Logs a response with the HTTP error \a status, and the server's share of failed responses.
void logFailedAnswer(const Tunnel::TcpPacket &packet, int status, const AgentStatus &agent);

/// Logs that the backend server reset a flow.
void logBackendReset(const Tunnel::TcpPacket &packet);

/// Logs a reset that is sent to a caller for \a cause, with the services that were asked for the
/// flow under the configuration with \a generation; 0 if it doesn't matter.
void logReset(const ResetFlow &reset, const char *cause, Model::Generation generation);

} // namespace Forwarding
