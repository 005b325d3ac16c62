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

/// User-space TCP, based on lwIP.
namespace Stack {

/// A SYN-ACK was sent in reply to a SYN; \c initialSequence is its sequence number.
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

/// Bytes arrived. They reduce the receive window until TcpStack::consume() is called for them.
struct Received
{
    Model::FlowKey flow;
    std::string bytes;
};

/// The remote end acknowledged bytes, so that more can be written.
struct Writable
{
    Model::FlowKey flow;
};

/// The remote end closed its side and will send no more bytes.
struct RemoteClosed
{
    Model::FlowKey flow;
};

/// The flow ended abnormally: it was reset, or given up after too many retransmissions.
struct Aborted
{
    Model::FlowKey flow;
};

using Event = std::variant<SynAckSent, Opened, Received, Writable, RemoteClosed, Aborted>;

/// State of an established flow without unsent or unacknowledged bytes, which another process needs
/// to take it over.
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

/// Sets where the initial sequence numbers of this process start.
///
/// Processes that serve the same address need different ones: if two of them answer the same SYN,
/// the caller's ACK must match only one of the answers. Thread-safe.
void seedInitialSequenceNumbers(std::uint32_t seed);

/// The TCP flows of one or several IPv4 addresses: a service may change its address while flows to
/// the earlier one are open.
///
/// lwIP keeps its state in globals, so all stacks of a process share one lock; each needs
/// addresses of its own. Methods may be called from any thread. Events are returned in the order of
/// their occurrence.
class TcpStack
{
public:
    /// Sends an IPv4 packet. Called with lwIP's lock held, on any thread; must not call back into
    /// the stack.
    using Output = std::function<void(Tunnel::Bytes packet)>;

    /// Called when takeEvents() has something to return, on any thread.
    using EventNotifier = std::function<void()>;

    /// \a address is the first one, in host byte order; \a maximumPacketBytes bounds the packets of
    /// both directions.
    TcpStack(std::uint32_t address, std::uint16_t maximumPacketBytes, Output output,
             EventNotifier eventNotifier);
    ~TcpStack();
    TcpStack(const TcpStack &) = delete;
    TcpStack &operator=(const TcpStack &) = delete;

    /// Accepts flows to \a endpoint too, whose address becomes one of this stack's. Returns whether
    /// it does; false if another stack has the endpoint or memory is short.
    bool listen(const Model::Endpoint &endpoint);

    /// Opens a flow from \a localPort of the first address to \a service; Opened or Aborted
    /// follows. Returns the flow's key, or nothing if the port is in use or the flow can't be
    /// opened.
    std::optional<Model::FlowKey> connect(std::uint16_t localPort, const Model::Endpoint &service);

    /// Processes an IPv4 packet from the network. Drops it if memory is short.
    void input(Tunnel::Bytes packet);

    /// Returns the pending events and removes them.
    std::vector<Event> takeEvents();

    /// Returns how many bytes write() would accept now; 0 for an unknown flow.
    std::size_t writableBytes(const Model::FlowKey &flow) const;

    /// Queues as many of \a bytes as fit into the send buffer, and returns their number; 0 for an
    /// unknown flow.
    std::size_t write(const Model::FlowKey &flow, std::string_view bytes);

    /// Returns the sequence number after the last written byte; 0 for an unknown flow.
    std::uint32_t endSequence(const Model::FlowKey &flow) const;

    /// Marks \a count received bytes as consumed, which reopens the receive window.
    void consume(const Model::FlowKey &flow, std::size_t count);

    /// Closes the flow gracefully, once all written bytes are acknowledged. No events follow.
    void close(const Model::FlowKey &flow);

    /// Drops the flow without notifying the remote end. Also drops half-open flows, and those that
    /// linger after close().
    void abandon(const Model::FlowKey &flow);

    /// Drops the flow and sends a reset to the remote end.
    void reset(const Model::FlowKey &flow);

    /// Returns whether all written bytes are sent and acknowledged; false for an unknown flow.
    bool isFullyAcknowledged(const Model::FlowKey &flow) const;

    /// Removes the flow from this stack and returns its state. Returns nothing, and keeps the flow,
    /// if it is not established, or has bytes that are unsent, unacknowledged or undelivered.
    std::optional<TcpState> exportFlow(const Model::FlowKey &flow);

    /// Resumes a flow that a stack exported; replaces a flow with the same key. The flow's address
    /// becomes one of this stack's. Returns false if \a state has no segment size, or memory is
    /// short.
    bool importFlow(const TcpState &state);

    /// Returns the number of flows, without those that linger after close().
    std::size_t flowCount() const;

private:
    class Internals;
    std::unique_ptr<Internals> internals_;
};

} // namespace Stack
