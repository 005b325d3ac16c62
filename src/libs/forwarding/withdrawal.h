#pragma once

#include <chrono>
#include <cstdint>

namespace Forwarding {

/// Time in which routers detect that a balancer is not ready: two checks, half a second apart, and
/// a fifth of a second for packets in transit.
constexpr std::chrono::milliseconds MinWithdrawalTime{1200};

/// Time without a packet after which no router sends to the balancer any more: two reports of a
/// busy flow.
constexpr std::chrono::milliseconds QuietPeriod{300};

/// Longest time that a balancer keeps running: routers use balancers that are not ready while fewer
/// than half of those in a failure domain are ready. 1.5 s less than the shortest stop grace
/// period, 6 s.
constexpr std::chrono::milliseconds MaxWithdrawalTime{4500};

/// Decides when a balancer that was asked to stop may end: once no router sends packets to it. Not
/// thread-safe.
class Withdrawal
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Starts at \a now, when the balancer no longer reports that it is ready. \a received is the
    /// number of packets received so far.
    Withdrawal(TimePoint now, std::uint64_t received)
        : start_(now)
        , received_(received)
        , lastPacket_(now)
    {}

    /// Whether the balancer may end. \a received is the number of packets received so far.
    bool isComplete(TimePoint now, std::uint64_t received)
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
