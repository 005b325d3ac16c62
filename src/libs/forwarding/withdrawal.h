#pragma once

#include <chrono>
#include <cstdint>

namespace Forwarding {

/// Time in which routers notice that a balancer is not ready: two checks, half a second apart, and
/// a fifth of a second for packets on their way.
constexpr std::chrono::milliseconds MinWithdrawalTime{1200};

/// Time without a packet after which no router sends here any more: two reports of a busy flow.
constexpr std::chrono::milliseconds QuietPeriod{300};

/// Longest time that a balancer goes on: routers keep using balancers that are not ready while
/// fewer than half of a failure domain's are. A second and a half below the shortest grace, 6 s.
constexpr std::chrono::milliseconds MaxWithdrawalTime{4500};

/// Decides when a balancer that is told to stop may end: once no router sends to it. Not
/// thread-safe.
class Withdrawal
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Begins at \a now, when readiness is off, with \a received packets so far.
    Withdrawal(TimePoint now, std::uint64_t received)
        : start_(now)
        , received_(received)
        , lastPacket_(now)
    {}

    /// Whether the balancer may end, with \a received packets so far.
    bool isOver(TimePoint now, std::uint64_t received)
    {
        if (received != received_) {
            received_ = received;
            lastPacket_ = now;
        }
        const bool isQuiet = now - start_ >= MinWithdrawalTime && now - lastPacket_ >= QuietPeriod;
        return isQuiet || now - start_ >= MaxWithdrawalTime;
    }

private:
    TimePoint start_;
    std::uint64_t received_;
    TimePoint lastPacket_;
};

} // namespace Forwarding
