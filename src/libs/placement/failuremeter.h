#pragma once

#include <chrono>

namespace Placement {

/// Measures which share of its requests a backend server fails, whatever its health check says. Not
/// thread-safe.
class FailureMeter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Notes an answer; \a failed says that it reports an error of the server, or that the server
    /// reset the flow in place of it.
    void onAnswer(TimePoint now, bool failed);

    /// Forgets everything, since the backend server was replaced.
    void clear() { share_ = 0; }

    /// Returns the smoothed share of failed answers, 0 to 1.
    double share(TimePoint now);

private:
    double share_ = 0;
    TimePoint lastChange_;
};

} // namespace Placement
