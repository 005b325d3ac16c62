#pragma once

namespace Requests {

/// Limits retries to a share of the requests, so that they can't amplify an overload.
/// Not thread-safe.
class RetryBudget
{
public:
    /// Each request adds \a share retries to the budget, which holds at most \a reserve retries and
    /// starts full.
    RetryBudget(double share, double reserve);

    /// Records the first attempt of a request.
    void onRequest();

    /// Returns whether a retry is allowed now; if so, takes it from the budget.
    bool tryTakeRetry();

private:
    double share_;
    double reserve_;
    double tokens_;
};

} // namespace Requests
