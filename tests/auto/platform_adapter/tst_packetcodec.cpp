#include "platform/packetcodec.h"

#include "property.h"

#include <string>

using Platform::PacketCodec;

static std::vector<std::byte> bytesOf(const std::string &hex)
{
    std::vector<std::byte> bytes;
    for (std::size_t index = 0; index + 1 < hex.size(); index += 3)
        bytes.push_back(std::byte(std::stoi(hex.substr(index, 2), nullptr, 16)));
    return bytes;
}

static const char *const exampleSyn =
    "64 40 00 07 01 bb 9c 41 c6 12 00 01 04 00 00 00 00 00 00 11 22 "
    "33 44 00 00 00 00 a1 b2 c3 d5 ";
static const char *const exampleReset =
    "c6 12 00 01 9c 41 01 bb 64 40 00 07 10 00 00 00 00 00 00 00 "
    "00 00 00 00 00 00 00 00 00 00 00 ";

static const Model::Endpoint caller{0x64400007, 40001};
static const Model::Endpoint service{0xc6120001, 443};

TEST_GROUP(PacketCodec){};

TEST(PacketCodec, ReadsThePublishedSyn)
{
    const auto packet = PacketCodec::parse(bytesOf(exampleSyn));
    CHECK_TRUE(packet.has_value());
    CHECK_TRUE(packet->source == caller);
    CHECK_TRUE(packet->destination == service);
    CHECK_TRUE(packet->segment.opensFlow());
    LONGS_EQUAL(0x11223344, packet->segment.sequence);
    LONGS_EQUAL(0, packet->segment.acknowledgement);
    CHECK_FALSE(packet->isReturned);
    CHECK_TRUE((Forwarding::callerSegment(*packet).flow == Model::FlowKey{caller, service}));
    CHECK_TRUE((Forwarding::backendSegment(*packet).flow == Model::FlowKey{service, caller}));
}

TEST(PacketCodec, WritesThePublishedReset)
{
    CHECK_TRUE(PacketCodec::reset({caller, service}, 0) == bytesOf(exampleReset));
}

TEST(PacketCodec, AResetLiesNearTheCallersAcknowledgement)
{
    const auto reset = PacketCodec::parse(PacketCodec::reset({caller, service}, 0x01020304));
    CHECK_TRUE(reset->segment.rst);
    LONGS_EQUAL(0x01020304, reset->segment.sequence);
}

TEST(PacketCodec, RefusesShortAndOverlongPackets)
{
    auto bytes = bytesOf(exampleSyn);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(PacketCodec::parse({bytes.data(), size}).has_value());
    bytes.push_back(std::byte{0});
    CHECK_FALSE(PacketCodec::parse(bytes).has_value());
}

TEST(PacketCodec, MarksChangeNothingThatTheChecksumCovers)
{
    const auto before = bytesOf(exampleSyn);
    auto bytes = before;
    bytes[12] |= std::byte{64};
    PacketCodec::setMark(bytes, Forwarding::DeliveryMark{0xcafe0001});
    const auto returned = PacketCodec::parse(bytes);
    CHECK_TRUE(returned->isReturned);
    CHECK_TRUE(returned->mark == Forwarding::DeliveryMark{0xcafe0001});
    PacketCodec::clearReturned(bytes);
    CHECK_TRUE(bytes == before);
}

TEST(PacketCodec, NamesTheRequestThatBegins)
{
    auto bytes = bytesOf(exampleSyn);
    for (const char letter : std::string("GET / HTTP/1.1\r\nRequest-Id: ab12\r\n\r\n"))
        bytes.push_back(std::byte(letter));
    CHECK_TRUE(PacketCodec::requestId(bytes) == "ab12");
    bytes.resize(bytes.size() - 5);
    CHECK_FALSE(PacketCodec::requestId(bytes).has_value());
    CHECK_FALSE(PacketCodec::requestId(bytesOf(exampleSyn)).has_value());
}

static std::optional<int> statusOf(const std::string &payload)
{
    auto bytes = bytesOf(exampleSyn);
    for (const char letter : payload)
        bytes.push_back(std::byte(letter));
    return PacketCodec::responseStatus(bytes);
}

TEST(PacketCodec, ReadsTheStatusOfTheAnswerThatBegins)
{
    LONGS_EQUAL(200, statusOf("HTTP/1.1 200 OK\r\n").value());
    LONGS_EQUAL(503, statusOf("HTTP/1.1 503").value());
    for (const char *other : {"", "HTTP/1.1 50", "HTTP/1.1 5x0 ", "HTTP/1.0 200 ", "of a body 500"})
        CHECK_FALSE(statusOf(other).has_value());
}

TEST(PacketCodec, AnyBytesAreReadOrRefused)
{
    checkProperty("any bytes are read or refused", [](const std::vector<std::uint8_t> &random) {
        generatedSteps += 10;
        std::vector<std::byte> bytes(random.size());
        for (std::size_t index = 0; index < random.size(); ++index)
            bytes[index] = std::byte(random[index]);
        if (const auto packet = PacketCodec::parse(bytes))
            RC_ASSERT(packet->segment.payloadBytes + 31 == bytes.size());
        if (bytes.size() >= 31)
            PacketCodec::requestId(bytes);
        if (bytes.size() >= 31)
            PacketCodec::responseStatus(bytes);
    });
}
