#include "stack/tcpstack.h"

#include "property.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <thread>

using namespace Stack;

static constexpr std::uint32_t CallerAddress = 0x0a630001;
static constexpr std::uint32_t ServiceAddress = 0x0a280001;
static constexpr std::uint16_t PacketBytes = 1240;
static constexpr int MostRounds = 200'000;

namespace {

using Packet = std::vector<std::byte>;

/// One direction between two stacks.
class Link
{
public:
    void send(Tunnel::Bytes packet)
    {
        const std::lock_guard guard(mutex_);
        packets_.emplace_back(packet.begin(), packet.end());
    }

    void deliverTo(TcpStack &stack)
    {
        std::deque<Packet> packets;
        {
            const std::lock_guard guard(mutex_);
            packets.swap(packets_);
        }
        for (const Packet &packet : packets)
            stack.input(packet);
    }

private:
    std::mutex mutex_;
    std::deque<Packet> packets_;
};

struct Pair
{
    Link toService;
    Link toCaller;
    TcpStack caller{CallerAddress, PacketBytes,
                    [this](Tunnel::Bytes packet) { toService.send(packet); }, [] {}};
    TcpStack service{ServiceAddress, PacketBytes,
                     [this](Tunnel::Bytes packet) { toCaller.send(packet); }, [] {}};
    std::string callerReceived;
    std::string serviceReceived;
    bool isOpen = false;
    bool isBroken = false;

    void exchange()
    {
        toService.deliverTo(service);
        toCaller.deliverTo(caller);
        for (const Event &event : service.takeEvents()) {
            isOpen |= std::holds_alternative<Opened>(event);
            take(service, event, serviceReceived);
        }
        for (const Event &event : caller.takeEvents())
            take(caller, event, callerReceived);
        std::this_thread::yield();
    }

    void take(TcpStack &stack, const Event &event, std::string &received)
    {
        isBroken |= std::holds_alternative<Aborted>(event);
        if (const auto *bytes = std::get_if<Received>(&event)) {
            received += bytes->bytes;
            stack.consume(bytes->flow, bytes->bytes.size());
        }
    }

    template<typename F>
    bool exchangeUntil(F holds)
    {
        for (int round = 0; round < MostRounds && !holds(); ++round) {
            exchange();
            if (round % 100 == 99)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return holds();
    }
};

} // namespace

TEST_GROUP(TcpStack){};

TEST(TcpStack, FlowGoesOnThroughManyMoves)
{
    Pair pair;
    CHECK_TRUE(pair.service.listen(80));
    const auto flow = pair.caller.connect(10000, {ServiceAddress, 80});
    CHECK_TRUE(flow && pair.exchangeUntil([&] { return pair.isOpen; }));

    std::string sent;
    for (int move = 0; move < 10; ++move) {
        const std::string part(3000, char('a' + move));
        sent += part;
        CHECK_EQUAL(part.size(), pair.service.write(*flow, part));
        CHECK_EQUAL(part.size(), pair.caller.write(*flow, part));
        CHECK_TRUE(pair.exchangeUntil([&] {
            return pair.callerReceived == sent && pair.serviceReceived == sent
                   && pair.service.isFullyAcknowledged(*flow);
        }));
        const auto state = pair.service.exportFlow(*flow);
        CHECK_TRUE(state.has_value());
        CHECK_EQUAL(0u, pair.service.flowCount());
        CHECK_TRUE(pair.service.importFlow(*state));
    }
    CHECK_FALSE(pair.isBroken);
}

TEST(TcpStack, FlowWithBytesUnderWayIsNotExported)
{
    Pair pair;
    CHECK_TRUE(pair.service.listen(80));
    const auto flow = pair.caller.connect(10001, {ServiceAddress, 80});
    CHECK_TRUE(flow && pair.exchangeUntil([&] { return pair.isOpen; }));
    pair.service.write(*flow, "not acknowledged yet");
    CHECK_FALSE(pair.service.exportFlow(*flow).has_value());
    CHECK_EQUAL(1u, pair.service.flowCount());
}

TEST(TcpStack, AbandonedFlowSendsNoReset)
{
    Pair pair;
    CHECK_TRUE(pair.service.listen(80));
    const auto flow = pair.caller.connect(10002, {ServiceAddress, 80});
    CHECK_TRUE(flow && pair.exchangeUntil([&] { return pair.isOpen; }));
    pair.service.abandon(*flow);
    for (int round = 0; round < 100; ++round)
        pair.exchange();
    CHECK_FALSE(pair.isBroken);
}
