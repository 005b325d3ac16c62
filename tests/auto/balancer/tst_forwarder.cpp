#include "balancer/forwarder.h"

#include "property.h"

using namespace Balancer;

static std::vector<std::byte> packetTo(std::uint8_t lastOctet, std::uint8_t flags)
{
    std::vector<std::byte> packet(40);
    packet[0] = std::byte(0x45);
    packet[3] = std::byte(40);
    packet[9] = std::byte(6);
    packet[12] = std::byte(10);
    packet[16] = std::byte(10);
    packet[17] = std::byte(40);
    packet[19] = std::byte(lastOctet);
    packet[21] = std::byte(9);
    packet[23] = std::byte(80);
    packet[32] = std::byte(0x50);
    packet[33] = std::byte(flags);
    return packet;
}

static std::shared_ptr<const Routing::RoutingTable> tableWith(Model::InstanceState state)
{
    Model::Configuration configuration;
    configuration.generation = Model::Generation(4);
    Model::Service service;
    service.name = "order-desk";
    service.address = {0x0a280001, 80};
    configuration.services = {service};
    Model::Instance instance;
    instance.name = "agent-1";
    instance.service = "order-desk";
    instance.tunnel = {0x7f000001, 1000};
    instance.state = state;
    return Routing::RoutingTable::build(configuration, {instance}, {}, 1);
}

static constexpr std::uint8_t Syn = 0x02;
static constexpr std::uint8_t Ack = 0x10;

TEST_GROUP(Forwarder){};

TEST(Forwarder, ForwardsToTheFirstInstanceOfTheServiceAtTheAddress)
{
    const auto decision = decide(*tableWith(Model::InstanceState::Ready), packetTo(1, Syn));
    const auto &forward = std::get<Forward>(decision);
    CHECK_TRUE(forward.receiver == (Model::Endpoint{0x7f000001, 1000}));
    CHECK_TRUE(forward.datagram.service == Model::serviceId("order-desk"));
    CHECK_TRUE(forward.datagram.generation == Model::Generation(4));
    CHECK_TRUE(std::get<Tunnel::PacketHeader>(forward.datagram.content).opensFlow);
}

TEST(Forwarder, DrainingInstanceReceivesOnlyOpenFlows)
{
    const auto table = tableWith(Model::InstanceState::Draining);
    CHECK_TRUE(std::holds_alternative<Forward>(decide(*table, packetTo(1, Ack))));
    CHECK_TRUE(std::get<DropCause>(decide(*table, packetTo(1, Syn))) == DropCause::NoInstance);
}

TEST(Forwarder, ReportsWhyAPacketIsDropped)
{
    const auto table = tableWith(Model::InstanceState::Ready);
    CHECK_TRUE(std::get<DropCause>(decide(*table, packetTo(9, Syn))) == DropCause::UnknownService);
    CHECK_TRUE(std::holds_alternative<Tunnel::PacketFault>(decide(*table, {})));
}
