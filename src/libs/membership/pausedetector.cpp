#include "membership/pausedetector.h"

namespace Membership {

void PauseDetector::onRunning(TimePoint now)
{
    if (hasRun_ && now - lastRun_ > MaxTrustedPause) {
        isUnconfirmed_ = true;
        unconfirmedSince_ = now;
    }
    if (isUnconfirmed_ && now - unconfirmedSince_ >= MaxUnconfirmedTime)
        isUnconfirmed_ = false;
    hasRun_ = true;
    lastRun_ = now;
}

void PauseDetector::onConfirmed(TimePoint requestTime)
{
    if (requestTime >= unconfirmedSince_)
        isUnconfirmed_ = false;
}

} // namespace Membership
