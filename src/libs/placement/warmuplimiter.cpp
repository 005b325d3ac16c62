#include "placement/warmuplimiter.h"

#include <algorithm>

namespace Placement {

/// Returns the number of flows that may be started in one window. A rate below one per window still
/// allows one, or the server would never get warm under load.
std::size_t WarmUpLimiter::maxStarts() const
{
    const auto seconds = std::chrono::duration<double>(WarmUpWindow).count();
    return std::max<std::size_t>(1, std::size_t(rate_ * seconds));
}

void WarmUpLimiter::onStarted(TimePoint now)
{
    if (!hasRate())
        return;
    starts_.push_back(now);
    while (now - starts_.front() >= WarmUpWindow)
        starts_.pop_front();
}

std::chrono::milliseconds WarmUpLimiter::delay(TimePoint now)
{
    using std::chrono::milliseconds;
    if (!hasRate() || !isWarmingUp(now))
        return milliseconds(0);
    TimePoint earliest = now;
    if (unknownUntil_)
        earliest = std::max(earliest, *unknownUntil_ + WarmUpWindow);
    while (!starts_.empty() && now - starts_.front() >= WarmUpWindow)
        starts_.pop_front();
    if (const std::size_t allowed = maxStarts(); starts_.size() >= allowed)
        earliest = std::max(earliest, starts_[starts_.size() - allowed] + WarmUpWindow);
    return std::chrono::ceil<milliseconds>(std::min(earliest, warmUpEnd_) - now);
}

} // namespace Placement
