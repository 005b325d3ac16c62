#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// Encapsulation of packets: GRE-in-UDP as in RFC 8086, with IPv4 inside and no optional GRE
/// fields, and the messages between balancers and agents.
namespace Tunnel {

using Bytes = std::span<const std::byte>;

constexpr std::size_t GreHeaderBytes = 4;

/// The GRE header before an IPv4 packet: no flags, version 0, protocol type 0x0800.
constexpr std::array<std::byte, GreHeaderBytes> GreHeader{std::byte{0}, std::byte{0},
                                                          std::byte{0x08}, std::byte{0}};

/// Returns the IPv4 packet inside \a datagram, or nothing if it doesn't begin with GreHeader or
/// contains no more than that. The result refers to \a datagram. Thread-safe.
std::optional<Bytes> unwrapGre(Bytes datagram);

} // namespace Tunnel
