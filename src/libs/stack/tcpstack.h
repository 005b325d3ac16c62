#pragma once

#include "model/endpoint.h"
#include "tunnel/gre.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// TCP in user space, by lwIP.
namespace Stack {

/// The far end's SYN was answered; \c initialSequence is the answer's sequence number.
struct SynAckSent
{
    Model::FlowKey flow;
    std::uint32_t initialSequence;
};

/// A flow is established.
struct Opened
{
    Model::FlowKey flow;
};

/// Bytes arrived; the reader says with TcpStack::consumed() when it has taken them.
struct Received
{
    Model::FlowKey flow;
    std::string bytes;
};

/// The far end acknowledged bytes, so that more may be written.
struct Writable
{
    Model::FlowKey flow;
};

/// The far end will send nothing more.
struct RemoteClosed
{
    Model::FlowKey flow;
};

/// The flow is gone: reset, or given up after too many retransmissions.
struct Aborted
{
    Model::FlowKey flow;
};

using Event = std::variant<SynAckSent, Opened, Received, Writable, RemoteClosed, Aborted>;

/// An established flow between two segments, for another process to go on with.
struct TcpState
{
    Model::FlowKey flow;
    std::uint32_t receiveNext = 0;
    std::uint32_t sendNext = 0;
    std::uint32_t lastAcknowledged = 0;
    std::uint32_t windowUpdateSequence = 0;
    std::uint32_t windowUpdateAcknowledgement = 0;
    std::uint32_t receiveWindow = 0;
    std::uint32_t sendWindow = 0;
    std::uint32_t sendWindowMaximum = 0;
    std::uint32_t congestionWindow = 0;
    std::uint32_t slowStartThreshold = 0;
    std::uint32_t announcedRightEdge = 0;
    std::uint32_t announcedWindow = 0;
    std::uint16_t maximumSegment = 0;
    std::uint16_t flags = 0;
    std::uint8_t sendScale = 0;
    std::uint8_t receiveScale = 0;

    bool operator==(const TcpState &) const = default;
};

/// Sets where the initial sequence numbers of this process begin.
///
/// Processes that answer for one address need different ones: where two answered the same SYN, the
/// caller's ACK must match only one of the answers. Thread-safe.
void seedInitialSequenceNumbers(std::uint32_t seed);

/// The TCP flows of one IPv4 address.
///
/// lwIP keeps its state in globals, so a process may hold several stacks for different addresses,
/// all under one lock. Methods may be called from any thread; events arrive in order.
class TcpStack
{
public:
    /// Takes an IPv4 packet to send. Called with lwIP's lock held, on any thread; must not call
    /// back into the stack.
    using Output = std::function<void(Tunnel::Bytes packet)>;

    /// Called when takeEvents() has something to return, on any thread.
    using EventNotifier = std::function<void()>;

    /// \a address in host byte order; \a maximumPacketBytes bounds the packets of both directions.
    TcpStack(std::uint32_t address, std::uint16_t maximumPacketBytes, Output output, EventNotifier wake);
    ~TcpStack();
    TcpStack(const TcpStack &) = delete;
    TcpStack &operator=(const TcpStack &) = delete;

    /// Accepts flows to \a port. Returns false if the port is taken.
    bool listen(std::uint16_t port);

    /// Opens a flow from \a localPort to \a service; Opened or Gone follows.
    /// Returns the flow's key, or nothing if the port is taken.
    std::optional<Model::FlowKey> connect(std::uint16_t localPort, const Model::Endpoint &service);

    /// Takes a packet from the network.
    void input(Tunnel::Bytes packet);

    /// Returns and removes the events so far.
    std::vector<Event> takeEvents();

    /// Returns how many bytes write() would take now; 0 for an unknown flow.
    std::size_t writableBytes(const Model::FlowKey &flow) const;

    /// Takes as many of \a bytes as fit, and returns how many.
    std::size_t write(const Model::FlowKey &flow, std::string_view bytes);

    /// Returns the number after the last byte written; 0 for an unknown flow.
    std::uint32_t endSequence(const Model::FlowKey &flow) const;

    /// Says that \a count received bytes are taken, which opens the window again.
    void consume(const Model::FlowKey &flow, std::size_t count);

    /// Ends the flow gracefully once all written bytes are acknowledged. No further events.
    void close(const Model::FlowKey &flow);

    /// Drops the flow without telling the far end.
    void abandon(const Model::FlowKey &flow);

    /// Drops the flow with a reset to the far end.
    void reset(const Model::FlowKey &flow);

    /// Whether nothing written waits to be sent or acknowledged.
    bool isFullyAcknowledged(const Model::FlowKey &flow) const;

    /// Takes the flow out of this stack. Nothing if it isn't quiet, or not established.
    std::optional<TcpState> exportFlow(const Model::FlowKey &flow);

    /// Goes on with a flow that another stack exported. Returns false if its key is in use.
    bool importFlow(const TcpState &state);

    /// Returns the number of flows, those that only linger after close() left out.
    std::size_t flowCount() const;

private:
    class Internals;
    std::unique_ptr<Internals> internals_;
};

} // namespace Stack
