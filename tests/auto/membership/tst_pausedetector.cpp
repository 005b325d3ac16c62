#include "membership/pausedetector.h"

#include "property.h"

using namespace Membership;
using std::chrono::seconds;

TEST_GROUP(PauseDetector){};

TEST(PauseDetector, DoubtsAfterPauseUntilConfirmedSince)
{
    PauseDetector detector;
    const PauseDetector::TimePoint start{std::chrono::hours(1)};
    detector.onRunning(start);
    detector.onRunning(start + MaxTrustedPause);
    CHECK_FALSE(detector.isInDoubt());
    const auto woken = start + MaxTrustedPause + seconds(60);
    detector.onRunning(woken);
    CHECK_TRUE(detector.isInDoubt());
    // An answer to a question from before the pause proves nothing.
    detector.onConfirmed(start + MaxTrustedPause);
    CHECK_TRUE(detector.isInDoubt());
    detector.onConfirmed(woken + seconds(1));
    CHECK_FALSE(detector.isInDoubt());
}

TEST(PauseDetector, DoubtEndsWithoutAnyoneToAsk)
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
