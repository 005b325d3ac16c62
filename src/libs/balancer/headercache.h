#pragma once

#include "tunnel/datagram.h"

#include <cstdint>
#include <vector>

namespace Balancer {

/// Encoded headers of the chains that were used lately, so that most packets need no encoding.
///
/// Not thread-safe; the traffic thread owns it.
class HeaderCache
{
public:
    HeaderCache();

    /// Begins a batch: what encoded() returned for the last one may be overwritten.
    void beginBatch() { ++batch_; }

    /// Returns \a datagram encoded, valid until the next batch; null if its place is in use.
    /// Precondition: the content of \a datagram is a PacketHeader.
    const std::vector<std::byte> *encoded(const Tunnel::Datagram &datagram);

private:
    struct Entry
    {
        Tunnel::Datagram datagram;
        std::vector<std::byte> bytes;
        std::uint64_t batch = 0;
    };

    std::vector<Entry> entries_;
    std::uint64_t batch_ = 0;
};

} // namespace Balancer
