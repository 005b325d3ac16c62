#include "tunnel/tcppacket.h"

#include "property.h"

#include <vector>

using namespace Tunnel;

static std::vector<std::byte> synPacket()
{
    std::vector<std::byte> packet(40);
    packet[0] = std::byte(0x45);
    packet[3] = std::byte(40);
    packet[9] = std::byte(6);
    packet[12] = std::byte(10);
    packet[15] = std::byte(1);
    packet[16] = std::byte(10);
    packet[19] = std::byte(2);
    packet[20] = std::byte(0x13);
    packet[23] = std::byte(80);
    packet[32] = std::byte(0x50);
    packet[33] = std::byte(0x02);
    return packet;
}

static PacketFault faultOf(const std::vector<std::byte> &packet)
{
    return std::get<PacketFault>(parseTcpPacket(packet));
}

TEST_GROUP(TcpPacket){};

TEST(TcpPacket, ParsesAddressesAndFlags)
{
    const auto parsed = parseTcpPacket(synPacket());
    const auto &tcp = std::get<TcpPacket>(parsed);
    CHECK_TRUE(tcp.opensFlow());
    STRCMP_EQUAL("10.0.0.1:4864>10.0.0.2:80", Model::flowText(tcp.flow).c_str());
}

TEST(TcpPacket, ReportsEachFault)
{
    auto packet = synPacket();
    packet[0] = std::byte(0x65);
    CHECK_TRUE(faultOf(packet) == PacketFault::NotIpv4);
    packet = synPacket();
    packet[9] = std::byte(17);
    CHECK_TRUE(faultOf(packet) == PacketFault::NotTcp);
    packet = synPacket();
    packet[6] = std::byte(0x20);
    CHECK_TRUE(faultOf(packet) == PacketFault::Fragment);
    packet = synPacket();
    packet[32] = std::byte(0x40);
    CHECK_TRUE(faultOf(packet) == PacketFault::BadTcpHeader);
    packet = synPacket();
    packet[23] = std::byte(0);
    CHECK_TRUE(faultOf(packet) == PacketFault::ZeroPort);
    packet.resize(39);
    CHECK_TRUE(faultOf(packet) == PacketFault::Truncated);
}

TEST(TcpPacket, ArbitraryBytesAreParsedWithinTheirBounds)
{
    checkProperty("arbitrary bytes are parsed within their bounds or rejected with a fault", [] {
        auto packet = synPacket();
        const auto changes = *rc::gen::inRange(1, 25);
        for (int change = 0; change < changes; ++change) {
            ++generatedSteps;
            packet[*rc::gen::inRange<std::size_t>(0, packet.size())] =
                std::byte(*rc::gen::arbitrary<std::uint8_t>());
        }
        packet.resize(*rc::gen::inRange<std::size_t>(0, packet.size() + 1));
        const auto parsed = parseTcpPacket(packet);
        if (const auto *tcp = std::get_if<TcpPacket>(&parsed))
            RC_ASSERT(tcp->payloadBytes + 40 <= packet.size());
    });
}
