#include "balancer/forwarder.h"

#include "flows/ownersearch.h"

#include <poll.h>
#include <unistd.h>

namespace Balancer {

static constexpr int PollTimeoutMs = 100;

const char *dropCauseText(DropCause cause)
{
    switch (cause) {
    case DropCause::NotGre:
        return "not-gre";
    case DropCause::UnknownService:
        return "unknown-service";
    case DropCause::NoInstance:
        return "no-instance";
    case DropCause::NoOwner:
        return "no-owner";
    }
    return "unknown";
}

Decision decide(const Routing::RoutingTable &table, const Model::Endpoint &origin,
                Tunnel::Bytes packet)
{
    const auto parsed = Tunnel::parseTcpPacket(packet);
    if (const auto *fault = std::get_if<Tunnel::PacketFault>(&parsed))
        return *fault;
    const auto &tcp = std::get<Tunnel::TcpPacket>(parsed);
    const Routing::ServiceTable *const service = table.find(tcp.flow.service);
    if (!service)
        return DropCause::UnknownService;

    const auto kind =
        tcp.opensFlow() ? Routing::PacketKind::OpensFlow : Routing::PacketKind::ContinuesFlow;
    Tunnel::PacketHeader header;
    header.chain = service->runningChainFor(Model::flowHash(tcp.flow), kind);
    header.opensFlow = tcp.opensFlow();
    header.origin = origin;
    header.originContinues = !tcp.opensFlow();
    if (header.chain.isEmpty() && tcp.opensFlow())
        return DropCause::NoInstance;
    if (header.chain.isEmpty())
        return decideOnReturned(table, service->id(), header, packet, 0);
    const Model::Endpoint receiver = header.chain[0].tunnel;
    return Forward{{service->id(), table.generation(), header}, receiver};
}

Decision decideOnReturned(const Routing::RoutingTable &table, Model::ServiceId service,
                          const Tunnel::PacketHeader &header, Tunnel::Bytes packet,
                          std::size_t turn)
{
    const auto parsed = Tunnel::parseTcpPacket(packet);
    if (const auto *fault = std::get_if<Tunnel::PacketFault>(&parsed))
        return *fault;
    const Model::FlowKey &flow = std::get<Tunnel::TcpPacket>(parsed).flow;
    if (!table.hasRoute(flow.service))
        return DropCause::UnknownService;
    const std::uint64_t hash = Model::flowHash(flow);
    const auto owners = table.possibleOwners(flow.service, hash, table.find(flow.service));
    const auto step = Flows::askNextService(owners, hash, header, service);
    auto next = std::holds_alternative<Flows::AskService>(step)
                    ? std::optional(std::get<Flows::AskService>(step))
                    : Flows::askSuspect(owners, header, turn);
    if (!next)
        return DropCause::NoOwner;
    const Model::Endpoint receiver = next->header.chain[0].tunnel;
    return Forward{{next->service, table.generation(), next->header}, receiver};
}

Forwarder::Forwarder(const Model::Endpoint &tunnel)
    : tunnel_(tunnel)
    , socket_(Tunnel::openUdpSocket(tunnel))
    , table_(std::make_shared<Routing::RoutingTable>())
{}

void Forwarder::start(StateNoticeHandler handler)
{
    handler_ = std::move(handler);
    thread_ = std::thread([this] { run(); });
}

Forwarder::~Forwarder()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
    close(socket_);
}

void Forwarder::setTable(std::shared_ptr<const Routing::RoutingTable> table)
{
    table_.store(std::move(table));
}

void Forwarder::run()
{
    while (!stopping_) {
        pollfd descriptor{socket_, POLLIN, 0};
        if (poll(&descriptor, 1, PollTimeoutMs) <= 0)
            continue;
        while (const std::size_t count = received_.receive(socket_))
            forwardBatch(count);
    }
}

void Forwarder::forwardBatch(std::size_t count)
{
    batchTable_ = table_.load();
    headerCount_ = 0;
    headerCache_.beginBatch();
    counters_.received += count;
    for (std::size_t index = 0; index < count; ++index) {
        const auto packet = Tunnel::unwrapGre(received_.datagram(index));
        if (packet)
            queue(decide(*batchTable_, tunnel_, *packet), *packet);
        else
            onOtherDatagram(received_.datagram(index));
    }
    counters_.forwarded += outgoing_.flush(socket_);
}

void Forwarder::onOtherDatagram(Tunnel::Bytes datagram)
{
    const auto received = Tunnel::decodeDatagram(datagram);
    if (!received) {
        ++counters_.drops[std::size_t(DropCause::NotGre)];
        return;
    }
    const auto &[service, generation, content] = received->datagram;
    if (const auto *notice = std::get_if<Tunnel::StateNotice>(&content))
        handler_(*notice);
    else if (const auto *header = std::get_if<Tunnel::PacketHeader>(&content))
        queue(
            decideOnReturned(*batchTable_, service, *header, received->packet, returnedPackets_++),
            received->packet);
    else
        ++counters_.drops[std::size_t(DropCause::NotGre)];
}

void Forwarder::queue(const Decision &decision, Tunnel::Bytes packet)
{
    if (const auto *forward = std::get_if<Forward>(&decision)) {
        const auto &packetHeader = std::get<Tunnel::PacketHeader>(forward->datagram.content);
        const std::vector<std::byte> *header =
            HeaderCache::canCache(packetHeader) ? headerCache_.encoded(forward->datagram) : nullptr;
        if (!header) {
            std::vector<std::byte> &own = headers_[headerCount_++];
            Tunnel::encodeDatagram(forward->datagram, own);
            header = &own;
        }
        outgoing_.add(*header, packet, forward->receiver);
    } else if (const auto *cause = std::get_if<DropCause>(&decision)) {
        ++counters_.drops[std::size_t(*cause)];
    } else {
        ++counters_.faults[std::size_t(std::get<Tunnel::PacketFault>(decision))];
    }
}

} // namespace Balancer
