#include "tunnel/tcppacket.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace Tunnel {

static constexpr std::size_t WordBytes = 4;
static constexpr std::size_t MinHeaderBytes = 20;
static constexpr unsigned Ipv4Version = 4;

const char *faultText(PacketFault fault)
{
    switch (fault) {
    case PacketFault::Truncated:
        return "truncated";
    case PacketFault::NotIpv4:
        return "not-ipv4";
    case PacketFault::NotTcp:
        return "not-tcp";
    case PacketFault::Fragment:
        return "fragment";
    case PacketFault::BadTcpHeader:
        return "bad-tcp-header";
    case PacketFault::ZeroPort:
        return "zero-port";
    }
    return "unknown";
}

std::variant<TcpPacket, PacketFault> parseTcpPacket(Bytes packet)
{
    if (packet.size() < MinHeaderBytes)
        return PacketFault::Truncated;
    iphdr ip{};
    std::memcpy(&ip, packet.data(), sizeof ip);
    const std::size_t ipBytes = ip.ihl * WordBytes;
    if (ip.version != Ipv4Version || ipBytes < MinHeaderBytes)
        return PacketFault::NotIpv4;
    const std::size_t totalBytes = ntohs(ip.tot_len);
    if (totalBytes > packet.size() || totalBytes < ipBytes)
        return PacketFault::Truncated;
    if (ip.protocol != IPPROTO_TCP)
        return PacketFault::NotTcp;
    if ((ntohs(ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0)
        return PacketFault::Fragment;
    if (totalBytes < ipBytes + MinHeaderBytes)
        return PacketFault::Truncated;

    tcphdr tcp{};
    std::memcpy(&tcp, packet.data() + ipBytes, sizeof tcp);
    const std::size_t tcpBytes = tcp.doff * WordBytes;
    if (tcpBytes < MinHeaderBytes)
        return PacketFault::BadTcpHeader;
    if (totalBytes < ipBytes + tcpBytes)
        return PacketFault::Truncated;
    if (tcp.source == 0 || tcp.dest == 0)
        return PacketFault::ZeroPort;

    TcpPacket parsed;
    parsed.flow.caller = {ntohl(ip.saddr), ntohs(tcp.source)};
    parsed.flow.service = {ntohl(ip.daddr), ntohs(tcp.dest)};
    parsed.sequence = ntohl(tcp.seq);
    parsed.acknowledgement = ntohl(tcp.ack_seq);
    parsed.syn = tcp.syn;
    parsed.ack = tcp.ack;
    parsed.fin = tcp.fin;
    parsed.rst = tcp.rst;
    parsed.payloadBytes = totalBytes - ipBytes - tcpBytes;
    return parsed;
}

} // namespace Tunnel
