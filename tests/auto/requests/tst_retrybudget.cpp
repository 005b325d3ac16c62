#include "requests/retrybudget.h"

#include "property.h"

using namespace Requests;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayWithinTheShare)
{
    checkProperty("retries stay within their share of the requests", [] {
        RetryBudget budget(0.1, 10.0);
        double requests = 0;
        double retries = 0;
        const auto steps = *rc::gen::container<std::vector<bool>>(200, rc::gen::arbitrary<bool>());
        for (const bool isRequest : steps) {
            ++generatedSteps;
            if (isRequest) {
                budget.onRequest();
                ++requests;
            } else {
                retries += budget.tryTakeRetry() ? 1 : 0;
            }
            RC_ASSERT(retries <= 10.0 + 0.1 * requests + 1e-6);
        }
    });
}
