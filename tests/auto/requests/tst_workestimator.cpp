#include "requests/workestimator.h"

#include "property.h"

using namespace Requests;
using std::chrono::milliseconds;

TEST_GROUP(WorkEstimator){};

static HttpRequest post(const std::string &target, std::size_t bytes = 10)
{
    return {"POST", target, {}, std::string(bytes, 'x'), true};
}

TEST(WorkEstimator, ClassifiesByPathSizeAndEarlierRequests)
{
    WorkEstimator estimator({"/manifests"}, {"/feed"});
    CHECK_TRUE(estimator.classify(post("/manifests")) == WorkClass::Long);
    CHECK_TRUE(estimator.classify(post("/orders", 1 << 20)) == WorkClass::Long);
    CHECK_TRUE(estimator.classify(post("/orders")) == WorkClass::Short);
    CHECK_TRUE(estimator.classify({"GET", "/feed?x=1", {}, {}, true}) == WorkClass::Feed);

    for (int count = 0; count < 20; ++count) {
        estimator.addSample(post("/orders"), WorkClass::Short, milliseconds(20));
        estimator.addSample(post("/scans"), WorkClass::Long, milliseconds(1000));
    }
    CHECK_TRUE(estimator.classify(post("/scans/7")) == WorkClass::Long);
    CHECK_TRUE(estimator.classify(post("/orders")) == WorkClass::Short);
    CHECK_TRUE(estimator.expectedDuration(post("/orders"), WorkClass::Short) == milliseconds(20));
}
