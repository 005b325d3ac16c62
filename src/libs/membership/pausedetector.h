#pragma once

#include <chrono>

namespace Membership {

/// Longest pause after which a process may assume that its incarnation is still current.
constexpr std::chrono::seconds MaxTrustedPause{3};

/// Time after which the doubt ends without a confirmation: there may be no peer and no platform
/// that could confirm the incarnation.
constexpr std::chrono::seconds MaxDoubtTime{5};

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
    /// that was sent at \a asked. Answers to requests from before the pause are ignored.
    void onConfirmed(TimePoint asked);

    /// Whether this incarnation is unconfirmed after a pause. Nothing may then be started until
    /// onConfirmed(), or until MaxDoubtTime has passed.
    bool isInDoubt() const { return inDoubt_; }

private:
    TimePoint lastRun_;
    TimePoint doubtSince_;
    bool hasRun_ = false;
    bool inDoubt_ = false;
};

} // namespace Membership
