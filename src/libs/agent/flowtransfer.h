#pragma once

#include "requests/httpmessage.h"
#include "rpc/peer.capnp.h"
#include "stack/tcpstack.h"
#include "tunnel/datagram.h"

#include "model/identity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Agent {

/// An open feed, for another agent to go on with after its last event.
struct FeedState
{
    std::string target;
    std::string lastEventId;
    std::vector<Requests::Header> headers;
};

/// All that another agent needs to go on with a flow.
struct FlowTransfer
{
    std::uint64_t id = 0; ///< the same for each repeat of one transfer
    Model::ServiceId service{};
    Model::InstanceId receiver{};
    Model::Incarnation receiverIncarnation{};
    Tunnel::Epoch epoch{}; ///< of the flow at the receiver
    Stack::TcpState tcp;
    std::string unreadBytes; ///< of the request that is not whole yet
    std::optional<FeedState> feed;
    std::chrono::milliseconds waitLimit{0}; ///< only for a receiver with a shorter wait; 0 for any
    std::chrono::milliseconds deadline{
        0}; ///< what remains for the next request; 0 where none waited
};

/// Writes \a transfer. Thread-safe.
void writeTransfer(Rpc::FlowTransfer::Builder builder, const FlowTransfer &transfer);

/// Reads a transfer. Thread-safe.
FlowTransfer readTransfer(Rpc::FlowTransfer::Reader reader);

} // namespace Agent
