#pragma once

#include "forwarding/packetcodec.h"
#include "tunnel/datagram.h"

#include <optional>
#include <vector>

namespace Forwarding {

/// Remembers under which header a packet was delivered, by the mark that comes back with it if the
/// backend server returns it. Holds the latest deliveries only. Not thread-safe.
class DeliveryMarks
{
public:
    /// \a capacity is a power of two.
    explicit DeliveryMarks(std::size_t capacity);

    /// Returns the mark for a delivery under \a header; never 0.
    DeliveryMark add(const Tunnel::PacketHeader &header);

    /// Returns the header of the delivery with \a mark, if it is still known.
    std::optional<Tunnel::PacketHeader> find(DeliveryMark mark) const;

private:
    struct Delivery
    {
        DeliveryMark mark{};
        Tunnel::PacketHeader header;
    };

    std::vector<Delivery> deliveries_;
    std::uint32_t next_;
};

} // namespace Forwarding
