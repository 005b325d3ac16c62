#pragma once

#include <chrono>

namespace Placement {

/// Measures the share of requests that a backend server fails, independently of its health check.
/// Not thread-safe.
class FailureMeter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records a response. \a failed is whether it reports an error of the server, or the server
    /// reset the flow instead of answering.
    void onAnswer(TimePoint now, bool failed);

    /// Resets the share. Called when the backend server was replaced.
    void clear() { share_ = 0; }

    /// Returns the smoothed share of failed responses, 0 to 1.
    double share(TimePoint now);

private:
    double share_ = 0;
    TimePoint lastChange_;
};

} // namespace Placement
