#pragma once

#include <chrono>
#include <cstdint>

namespace Store {

/// Exponential backoff with jitter, so that many processes do not call the platform again at the
/// same time. Not thread-safe.
class Backoff
{
public:
    /// The upper limit of a delay is \a first after the first failure, and doubles up to \a max
    /// with each further one. \a seed should differ between processes.
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds max, std::uint64_t seed);

    /// Returns the delay before the next call after a failure: a random time between half of the
    /// upper limit and the limit.
    std::chrono::milliseconds onFailure();

    /// Resets the delay to the first one.
    void onSuccess();

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds max_;
    std::chrono::milliseconds next_;
    std::uint64_t randomState_;
};

} // namespace Store
