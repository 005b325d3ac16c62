#pragma once

#include "requests/httpmessage.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>

namespace Requests {

/// Requests with an Idempotency-Key that one agent remembers at most.
constexpr std::size_t MaxIdempotencyKeys = 4096;

/// How long a request with an Idempotency-Key is remembered.
constexpr std::chrono::minutes IdempotencyKeyLifetime{10};

/// Largest answer that is kept for repeats, in bytes.
constexpr std::size_t MaxCachedResponseBytes = 64 * 1024;

/// The key is new; the caller of begin() runs the request.
struct FirstRequest
{};

/// The first request under the key still runs, or its outcome is not known.
struct StillRunning
{};

/// The first request is over; \c answer is its whole answer.
struct AlreadyAnswered
{
    std::string answer;
};

/// The key was used for another request.
struct KeyReused
{};

/// No room to remember another key.
struct IdempotencyCacheFull
{};

using IdempotencyResult =
    std::variant<FirstRequest, StillRunning, AlreadyAnswered, KeyReused, IdempotencyCacheFull>;

/// Recognises repeats of a request under one Idempotency-Key on one agent.
///
/// Repeats that reach another agent are not recognised. Without clocks; not thread-safe.
class IdempotencyCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Notes that a request arrived under \a key; \a fingerprint tells its content.
    IdempotencyResult begin(TimePoint now, const std::string &key, std::uint64_t fingerprint);

    /// Keeps the whole answer to the first request under \a key.
    void finish(const std::string &key, std::string answer);

    /// Forgets \a key, since its request is certain not to have run.
    void forget(const std::string &key);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::uint64_t fingerprint = 0;
        bool isOver = false;
        std::string answer;
        TimePoint since;
    };

    void expire(TimePoint now);

    std::unordered_map<std::string, Entry> entries_;
    std::deque<std::pair<TimePoint, std::string>> order_;
};

/// Returns a value that differs for requests of different content. Thread-safe.
std::uint64_t requestFingerprint(const HttpRequest &request);

} // namespace Requests
