#include "balancer/headercache.h"

#include <algorithm>

namespace Balancer {

static constexpr std::size_t EntryCount = 8192;

/// Returns whether both are encoded to the same bytes. The fields that aren't compared don't
/// differ: packets leave a balancer with position 0 and passes 0, its own address as origin, and
/// with originContinues unless they open a flow.
static bool haveSameEncoding(const Tunnel::Datagram &left, const Tunnel::Datagram &right)
{
    const auto &leftHeader = std::get<Tunnel::PacketHeader>(left.content);
    const auto &rightHeader = std::get<Tunnel::PacketHeader>(right.content);
    return left.service == right.service && left.generation == right.generation
           && leftHeader.opensFlow == rightHeader.opensFlow
           && std::equal(leftHeader.chain.begin(), leftHeader.chain.end(),
                         rightHeader.chain.begin(), rightHeader.chain.end());
}

static std::size_t entryIndexOf(const Tunnel::Datagram &datagram)
{
    const auto &header = std::get<Tunnel::PacketHeader>(datagram.content);
    std::uint64_t hash = std::uint64_t(datagram.service) + (header.opensFlow ? 1 : 0);
    for (const Routing::Hop &hop : header.chain)
        hash = (hash ^ std::uint64_t(hop.instance)) * 0x9e3779b97f4a7c15ULL;
    return (hash >> 32) % EntryCount;
}

HeaderCache::HeaderCache()
    : entries_(EntryCount)
{}

const std::vector<std::byte> *HeaderCache::encoded(const Tunnel::Datagram &datagram)
{
    Entry &entry = entries_[entryIndexOf(datagram)];
    const bool isCached = !entry.bytes.empty() && haveSameEncoding(entry.datagram, datagram);
    if (!isCached) {
        if (entry.batch == batch_)
            return nullptr;
        entry.datagram = datagram;
        Tunnel::encodeDatagram(datagram, entry.bytes);
    }
    entry.batch = batch_;
    return &entry.bytes;
}

} // namespace Balancer
