#pragma once

#include "agent/peerrpc.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Agent {

/// How long the reply to a transfer is kept. Must be longer than senders repeat a transfer.
constexpr std::chrono::minutes TransferReplyLifetime{2};

/// Stores the reply to each transfer, so that a repeat gets the same reply and has no other effect.
///
/// Refusals are stored too: a repeat that arrives late must not be taken after the sender has
/// resumed the flow. Uses no clock; not thread-safe.
class TransferReplyCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Returns the earlier reply to the transfer with \a id, if there is one.
    std::optional<TransferReply> find(std::uint64_t id) const;

    /// Stores the reply to the transfer with \a id. Precondition: find() returns nothing for \a id.
    void add(TimePoint now, std::uint64_t id, TransferReply reply);

    /// Removes replies older than TransferReplyLifetime.
    void expire(TimePoint now);

private:
    std::map<std::uint64_t, TransferReply> replies_;
    std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

} // namespace Agent
