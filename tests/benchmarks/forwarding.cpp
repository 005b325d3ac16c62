#include "measures.h"

#include "balancer/forwarder.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace Measures {

using Clock = std::chrono::steady_clock;

static constexpr std::size_t PacketBytes = 512;
static constexpr std::size_t FlowCount = 4096;
static constexpr std::chrono::milliseconds RoundTime{700};
static constexpr int Rounds = 7;

static const Model::Endpoint sink{0x7f000001, 17002};
static const Model::Endpoint forwarderEndpoint{0x7f000001, 17000};
static const Model::Endpoint relayEndpoint{0x7f000001, 17001};

/// Forwards every datagram unread to one fixed receiver; the baseline for the balancer.
class PlainRelay
{
public:
    PlainRelay()
        : socket_(Tunnel::openUdpSocket(relayEndpoint))
        , thread_([this] { run(); })
    {}
    ~PlainRelay()
    {
        stopping_ = true;
        thread_.join();
        close(socket_);
    }

    std::uint64_t forwarded() const { return forwarded_; }

private:
    void run()
    {
        while (!stopping_) {
            pollfd waiting{socket_, POLLIN, 0};
            if (poll(&waiting, 1, 100) <= 0)
                continue;
            while (const std::size_t count = received_.receive(socket_)) {
                for (std::size_t index = 0; index < count; ++index)
                    outgoing_.add({}, received_.datagram(index), sink);
                forwarded_ += outgoing_.flush(socket_);
            }
        }
    }

    int socket_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> forwarded_ = 0;
    Tunnel::ReceiveBatch received_;
    Tunnel::SendBatch outgoing_;
    std::thread thread_;
};

static std::vector<std::vector<std::byte>> makePackets()
{
    std::vector<std::vector<std::byte>> all;
    for (std::size_t flow = 0; flow < FlowCount; ++flow) {
        std::vector<std::byte> packet(PacketBytes);
        packet[2] = std::byte(0x08);
        std::byte *const ip = packet.data() + Tunnel::GreHeaderBytes;
        const std::size_t length = PacketBytes - Tunnel::GreHeaderBytes;
        ip[0] = std::byte(0x45);
        ip[2] = std::byte(length >> 8);
        ip[3] = std::byte(length & 0xff);
        ip[9] = std::byte(6);
        ip[12] = std::byte(10);
        ip[16] = std::byte(10);
        ip[20] = std::byte(1 + (flow >> 8));
        ip[21] = std::byte(flow & 0xff);
        ip[23] = std::byte(80);
        ip[32] = std::byte(0x50);
        ip[33] = std::byte(0x10);
        all.push_back(std::move(packet));
    }
    return all;
}

static std::shared_ptr<const Routing::RoutingTable> makeTable()
{
    Model::Configuration configuration;
    Model::Service service;
    service.name = "order-desk";
    service.address = {0x0a000000, 80};
    configuration.services = {service};
    std::vector<Model::Instance> instances;
    for (int number = 0; number < 13; ++number) {
        Model::Instance instance;
        instance.name = "agent-" + std::to_string(number);
        instance.service = service.name;
        instance.tunnel = sink;
        instances.push_back(instance);
    }
    return Routing::RoutingTable::build(configuration, instances, {}, 1);
}

/// Sends to \a receiver from two threads as fast as possible; returns the growth of \a count() per
/// second, measured over RoundTime after a warm-up.
template<typename F>
static double packetsPerSecond(const Model::Endpoint &receiver, F count)
{
    static const auto all = makePackets();
    std::atomic<bool> stopping = false;
    std::vector<std::thread> senders;
    for (std::uint16_t sender = 0; sender < 2; ++sender) {
        senders.emplace_back([&, sender] {
            const int socket = Tunnel::openUdpSocket({0x7f000001, std::uint16_t(17010 + sender)});
            Tunnel::SendBatch batch;
            std::size_t next = sender * 1000u;
            while (!stopping) {
                while (!batch.isFull())
                    batch.add({}, all[next++ % all.size()], receiver);
                batch.flush(socket);
            }
            close(socket);
        });
    }
    std::this_thread::sleep_for(RoundTime / 4);
    const auto before = count();
    const auto start = Clock::now();
    std::this_thread::sleep_for(RoundTime);
    const double rate =
        double(count() - before) / std::chrono::duration<double>(Clock::now() - start).count();
    stopping = true;
    for (std::thread &sender : senders)
        sender.join();
    return rate;
}

nlohmann::json measureForwarding()
{
    const int sinkSocket = Tunnel::openUdpSocket(sink);
    Balancer::Forwarder forwarder(forwarderEndpoint);
    forwarder.setTable(makeTable());
    forwarder.start([](const Tunnel::StateNotice &) {});
    const PlainRelay relay;
    std::vector<double> ratios;
    std::vector<double> forwardRates;
    std::vector<double> relayRates;
    for (int round = 0; round < Rounds; ++round) {
        relayRates.push_back(packetsPerSecond(relayEndpoint, [&] { return relay.forwarded(); }));
        forwardRates.push_back(packetsPerSecond(
            forwarderEndpoint, [&] { return forwarder.counters().forwarded.load(); }));
        ratios.push_back(forwardRates.back() / relayRates.back());
    }
    close(sinkSocket);
    for (auto *values : {&ratios, &forwardRates, &relayRates})
        std::sort(values->begin(), values->end());
    return {{"forwardingVsRelay", ratios[ratios.size() / 2]},
            {"forwardingVsRelayRange", {ratios.front(), ratios.back()}},
            {"forwardedPacketsPerSecond", forwardRates[forwardRates.size() / 2]},
            {"relayedPacketsPerSecond", relayRates[relayRates.size() / 2]}};
}

} // namespace Measures
