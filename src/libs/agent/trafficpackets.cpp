#include "agent/agenttraffic.h"

#include <algorithm>

namespace Agent {

static constexpr std::size_t MaxBalancers = 64;
static constexpr std::size_t MaxNotifiedPeers = 32;
static constexpr std::size_t MaxBatchesPerTurn = 8;

void AgentTraffic::waitForPackets()
{
    socket_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code &error) {
                           if (error)
                               return;
                           receivePackets();
                           waitForPackets();
                       });
}

void AgentTraffic::receivePackets()
{
    for (std::size_t batch = 0; batch < MaxBatchesPerTurn; ++batch) {
        const std::size_t count = received_.receive(socket_.native_handle());
        if (count == 0)
            return;
        for (std::size_t index = 0; index < count; ++index)
            onDatagram(received_.datagram(index), received_.sender(index));
    }
}

void AgentTraffic::onDatagram(Tunnel::Bytes bytes, const Model::Endpoint &sender)
{
    ++counters_.received;
    const auto received = Tunnel::decodeDatagram(bytes);
    if (!received) {
        ++counters_.malformed;
        return;
    }
    const Tunnel::Datagram &datagram = received->datagram;
    if (table_ && datagram.generation > table_->generation())
        handlers_.newerGenerationSeen();

    if (const auto *header = std::get_if<Tunnel::PacketHeader>(&datagram.content)) {
        if (header->passes == 0)
            recordBalancer(sender);
        return onPacket(datagram, *header, received->packet);
    }
    if (datagram.service != service_) {
        ++counters_.drops[std::size_t(Flows::DropCause::OtherService)];
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (const auto *redirects = std::get_if<Tunnel::Redirects>(&datagram.content))
        onRedirects(*redirects);
    else if (const auto *probe = std::get_if<Tunnel::Probe>(&datagram.content))
        carryOut(prober_.onProbe(now, *probe));
    else if (const auto *answer = std::get_if<Tunnel::ProbeAnswer>(&datagram.content))
        carryOut(prober_.onAnswer(*answer));
    else if (const auto *notice = std::get_if<Tunnel::StateNotice>(&datagram.content))
        handlers_.stateNoticed(*notice);
}

void AgentTraffic::recordBalancer(const Model::Endpoint &sender)
{
    if (balancers_.size() < MaxBalancers || balancers_.contains(sender))
        balancers_[sender] = std::chrono::steady_clock::now();
}

/// Sends \a notice directly to the balancers that send packets here, and to peers, since the
/// platform may be unable to distribute it.
void AgentTraffic::sendStateNotice(const Tunnel::StateNotice &notice)
{
    for (const auto &[balancer, seen] : balancers_)
        sendControl(balancer, {service_, {}, notice});
    if (!serviceTable_)
        return;
    std::size_t notified = 0;
    for (const Model::Instance &peer : serviceTable_->instances()) {
        if (peer.name != settings_.self.name && notified++ < MaxNotifiedPeers)
            sendControl(peer.tunnel, {service_, {}, notice});
    }
}

void AgentTraffic::onPacket(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                            Tunnel::Bytes packet)
{
    const auto parsed = Tunnel::parseTcpPacket(packet);
    if (!std::holds_alternative<Tunnel::TcpPacket>(parsed)) {
        ++counters_.malformed;
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto &tcp = std::get<Tunnel::TcpPacket>(parsed);
    const auto decision = director_.onPacket(now, datagram.service, header, tcp, availability());
    if (decision.replacesEarlierFlow && stack_) {
        stack_->abandon(tcp.flow);
        runner_.onCallerDisconnected(now, tcp.flow);
        sessions_.erase(tcp.flow);
    }
    if (decision.notice)
        sendRedirects(decision.notice->receiver, {decision.notice->flow});
    if (const auto *forward = std::get_if<Flows::ForwardToHop>(&decision.verdict)) {
        forwardPacket(datagram, forward->header, packet);
    } else if (const auto *dropped = std::get_if<Flows::Drop>(&decision.verdict)) {
        if (dropped->cause == Flows::DropCause::NoOwner && header.originContinues
            && header.origin.isValid())
            returnPacket(datagram, packet);
        else
            ++counters_.drops[std::size_t(dropped->cause)];
    } else if (stack_) {
        ++counters_.delivered;
        stack_->input(packet);
        drainStackEvents();
    }
}

void AgentTraffic::forwardPacket(const Tunnel::Datagram &datagram,
                                 const Tunnel::PacketHeader &header, Tunnel::Bytes packet)
{
    ++counters_.passedOn;
    const auto encoded = Tunnel::encodeDatagram({datagram.service, datagram.generation, header});
    Tunnel::sendDatagram(socket_.native_handle(), encoded, packet,
                         header.chain[header.position].tunnel);
}

/// Returns \a packet to the balancer that sent it, since no agent of this service owns its flow.
void AgentTraffic::returnPacket(const Tunnel::Datagram &datagram, Tunnel::Bytes packet)
{
    ++counters_.returned;
    const auto &header = std::get<Tunnel::PacketHeader>(datagram.content);
    Tunnel::sendDatagram(socket_.native_handle(), Tunnel::encodeDatagram(datagram), packet,
                         header.origin);
}

void AgentTraffic::onRedirects(const Tunnel::Redirects &redirects)
{
    director_.onRedirects(std::chrono::steady_clock::now(), redirects.owner, redirects.flows);
}

void AgentTraffic::sendRedirects(const Routing::Hop &receiver,
                                 const std::vector<Tunnel::ClaimedFlow> &flows)
{
    for (std::size_t first = 0; first < flows.size(); first += Tunnel::MaxFlowsPerRedirects) {
        const std::size_t last = std::min(flows.size(), first + Tunnel::MaxFlowsPerRedirects);
        Tunnel::Redirects redirects{
            self_, {flows.begin() + std::ptrdiff_t(first), flows.begin() + std::ptrdiff_t(last)}};
        sendControl(receiver.tunnel, {service_, {}, std::move(redirects)});
    }
}

void AgentTraffic::sendControl(const Model::Endpoint &receiver, Tunnel::Datagram datagram)
{
    datagram.generation = table_ ? table_->generation() : Model::Generation{};
    const auto encoded = Tunnel::encodeDatagram(datagram);
    counters_.controlBytesSent += encoded.size();
    Tunnel::sendDatagram(socket_.native_handle(), encoded, {}, receiver);
}

void AgentTraffic::carryOut(const std::vector<Membership::ProberAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<Membership::SendProbe>(&action))
            sendControl(probe->receiver.tunnel, {service_, {}, probe->probe});
        else if (const auto *answer = std::get_if<Membership::SendAnswer>(&action))
            sendControl(answer->receiver.tunnel, {service_, {}, answer->answer});
        else if (const auto *suspect = std::get_if<Membership::SuspectPeer>(&action)) {
            const Tunnel::StateNotice notice{Model::instanceId(suspect->name), suspect->incarnation,
                                             Model::InstanceState::Suspect};
            handlers_.peerSuspect(*suspect);
            handlers_.stateNoticed(notice);
            sendStateNotice(notice);
        } else
            handlers_.peerRemoved(std::get<Membership::RemovePeer>(action));
    }
}

void AgentTraffic::sendOwnershipNotices()
{
    if (!serviceTable_)
        return;
    for (const auto &[receiver, flows] : director_.ownershipNotices(*serviceTable_))
        sendRedirects(receiver, flows);
}

} // namespace Agent
