#pragma once

#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Forwarding {

/// SYNs that an agent holds at most: those of a swing of 1,000 new flows a second in the time until
/// their next copies.
constexpr std::size_t MaxHeldSyns = 256;

/// How long a held first copy may still be served in time: half of the tightest latency objective.
constexpr std::chrono::milliseconds TimelyHoldLimit{60};

/// Holds SYNs while every agent that they were offered to is full.
///
/// Answers swings and recoveries, in which more callers come than can be served at once: a caller
/// would send its SYN again only after 200 ms, while a slot is free in a few. The newest goes
/// first: when more come than can be served, serving the oldest first would make all of them late.
/// Of those that are late already the newest goes first too: its caller was there a moment ago,
/// while an older one may have given up, and a flow opened for it keeps a place empty. Not
/// thread-safe.
class HeldSynQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct HeldSyn
    {
        Tunnel::PacketHeader header;
        Tunnel::TcpPacket packet;
        TimePoint since;
        TimePoint until; ///< the caller sends its next copy, or gives the attempt up
    };

    /// Whether \a packet is the first copy of its SYN.
    static bool isFirstTransmission(const Tunnel::TcpPacket &packet) { return packet.acknowledgement == 0; }

    /// Holds \a packet in place of an earlier copy of it. Returns whether there was room.
    bool hold(TimePoint now, const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet);

    /// Returns the SYN to be accepted next: the newest one that may still be served in time, or
    /// else the newest of the others.
    std::optional<HeldSyn> take(TimePoint now);

    /// Returns the flows whose SYNs were held in vain; they are forgotten.
    std::vector<Model::FlowKey> expire(TimePoint now);

    std::size_t size() const { return fresh_.size() + late_.size(); }

private:
    std::deque<HeldSyn> fresh_; ///< first copies, oldest first
    std::deque<HeldSyn> late_;  ///< those that can't be served in time any more, oldest first
};

} // namespace Forwarding
