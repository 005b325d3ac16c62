#include "agent/transferreplycache.h"

namespace Agent {

std::optional<TransferReply> TransferReplyCache::find(std::uint64_t id) const
{
    const auto known = replies_.find(id);
    if (known == replies_.end())
        return std::nullopt;
    return known->second;
}

void TransferReplyCache::add(TimePoint now, std::uint64_t id, TransferReply reply)
{
    replies_[id] = reply;
    order_.emplace_back(now, id);
}

void TransferReplyCache::expire(TimePoint now)
{
    while (!order_.empty() && now - order_.front().first > TransferReplyLifetime) {
        replies_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace Agent
