#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace Placement {

/// Window in which the new flows of a server are counted.
constexpr std::chrono::seconds WarmUpWindow{1};

/// Limits the new flows of a backend server that warms up after its start.
///
/// Answers the return of a failure domain, when all its servers are cold at once and new flows
/// would be offered to them for their free slots. In any span of WarmUpWindow, a server gets at
/// most as many flows as it bears in that time. Uses no clocks; not thread-safe.
class WarmUpLimiter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Sets the flows per second that the server bears while it warms up; 0: unlimited.
    void setRate(double rate) { rate_ = rate; }

    bool hasRate() const { return rate_ > 0; }

    /// Sets that the server is warm at \a end.
    void setWarmUpEnd(TimePoint end) { warmUpEnd_ = end; }

    /// Sets that flows may have been started at any time before \a now without being recorded.
    void onUnknownStarts(TimePoint now) { unknownUntil_ = now; }

    /// Records that a flow was started.
    void onStarted(TimePoint now);

    /// Returns how long to wait before the next flow may be started; 0 if it may start now.
    std::chrono::milliseconds delay(TimePoint now);

    /// Whether the server warms up at \a now, whatever the rate.
    bool isWarmingUp(TimePoint now) const { return now < warmUpEnd_; }

private:
    std::size_t maxStarts() const;

    double rate_ = 0;
    TimePoint warmUpEnd_ = TimePoint::min();
    std::optional<TimePoint> unknownUntil_;
    std::deque<TimePoint> starts_; ///< in the latest window, oldest first
};

} // namespace Placement
