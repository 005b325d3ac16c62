#pragma once

#include "requests/httpmessage.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>

namespace Requests {

/// Maximum number of Idempotency-Keys that one agent stores.
constexpr std::size_t MaxIdempotencyKeys = 4096;

/// How long an Idempotency-Key is stored.
constexpr std::chrono::minutes IdempotencyKeyLifetime{10};

/// Largest response that is stored for repeats, in bytes.
constexpr std::size_t MaxCachedResponseBytes = 64 * 1024;

/// The key is new; the caller of begin() runs the request.
struct FirstRequest
{};

/// The first request with the key is still running, its outcome is unknown, or its response was too
/// large to store.
struct StillRunning
{};

/// The first request has completed; \c response is its complete response.
struct AlreadyAnswered
{
    std::string response;
};

/// The key was used for a request with other content.
struct KeyReused
{};

/// The key is new, but MaxIdempotencyKeys keys are stored already.
struct IdempotencyCacheFull
{};

using IdempotencyResult =
    std::variant<FirstRequest, StillRunning, AlreadyAnswered, KeyReused, IdempotencyCacheFull>;

/// Recognizes repeats of a request by their Idempotency-Key, on one agent.
///
/// Repeats that reach another agent are not recognized. Uses no clock; not thread-safe.
class IdempotencyCache
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Looks up \a key, and stores it if it is new. \a fingerprint identifies the content of the
    /// request; see requestFingerprint().
    IdempotencyResult begin(TimePoint now, const std::string &key, std::uint64_t fingerprint);

    /// Stores the complete response to the first request with \a key, unless it is larger than
    /// MaxCachedResponseBytes.
    void finish(const std::string &key, std::string response);

    /// Removes \a key, as its request certainly did not run.
    void remove(const std::string &key);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::uint64_t fingerprint = 0;
        bool isOver = false;
        std::string response;
        TimePoint since;
    };

    void expire(TimePoint now);

    std::unordered_map<std::string, Entry> entries_;
    std::deque<std::pair<TimePoint, std::string>> order_;
};

/// Returns a hash of the method, target and body of \a request. Thread-safe.
std::uint64_t requestFingerprint(const HttpRequest &request);

} // namespace Requests
