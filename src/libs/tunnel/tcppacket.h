#pragma once

#include "model/endpoint.h"
#include "tunnel/gre.h"

#include <cstdint>
#include <variant>

namespace Tunnel {

/// Why a packet can't be parsed.
enum class PacketFault {
    Truncated,    ///< shorter than its headers or its total length field require
    NotIpv4,      ///< another IP version or a header length below 20 bytes
    NotTcp,       ///< another transport protocol
    Fragment,     ///< a fragment of an IP packet
    BadTcpHeader, ///< a TCP header length below 20 bytes
    ZeroPort,     ///< source or destination port 0
};

constexpr std::size_t PacketFaultCount = 6;

/// Returns the name of \a fault in metrics and state dumps. Thread-safe.
const char *faultText(PacketFault fault);

/// The header fields of a TCP segment that routing decisions use.
struct TcpPacket
{
    Model::FlowKey flow; ///< the packet's source is the caller
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    std::size_t payloadBytes = 0;

    /// Returns whether the packet is a SYN that opens a flow.
    bool opensFlow() const { return syn && !ack; }
};

/// Parses the IPv4 and TCP headers of \a packet. Does not verify checksums; the TCP stack does.
/// Thread-safe.
std::variant<TcpPacket, PacketFault> parseTcpPacket(Bytes packet);

} // namespace Tunnel
