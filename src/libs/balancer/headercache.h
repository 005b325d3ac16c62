#pragma once

#include "tunnel/datagram.h"

#include <cstdint>
#include <vector>

namespace Balancer {

/// Cache of encoded headers by chain, so that most packets need no encoding.
///
/// Not thread-safe; used by the traffic thread only.
class HeaderCache
{
public:
    HeaderCache();

    /// Begins a batch. Results of encoded() from the previous batch may be overwritten from now on.
    void beginBatch() { ++batch_; }

    /// Whether a datagram with \a header can be cached: only headers of packets that no agent has
    /// seen yet differ in nothing but the chain and the kind of packet.
    static bool canCache(const Tunnel::PacketHeader &header)
    {
        return header.passes == 0 && header.servicesAsked == 0;
    }

    /// Returns \a datagram encoded, valid until the next batch; null if its cache entry already
    /// holds another header of this batch.
    /// Precondition: the content of \a datagram is a PacketHeader for which canCache() holds.
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
