#include "store/backoff.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <random>

namespace Store {

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds most,
                 std::uint64_t seed)
    : first_(first)
    , most_(most)
    , next_(first)
    , state_(seed)
{}

std::chrono::milliseconds Backoff::onFailure()
{
    pcg64 random(state_);
    state_ = random();
    // Half of the wait is certain, half is spread.
    std::uniform_int_distribution<std::int64_t> spread(next_.count() / 2, next_.count());
    const std::chrono::milliseconds wait(spread(random));
    next_ = std::min(most_, next_ * 2);
    return wait;
}

void Backoff::onSuccess()
{
    next_ = first_;
}

} // namespace Store
