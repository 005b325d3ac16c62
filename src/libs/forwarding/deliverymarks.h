#pragma once

#include "forwarding/packetcodec.h"
#include "tunnel/datagram.h"

#include <optional>
#include <vector>

namespace Forwarding {

/// Remembers the headers of delivered packets by the mark that a backend server sends back with a
/// packet that it returns. Holds the latest deliveries only. Not thread-safe.
class DeliveryMarks
{
public:
    /// \a capacity is the number of deliveries that are remembered, a power of two.
    explicit DeliveryMarks(std::size_t capacity);

    /// Stores \a header of a delivery and returns its mark, which is never 0.
    DeliveryMark add(const Tunnel::PacketHeader &header);

    /// Returns the header of the delivery with \a mark, or nothing if it was overwritten.
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
