#include "forwarding/heldsynqueue.h"

#include <algorithm>

namespace Forwarding {

/// How long each transmission of a SYN is held: the time to the next one, or until the caller gives
/// up, which is 200, 400 and 800 ms, less the time that the answer needs.
static constexpr std::chrono::milliseconds HoldTimes[] = {
    std::chrono::milliseconds(190), std::chrono::milliseconds(380), std::chrono::milliseconds(700)};

static std::chrono::milliseconds holdTime(std::uint32_t transmission)
{
    return HoldTimes[std::min<std::size_t>(transmission, std::size(HoldTimes) - 1)];
}

bool HeldSynQueue::hold(TimePoint now, const Tunnel::PacketHeader &header,
                        const Tunnel::TcpPacket &packet)
{
    const auto isSameFlow = [&packet](const HeldSyn &held) {
        return held.packet.flow == packet.flow;
    };
    std::erase_if(fresh_, isSameFlow);
    std::erase_if(late_, isSameFlow);
    if (size() >= MaxHeldSyns)
        return false;
    auto &queue = isFirstTransmission(packet) ? fresh_ : late_;
    queue.push_back({header, packet, now, now + holdTime(packet.acknowledgement)});
    return true;
}

std::optional<HeldSynQueue::HeldSyn> HeldSynQueue::take(TimePoint now)
{
    while (!fresh_.empty() && now - fresh_.front().since > TimelyHoldLimit) {
        late_.push_back(fresh_.front());
        fresh_.pop_front();
    }
    if (!fresh_.empty()) {
        const HeldSyn held = fresh_.back();
        fresh_.pop_back();
        return held;
    }
    if (late_.empty())
        return std::nullopt;
    const HeldSyn held = late_.back();
    late_.pop_back();
    return held;
}

std::vector<Model::FlowKey> HeldSynQueue::expire(TimePoint now)
{
    std::vector<Model::FlowKey> expired;
    for (auto *queue : {&fresh_, &late_}) {
        for (const HeldSyn &held : *queue) {
            if (now >= held.until)
                expired.push_back(held.packet.flow);
        }
        std::erase_if(*queue, [now](const HeldSyn &held) { return now >= held.until; });
    }
    return expired;
}

} // namespace Forwarding
