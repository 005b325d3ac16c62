#include "forwarding/deliverymarks.h"

#include <random>

namespace Forwarding {

/// Returns a random number, so that marks of an earlier process at this address are not found.
static std::uint32_t firstMark()
{
    return std::random_device()();
}

DeliveryMarks::DeliveryMarks(std::size_t capacity)
    : deliveries_(capacity)
    , next_(firstMark())
{}

DeliveryMark DeliveryMarks::add(const Tunnel::PacketHeader &header)
{
    if (++next_ == 0)
        ++next_;
    const DeliveryMark mark{next_};
    deliveries_[next_ % deliveries_.size()] = {mark, header};
    return mark;
}

std::optional<Tunnel::PacketHeader> DeliveryMarks::find(DeliveryMark mark) const
{
    const Delivery &delivery = deliveries_[std::uint32_t(mark) % deliveries_.size()];
    if (mark == DeliveryMark{} || delivery.mark != mark)
        return std::nullopt;
    return delivery.header;
}

} // namespace Forwarding
