#pragma once

#include "tunnel/tcppacket.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Forwards callers' packets unchanged between callers and backend servers.
namespace Forwarding {

/// Identifies a delivery. A backend server sends it back unchanged with a packet that it returns; 0
/// is no mark.
enum class DeliveryMark : std::uint32_t {};

/// The headers of one packet, as written by its sender.
struct ParsedPacket
{
    Model::Endpoint source;
    Model::Endpoint destination;
    Tunnel::TcpPacket segment; ///< its flow is empty; see callerSegment() and backendSegment()
    bool isReturned = false;   ///< the backend server does not hold the flow or can't accept it
    DeliveryMark mark{};       ///< set before the delivery
};

/// Reads and writes the few fields of a packet that forwarding needs. All functions are
/// thread-safe.
///
/// parse() returns nothing for a malformed packet. requestId() and responseStatus() return the id
/// of the request and the HTTP status of the response that begins in a packet, or nothing.
/// setMark() and clearReturned() change a packet in place. reset() returns a packet that resets \c
/// flow for its caller.
template<typename C>
concept PacketCodec = requires(Tunnel::Bytes bytes, std::span<std::byte> writable,
                               DeliveryMark mark, const Model::FlowKey &flow,
                               std::uint32_t acknowledgement)
{
    {
        C::parse(bytes)
        } -> std::same_as<std::optional<ParsedPacket>>;
    {
        C::requestId(bytes)
        } -> std::same_as<std::optional<std::string_view>>;
    {
        C::responseStatus(bytes)
        } -> std::same_as<std::optional<int>>;
    {
        C::setMark(writable, mark)
        } -> std::same_as<void>;
    {
        C::clearReturned(writable)
        } -> std::same_as<void>;
    {
        C::reset(flow, acknowledgement)
        } -> std::same_as<std::vector<std::byte>>;
};

/// Returns the segment of \a packet, which a caller sent, with its flow.
inline Tunnel::TcpPacket callerSegment(const ParsedPacket &packet)
{
    Tunnel::TcpPacket segment = packet.segment;
    segment.flow = {packet.source, packet.destination};
    return segment;
}

/// Returns the segment of \a packet, which a backend server sent, with its flow.
inline Tunnel::TcpPacket backendSegment(const ParsedPacket &packet)
{
    Tunnel::TcpPacket segment = packet.segment;
    segment.flow = {packet.destination, packet.source};
    return segment;
}

} // namespace Forwarding
