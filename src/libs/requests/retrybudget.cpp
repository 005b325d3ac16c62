#include "requests/retrybudget.h"

#include <algorithm>

namespace Requests {

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share)
    , reserve_(reserve)
    , tokens_(reserve)
{}

void RetryBudget::onRequest()
{
    tokens_ = std::min(reserve_, tokens_ + share_);
}

bool RetryBudget::tryTakeRetry()
{
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace Requests
