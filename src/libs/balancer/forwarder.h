#pragma once

#include "balancer/headercache.h"
#include "routing/routingtable.h"
#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"
#include "tunnel/udpsocket.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

/// The balancer's way of a packet: from the fabric to the first agent of its chain.
namespace Balancer {

enum class DropCause {
    NotGre,         ///< another GRE header than RFC 8086's for IPv4
    UnknownService, ///< no service has the packet's destination
    NoInstance,     ///< the service has no instance that could take the packet
};

constexpr std::size_t DropCauseCount = 3;

/// Returns the name of \a cause in metrics and dumps. Thread-safe.
const char *dropCauseText(DropCause cause);

/// Where a packet goes, and under which header.
struct Forward
{
    Tunnel::Datagram datagram;
    Model::Endpoint receiver;
};

using Decision = std::variant<Forward, DropCause, Tunnel::PacketFault>;

/// Decides on \a packet, an IPv4 packet from the fabric. Keeps nothing; thread-safe.
Decision decide(const Routing::RoutingTable &table, Tunnel::Bytes packet);

/// Counts of one balancer since its start.
struct Counters
{
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::array<std::atomic<std::uint64_t>, DropCauseCount> drops{};
    std::array<std::atomic<std::uint64_t>, Tunnel::PacketFaultCount> faults{};
};

/// Receives, decides and sends on a traffic thread.
class Forwarder
{
public:
    /// Takes what an agent says of an instance. Called on the traffic thread.
    using StateNoticeHandler = std::function<void(const Tunnel::StateNotice &)>;

    /// Binds \a tunnel. Throws std::system_error if it can't be bound.
    explicit Forwarder(const Model::Endpoint &tunnel);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Starts the thread. Called once.
    void start(StateNoticeHandler noticed);

    /// Uses \a table from the next batch of packets on. Thread-safe.
    void setTable(std::shared_ptr<const Routing::RoutingTable> table);

    /// Returns the counts. Thread-safe.
    const Counters &counters() const { return counters_; }

private:
    void run();
    void forwardBatch(std::size_t count);
    void queue(const Decision &decision, Tunnel::Bytes packet);

    void onOtherDatagram(Tunnel::Bytes datagram);

    int socket_;
    StateNoticeHandler noticed_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::shared_ptr<const Routing::RoutingTable>> table_;
    std::shared_ptr<const Routing::RoutingTable> batchTable_;
    Counters counters_;
    Tunnel::ReceiveBatch received_;
    Tunnel::SendBatch outgoing_;
    std::array<std::vector<std::byte>, Tunnel::BatchPackets> headers_;
    std::size_t headerCount_ = 0;
    HeaderCache headerCache_;
    std::thread thread_;
};

} // namespace Balancer
