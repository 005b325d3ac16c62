#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Observability {

/// Maximum number of decision lines per second. It is above the number of flows per second that a
/// standard instance places.
constexpr std::uint32_t MaxDecisionLinesPerSecond = 200;

/// Maximum number of decision lines per second with the same event, so that a storm of one event
/// leaves room for all others.
constexpr std::uint32_t MaxLinesPerEvent = MaxDecisionLinesPerSecond / 2;

/// Limits the rate of decision lines and counts the omitted ones by event. Reads no clock; not
/// thread-safe.
class DecisionLineBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Lines of one event that were omitted within a second.
    struct Omission
    {
        std::string event;
        std::uint32_t count = 0;
    };

    /// Returns whether a line with \a event may be written at \a now. Counts it as omitted if not.
    bool tryAcquire(TimePoint now, std::string_view event);

    /// Returns the omissions of the seconds that ended before \a now, and clears them.
    std::vector<Omission> takeOmissions(TimePoint now);

private:
    struct Count
    {
        std::uint32_t written = 0;
        std::uint32_t omitted = 0;
    };

    void endSecond(TimePoint now);

    TimePoint since_;
    std::uint32_t written_ = 0;
    std::map<std::string, Count, std::less<>> counts_; ///< in the current second, by event
    std::vector<Omission> omissions_;                  ///< of earlier seconds
};

} // namespace Observability
