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

static const Model::Endpoint origin{0x7f000001, 900};

static constexpr std::uint8_t Syn = 0x02;
static constexpr std::uint8_t Ack = 0x10;

TEST_GROUP(Forwarder){};

TEST(Forwarder, ForwardsToTheFirstInstanceOfTheServiceAtTheAddress)
{
    const auto decision = decide(*tableWith(Model::InstanceState::Ready), origin, packetTo(1, Syn));
    const auto &forward = std::get<Forward>(decision);
    CHECK_TRUE(forward.receiver == (Model::Endpoint{0x7f000001, 1000}));
    CHECK_TRUE(forward.datagram.service == Model::serviceId("order-desk"));
    CHECK_TRUE(forward.datagram.generation == Model::Generation(4));
    CHECK_TRUE(std::get<Tunnel::PacketHeader>(forward.datagram.content).opensFlow);
}

TEST(Forwarder, DrainingInstanceReceivesOnlyOpenFlows)
{
    const auto table = tableWith(Model::InstanceState::Draining);
    CHECK_TRUE(std::holds_alternative<Forward>(decide(*table, origin, packetTo(1, Ack))));
    CHECK_TRUE(std::get<DropCause>(decide(*table, origin, packetTo(1, Syn)))
               == DropCause::NoInstance);
}

TEST(Forwarder, ReportsWhyAPacketIsDropped)
{
    const auto table = tableWith(Model::InstanceState::Ready);
    CHECK_TRUE(std::get<DropCause>(decide(*table, origin, packetTo(9, Syn)))
               == DropCause::UnknownService);
    CHECK_TRUE(std::holds_alternative<Tunnel::PacketFault>(decide(*table, origin, {})));
}

/// Returns a table with order-desk at the address of packetTo(1), and yard-ticket, whose address
/// that may have been before.
static std::shared_ptr<const Routing::RoutingTable>
tableWithTwoServices(Model::InstanceState stateOfSecond, bool isSecondConfigured = true)
{
    Model::Configuration configuration;
    configuration.generation = Model::Generation(5);
    std::vector<Model::Instance> instances;
    for (const char *name : {"order-desk", "yard-ticket"}) {
        const auto number = std::uint16_t(instances.size());
        Model::Service service;
        service.name = name;
        service.address = {0x0a280001u + number, 80};
        if (number == 0 || isSecondConfigured)
            configuration.services.push_back(service);
        Model::Instance instance;
        instance.name = std::string("agent-of-") + name;
        instance.service = name;
        instance.tunnel = {0x7f000001, std::uint16_t(1000 + number)};
        instance.state = number == 0 ? Model::InstanceState::Ready : stateOfSecond;
        instances.push_back(instance);
    }
    return Routing::RoutingTable::build(configuration, instances, {}, 1);
}

/// Guards against flows that are cut off from their agent when their address becomes that of
/// another service.
TEST(Forwarder, PacketWithoutOwnerAsksTheAgentsOfOtherServices)
{
    for (const bool isConfigured : {true, false}) {
        const auto table = tableWithTwoServices(Model::InstanceState::Ready, isConfigured);
        const auto packet = packetTo(1, Ack);
        const auto first = std::get<Forward>(decide(*table, origin, packet));
        const auto &header = std::get<Tunnel::PacketHeader>(first.datagram.content);
        CHECK_TRUE(header.originContinues);
        CHECK_TRUE(header.origin == origin);
        const auto next =
            std::get<Forward>(decideOnReturned(*table, first.datagram.service, header, packet, 0));
        CHECK_TRUE(next.datagram.service == Model::serviceId("yard-ticket"));
        CHECK_TRUE(next.receiver == (Model::Endpoint{0x7f000001, 1001}));
        const auto last =
            decideOnReturned(*table, next.datagram.service,
                             std::get<Tunnel::PacketHeader>(next.datagram.content), packet, 0);
        CHECK_TRUE(std::get<DropCause>(last) == DropCause::NoOwner);
    }
}

TEST(Forwarder, PacketWithoutOwnerAsksSuspectAgentsLast)
{
    const auto table = tableWithTwoServices(Model::InstanceState::Suspect);
    const auto packet = packetTo(1, Ack);
    const auto first = std::get<Forward>(decide(*table, origin, packet));
    const auto next = std::get<Forward>(
        decideOnReturned(*table, first.datagram.service,
                         std::get<Tunnel::PacketHeader>(first.datagram.content), packet, 0));
    const auto &header = std::get<Tunnel::PacketHeader>(next.datagram.content);
    CHECK_TRUE(next.receiver == (Model::Endpoint{0x7f000001, 1001}));
    CHECK_TRUE(header.originSearches);
    CHECK_FALSE(header.originContinues);
}
