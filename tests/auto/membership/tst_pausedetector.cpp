#include "membership/pausedetector.h"

#include "property.h"

using namespace Membership;
using std::chrono::seconds;

TEST_GROUP(PauseDetector){};

TEST(PauseDetector, InDoubtAfterPauseUntilConfirmedByALaterRequest)
{
    PauseDetector detector;
    const PauseDetector::TimePoint start{std::chrono::hours(1)};
    detector.onRunning(start);
    detector.onRunning(start + MaxTrustedPause);
    CHECK_FALSE(detector.isInDoubt());
    const auto resumed = start + MaxTrustedPause + seconds(60);
    detector.onRunning(resumed);
    CHECK_TRUE(detector.isInDoubt());
    // An answer to a request from before the pause does not confirm the incarnation.
    detector.onConfirmed(start + MaxTrustedPause);
    CHECK_TRUE(detector.isInDoubt());
    detector.onConfirmed(resumed + seconds(1));
    CHECK_FALSE(detector.isInDoubt());
}

TEST(PauseDetector, DoubtEndsAfterATimeLimitWithoutConfirmation)
{
    PauseDetector detector;
    const PauseDetector::TimePoint start{std::chrono::hours(1)};
    detector.onRunning(start);
    auto now = start + seconds(60);
    detector.onRunning(now);
    CHECK_TRUE(detector.isInDoubt());
    for (const auto end = now + MaxDoubtTime; now <= end; now += seconds(1))
        detector.onRunning(now);
    CHECK_FALSE(detector.isInDoubt());
}
