#include "observability/logcorrelation.h"

#include "property.h"

using Observability::correlatedLines;

static const std::vector<std::string> logs{
    "2026-07-01T18:39:50.300Z info request-delivered request=ab12 flow=1.2.3.4:5>6.7.8.9:80 n=1",
    "2026-07-01T18:39:50.200Z info flow-accepted flow=1.2.3.4:5>6.7.8.9:80 passes=0",
    "34.1 front-1 2026-07-01T18:39:50.100Z info flow-offered flow=1.2.3.4:5>6.7.8.9:80 copy=0",
    "2026-07-01T18:39:50.250Z info flow-accepted flow=1.2.3.4:6>6.7.8.9:80 passes=0",
    "2026-07-01T18:39:50.400Z info request-delivered request=cd34 flow=1.2.3.4:6>6.7.8.9:80 n=1",
};

TEST_GROUP(LogCorrelation){};

TEST(LogCorrelation, RequestIdReturnsTheLinesOfItsFlowByTime)
{
    const auto lines = correlatedLines("ab12", logs);
    LONGS_EQUAL(3, lines.size());
    CHECK_TRUE(lines[0].find("flow-offered") != std::string::npos);
    CHECK_TRUE(lines[1].find("flow-accepted") != std::string::npos);
    CHECK_TRUE(lines[2].find("request=ab12") != std::string::npos);
}

TEST(LogCorrelation, FlowIdReturnsOnlyTheLinesOfThatFlow)
{
    LONGS_EQUAL(2, correlatedLines("1.2.3.4:6>6.7.8.9:80", logs).size());
    LONGS_EQUAL(0, correlatedLines("ef56", logs).size());
}
