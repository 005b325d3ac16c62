#pragma once

namespace Requests {

/// Bounds retries to a share of the requests, so that they can't feed an overload.
/// Not thread-safe.
class RetryBudget
{
public:
    /// \a share retries are allowed per request, and at most \a reserve may be saved up.
    RetryBudget(double share, double reserve);

    /// Notes a first attempt.
    void onRequest();

    /// Returns whether a retry may be made now, and takes it from the budget.
    bool tryTakeRetry();

private:
    double share_;
    double reserve_;
    double tokens_;
};

} // namespace Requests
