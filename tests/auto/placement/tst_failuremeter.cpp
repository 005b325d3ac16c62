#include "placement/failuremeter.h"

#include "placement/agentselector.h"

#include "property.h"

using namespace Placement;
using namespace std::chrono_literals;

static const FailureMeter::TimePoint start = FailureMeter::TimePoint() + 100s;

TEST_GROUP(FailureMeter){};

TEST(FailureMeter, AFewFailuresInARowMakeAnOutlierAndASingleOneDoesNot)
{
    FailureMeter meter;
    for (int answer = 0; answer < 50; ++answer)
        meter.onAnswer(start, false);
    meter.onAnswer(start, true);
    CHECK_TRUE(meter.share(start) < OutlierFailureShare);
    for (int answer = 0; answer < 4; ++answer)
        meter.onAnswer(start, true);
    CHECK_TRUE(meter.share(start) >= OutlierFailureShare);
}

TEST(FailureMeter, AServerThatFailsHalfOfItsRequestsIsAnOutlier)
{
    FailureMeter meter;
    for (int answer = 0; answer < 40; ++answer)
        meter.onAnswer(start, answer % 2 == 0);
    CHECK_TRUE(meter.share(start) >= OutlierFailureShare);
}

TEST(FailureMeter, AServerWithoutAnswersIsTriedAgain)
{
    FailureMeter meter;
    for (int answer = 0; answer < 40; ++answer)
        meter.onAnswer(start, true);
    CHECK_TRUE(meter.share(start + 1s) > 0.9);
    CHECK_TRUE(meter.share(start + 4s) < OutlierFailureShare);
    CHECK_TRUE(meter.share(start + 60s) == 0);
}
