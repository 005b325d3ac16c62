#include "store/backoff.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <random>

namespace Store {

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds max, std::uint64_t seed)
    : first_(first)
    , max_(max)
    , next_(first)
    , randomState_(seed)
{}

std::chrono::milliseconds Backoff::onFailure()
{
    pcg64 random(randomState_);
    randomState_ = random();
    std::uniform_int_distribution<std::int64_t> jitter(next_.count() / 2, next_.count());
    const std::chrono::milliseconds delay(jitter(random));
    next_ = std::min(max_, next_ * 2);
    return delay;
}

void Backoff::onSuccess()
{
    next_ = first_;
}

} // namespace Store
