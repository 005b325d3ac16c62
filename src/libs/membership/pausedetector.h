#pragma once

#include <chrono>

namespace Membership {

/// Longest pause after which a process may still trust what it knew of itself.
constexpr std::chrono::seconds MaxTrustedPause{3};

/// Longest doubt without an answer: nobody may be there to ask.
constexpr std::chrono::seconds MaxDoubtTime{5};

/// Notices that the process was paused, so that it starts nothing before it knows again that no
/// other process took its name. Not thread-safe.
class PauseDetector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Notes that the process runs at \a now. Called often, and before anything is started.
    void onRunning(TimePoint now);

    /// Notes that a peer or the platform confirmed this incarnation by an answer to a question
    /// asked at \a asked.
    void onConfirmed(TimePoint asked);

    /// Whether nothing may be started until onConfirmed(), or until MaxDoubtTime has passed.
    bool isInDoubt() const { return inDoubt_; }

private:
    TimePoint lastRun_;
    TimePoint doubtSince_;
    bool hasRun_ = false;
    bool inDoubt_ = false;
};

} // namespace Membership
