#pragma once

#include "forwarding/agentcore.h"
#include "forwarding/balancercore.h"

#include <string_view>

namespace Forwarding {

/// Writes a line for each decision that places, finds, refuses or ends a flow; packets that only
/// follow an earlier decision leave none. Thread-safe.
void logDecision(const Tunnel::TcpPacket &packet, const BalancerVerdict &verdict);

/// Does the same for an agent's decision on a packet that came under \a header.
void logDecision(const Tunnel::TcpPacket &packet, const Tunnel::PacketHeader &header,
                 const AgentVerdict &verdict);

/// Writes a line for the request \a id that begins in a delivered packet, with the load of its
/// backend server.
void logRequest(std::string_view id, const Tunnel::TcpPacket &packet, const AgentStatus &status);

/// Writes a line for a packet that the backend server returned.
void logReturned(const Tunnel::TcpPacket &packet, const AgentVerdict &verdict);

/// Writes a line for a held SYN that is delivered, or was held in vain.
void logAdmitted(const Model::FlowKey &flow);
void logExpired(const Model::FlowKey &flow);

/// Writes a line when an agent begins or ceases to accept flows, with what it knows of its server.
void logAccepting(const AgentStatus &status);

/// Writes a line when a balancer's view of the members changed.
void logView(const Membership::Roster &roster, Model::Generation generation);

/// Writes a line for an answer with the error \a status, and what it means for the server.
void logFailedAnswer(const Tunnel::TcpPacket &packet, int status, const AgentStatus &agent);

/// Writes a line for a flow that the backend server reset.
void logBackendReset(const Tunnel::TcpPacket &packet);

/// Writes a line for a reset that was sent for \a cause.
void logReset(const ResetFlow &reset, const char *cause);

} // namespace Forwarding
