#include "membership/pausedetector.h"

#include "property.h"

using namespace Membership;
using std::chrono::seconds;

TEST_GROUP(PauseDetector){};

TEST(PauseDetector, UnconfirmedAfterPauseUntilConfirmedByALaterRequest)
{
    PauseDetector detector;
    const PauseDetector::TimePoint start{std::chrono::hours(1)};
    detector.onRunning(start);
    detector.onRunning(start + MaxTrustedPause);
    CHECK_FALSE(detector.isUnconfirmed());
    const auto resumed = start + MaxTrustedPause + seconds(60);
    detector.onRunning(resumed);
    CHECK_TRUE(detector.isUnconfirmed());
    // An answer to a request from before the pause does not confirm the incarnation.
    detector.onConfirmed(start + MaxTrustedPause);
    CHECK_TRUE(detector.isUnconfirmed());
    detector.onConfirmed(resumed + seconds(1));
    CHECK_FALSE(detector.isUnconfirmed());
}

TEST(PauseDetector, UnconfirmedStateEndsAfterATimeLimit)
{
    PauseDetector detector;
    const PauseDetector::TimePoint start{std::chrono::hours(1)};
    detector.onRunning(start);
    auto now = start + seconds(60);
    detector.onRunning(now);
    CHECK_TRUE(detector.isUnconfirmed());
    for (const auto end = now + MaxUnconfirmedTime; now <= end; now += seconds(1))
        detector.onRunning(now);
    CHECK_FALSE(detector.isUnconfirmed());
}
