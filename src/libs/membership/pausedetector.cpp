#include "membership/pausedetector.h"

namespace Membership {

void PauseDetector::onRunning(TimePoint now)
{
    if (hasRun_ && now - lastRun_ > MaxTrustedPause) {
        inDoubt_ = true;
        doubtSince_ = now;
    }
    if (inDoubt_ && now - doubtSince_ >= MaxDoubtTime)
        inDoubt_ = false;
    hasRun_ = true;
    lastRun_ = now;
}

void PauseDetector::onConfirmed(TimePoint asked)
{
    if (asked >= doubtSince_)
        inDoubt_ = false;
}

} // namespace Membership
