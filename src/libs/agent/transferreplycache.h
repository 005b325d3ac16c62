#pragma once

#include "agent/peerrpc.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Agent {

/// How long the reply to a transfer is remembered; longer than a sender repeats it.
constexpr std::chrono::minutes TransferReplyLifetime{2};

/// Remembers the reply to each transfer, so that a repeat has the same effect as the first.
///
/// A refusal is final too: a copy that arrives late must not be taken once the sender has gone on
/// with the flow. Without clocks; not thread-safe.
class TransferReplyCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Returns the reply that the transfer with \a id got before, if any.
    std::optional<TransferReply> find(std::uint64_t id) const;

    /// Notes the reply to the transfer with \a id. Precondition: find() knows none.
    void add(TimePoint now, std::uint64_t id, TransferReply reply);

    /// Forgets replies older than TransferReplyLifetime.
    void expire(TimePoint now);

private:
    std::map<std::uint64_t, TransferReply> replies_;
    std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

} // namespace Agent
