#pragma once

#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Forwarding {

/// Maximum number of SYNs that an agent holds. Suffices for a burst of 1,000 new flows per second
/// until their SYNs are retransmitted.
constexpr std::size_t MaxHeldSyns = 256;

/// Age up to which a held first SYN can still be served in time: half of the tightest latency
/// objective.
constexpr std::chrono::milliseconds TimelyHoldLimit{60};

/// Holds SYNs while every agent to which they were offered is full.
///
/// Covers load peaks and recoveries, in which more callers arrive than can be served at once: a
/// caller retransmits its SYN only after 200 ms, while a slot becomes free within a few
/// milliseconds. The newest SYN is accepted first: if more arrive than can be served, accepting the
/// oldest first would make all of them late. Of those that are late already, the newest is accepted
/// first too: its caller was active most recently, while the caller of an older one may have given
/// up, and a flow opened for it would leave a slot unused. Not thread-safe.
class HeldSynQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct HeldSyn
    {
        Tunnel::PacketHeader header;
        Tunnel::TcpPacket packet;
        TimePoint since;
        TimePoint until; ///< when the caller retransmits it or gives up
    };

    /// Whether \a packet is the first transmission of its SYN.
    static bool isFirstTransmission(const Tunnel::TcpPacket &packet)
    {
        return packet.acknowledgement == 0;
    }

    /// Holds \a packet, a SYN that arrived with \a header, in place of an earlier transmission of
    /// it. Returns false if the queue is full.
    bool hold(TimePoint now, const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet);

    /// Removes and returns the SYN to be accepted next: the newest one that can still be served in
    /// time, or else the newest of the others. Returns nothing if none is held.
    std::optional<HeldSyn> take(TimePoint now);

    /// Removes the SYNs that were held until their time limit, and returns their flows.
    std::vector<Model::FlowKey> expire(TimePoint now);

    std::size_t size() const { return fresh_.size() + late_.size(); }

private:
    std::deque<HeldSyn> fresh_; ///< first transmissions, oldest first
    std::deque<HeldSyn> late_;  ///< those that can't be served in time any more, oldest first
};

} // namespace Forwarding
