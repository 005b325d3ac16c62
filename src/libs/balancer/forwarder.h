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

/// The packet path in a balancer: from the fabric to the first agent of the packet's chain.
namespace Balancer {

enum class DropCause {
    NotGre,         ///< no RFC 8086 GRE header for IPv4
    UnknownService, ///< no service has the packet's destination address
    NoInstance,     ///< the service has no instance that can accept the packet
    NoOwner,        ///< no agent that runs owns the flow
};

constexpr std::size_t DropCauseCount = 4;

/// Returns the name of \a cause in metrics and state dumps. Thread-safe.
const char *dropCauseText(DropCause cause);

/// The header and the receiver with which a packet is forwarded.
struct Forward
{
    Tunnel::Datagram datagram;
    Model::Endpoint receiver;
};

using Decision = std::variant<Forward, DropCause, Tunnel::PacketFault>;

/// Returns how to handle \a packet, an IPv4 packet from the fabric. \a origin is where agents
/// return packets of open flows that none of them owns. Keeps no state; thread-safe.
Decision decide(const Routing::RoutingTable &table, const Model::Endpoint &origin,
                Tunnel::Bytes packet);

/// Returns how to handle \a packet, which the agents of \a service returned with \a header because
/// none of them owns its flow: another service may, since the address may have been its own when
/// the flow was opened. \a turn is a number that grows with each call. Keeps no state; thread-safe.
Decision decideOnReturned(const Routing::RoutingTable &table, Model::ServiceId service,
                          const Tunnel::PacketHeader &header, Tunnel::Bytes packet,
                          std::size_t turn);

/// Counters of one balancer since its start.
struct Counters
{
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::array<std::atomic<std::uint64_t>, DropCauseCount> drops{};
    std::array<std::atomic<std::uint64_t>, Tunnel::PacketFaultCount> faults{};
};

/// Receives and forwards packets on a traffic thread of its own.
class Forwarder
{
public:
    /// Handles a state notice from an agent. Called on the traffic thread.
    using StateNoticeHandler = std::function<void(const Tunnel::StateNotice &)>;

    /// Binds a socket to \a tunnel. Throws std::system_error if it can't be bound.
    explicit Forwarder(const Model::Endpoint &tunnel);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Starts the traffic thread, which calls \a handler. Must be called at most once.
    void start(StateNoticeHandler handler);

    /// Sets the table to use from the next batch of packets on. Thread-safe.
    void setTable(std::shared_ptr<const Routing::RoutingTable> table);

    /// Returns the counters. Thread-safe.
    const Counters &counters() const { return counters_; }

private:
    void run();
    void forwardBatch(std::size_t count);
    void queue(const Decision &decision, Tunnel::Bytes packet);

    void onOtherDatagram(Tunnel::Bytes datagram);

    Model::Endpoint tunnel_;
    int socket_;
    StateNoticeHandler handler_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::shared_ptr<const Routing::RoutingTable>> table_;
    std::shared_ptr<const Routing::RoutingTable> batchTable_;
    Counters counters_;
    Tunnel::ReceiveBatch received_;
    Tunnel::SendBatch outgoing_;
    std::array<std::vector<std::byte>, Tunnel::BatchPackets> headers_;
    std::size_t headerCount_ = 0;
    HeaderCache headerCache_;
    std::size_t returnedPackets_ = 0;
    std::thread thread_;
};

} // namespace Balancer
