#include "balancer/headercache.h"

#include "property.h"

using namespace Balancer;

static Tunnel::Datagram datagramOf(std::uint64_t instance, std::uint64_t incarnation,
                                   std::uint64_t generation, bool opensFlow)
{
    Tunnel::PacketHeader header;
    header.chain.append({Model::InstanceId(instance),
                         Model::Incarnation(incarnation),
                         {0x7f000001, std::uint16_t(1000 + instance % 50)}});
    header.opensFlow = opensFlow;
    return {Model::ServiceId(instance % 3), Model::Generation(generation), header};
}

TEST_GROUP(HeaderCache){};

TEST(HeaderCache, CachedHeaderEqualsTheEncodedDatagram)
{
    checkProperty("a cached header equals the encoded datagram until the end of its batch", [] {
        HeaderCache cache;
        for (int batch = 0; batch < 4; ++batch) {
            cache.beginBatch();
            std::vector<std::pair<const std::vector<std::byte> *, std::vector<std::byte>>> used;
            const auto count = *rc::gen::inRange(1, 8);
            for (int packet = 0; packet < count; ++packet) {
                ++generatedSteps;
                const auto datagram =
                    datagramOf(*rc::gen::inRange<std::uint64_t>(1, 20'000),
                               *rc::gen::inRange<std::uint64_t>(1, 3),
                               *rc::gen::inRange<std::uint64_t>(1, 3), *rc::gen::arbitrary<bool>());
                if (const auto *bytes = cache.encoded(datagram))
                    used.emplace_back(bytes, Tunnel::encodeDatagram(datagram));
            }
            for (const auto &[bytes, expected] : used)
                RC_ASSERT(*bytes == expected);
        }
    });
}

TEST(HeaderCache, EntryUsedInThisBatchIsNotOverwritten)
{
    HeaderCache cache;
    cache.beginBatch();
    const auto first = datagramOf(1, 1, 1, false);
    const auto *const bytes = cache.encoded(first);
    // The same cache entry, but another incarnation.
    POINTERS_EQUAL(nullptr, cache.encoded(datagramOf(1, 2, 1, false)));
    CHECK_TRUE(*bytes == Tunnel::encodeDatagram(first));
    cache.beginBatch();
    const auto next = datagramOf(1, 2, 1, false);
    CHECK_TRUE(*cache.encoded(next) == Tunnel::encodeDatagram(next));
}
