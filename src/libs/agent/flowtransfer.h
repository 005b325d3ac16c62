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

/// State of an open feed, which another agent needs to resume it after its last event.
struct FeedState
{
    std::string target;
    std::string lastEventId;
    std::vector<Requests::Header> headers;
};

/// State of a flow, which another agent needs to take it over.
struct FlowTransfer
{
    std::uint64_t id = 0; ///< identical in all repeats of one transfer
    Model::ServiceId service{};
    Model::InstanceId receiver{};
    Model::Incarnation receiverIncarnation{};
    Tunnel::Epoch epoch{}; ///< of the flow once the receiver owns it
    Stack::TcpState tcp;
    std::string unreadBytes; ///< received, but not part of a processed request
    std::optional<FeedState> feed;
    /// The receiver takes the flow only if its expected wait is shorter; 0 for no limit.
    std::chrono::milliseconds waitLimit{0};
    /// Time left for the first unread request; 0 if none waited.
    std::chrono::milliseconds deadline{0};
};

/// Serializes \a transfer. Thread-safe.
void writeTransfer(Rpc::FlowTransfer::Builder builder, const FlowTransfer &transfer);

/// Deserializes a transfer. Thread-safe.
FlowTransfer readTransfer(Rpc::FlowTransfer::Reader reader);

} // namespace Agent
