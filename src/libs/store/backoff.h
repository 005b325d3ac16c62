#pragma once

#include <chrono>
#include <cstdint>

namespace Store {

/// Waits between repeated calls: doubling, with jitter, so that many processes do not come back
/// to the platform at once. Not thread-safe.
class Backoff
{
public:
    /// \a seed differs between processes.
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds most, std::uint64_t seed);

    /// Returns the wait before the next call after a failure.
    std::chrono::milliseconds onFailure();

    /// Starts again from the first wait.
    void onSuccess();

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds most_;
    std::chrono::milliseconds next_;
    std::uint64_t state_;
};

} // namespace Store
