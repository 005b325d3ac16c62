#pragma once

#include "model/endpoint.h"
#include "tunnel/gre.h"

#include <cstdint>
#include <variant>

namespace Tunnel {

/// Why a packet can't be read.
enum class PacketFault {
    Truncated,    ///< shorter than its headers or its total length say
    NotIpv4,      ///< another IP version or a header length below 20 bytes
    NotTcp,       ///< another transport protocol
    Fragment,     ///< one part of a fragmented packet
    BadTcpHeader, ///< a TCP header length below 20 bytes
    ZeroPort,     ///< port 0 at either end
};

constexpr std::size_t PacketFaultCount = 6;

/// Returns the name of \a fault in metrics and dumps. Thread-safe.
const char *faultText(PacketFault fault);

/// What the decisions need of a TCP segment.
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

    /// Whether the packet asks to open a flow.
    bool opensFlow() const { return syn && !ack; }
};

/// Reads the headers of \a packet, an IPv4 packet with TCP inside. Checksums are left to the
/// TCP stack. Thread-safe.
std::variant<TcpPacket, PacketFault> parseTcpPacket(Bytes packet);

} // namespace Tunnel
