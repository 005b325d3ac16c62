#pragma once

#include <chrono>

namespace Membership {

/// Longest pause after which a process may assume that its incarnation is still current.
constexpr std::chrono::seconds MaxTrustedPause{3};

/// Time after which the incarnation is taken as current without a confirmation: there may be no
/// peer and no platform that could confirm it.
constexpr std::chrono::seconds MaxUnconfirmedTime{5};

/// Detects that the process was paused. After a long pause another process may have taken over its
/// name, so nothing may be started until the incarnation is confirmed. Not thread-safe.
class PauseDetector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records that the process runs at \a now. To be called more often than MaxTrustedPause, and
    /// before anything is started.
    void onRunning(TimePoint now);

    /// Records that a peer or the platform confirmed this incarnation in an answer to a request
    /// that was sent at \a requestTime. Answers to requests from before the pause are ignored.
    void onConfirmed(TimePoint requestTime);

    /// Whether this incarnation is unconfirmed after a pause. Nothing may then be started until
    /// onConfirmed(), or until MaxUnconfirmedTime has passed.
    bool isUnconfirmed() const { return isUnconfirmed_; }

private:
    TimePoint lastRun_;
    TimePoint unconfirmedSince_;
    bool hasRun_ = false;
    bool isUnconfirmed_ = false;
};

} // namespace Membership
