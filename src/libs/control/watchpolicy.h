#pragma once

#include "store/backoff.h"
#include "store/objectclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace Control {

/// Longest time for which the platform holds a watch without changes before it responds.
constexpr std::chrono::seconds WatchTimeout{25};

/// Returns how long a watch may wait for changes if the platform keeps them for \a history, or
/// unlimited if that is 0: other changes may age the position of the watch meanwhile, and it must
/// still be in the history when the watch ends, with a margin for the call. Thread-safe.
std::chrono::milliseconds watchTimeoutFor(std::chrono::milliseconds history);

/// Maximum time between the starts of two calls to a platform that is down. A configuration must be
/// in force 3 s after the platform is back.
constexpr std::chrono::milliseconds MaxPlatformBackoff{2000};

/// Step: list all objects of the platform.
struct ListPlatform
{};

/// Timeout of a watch after a failure, which only finds out what happened since the last response.
constexpr std::chrono::milliseconds ResumeTimeout{1};

/// Step: watch the platform for changes after the revision \c after, for at most \c wait.
struct WatchPlatform
{
    Store::Revision after;
    std::chrono::milliseconds wait;
};

/// Step: request the snapshot of the peer with the index \c peer.
struct FetchPeerSnapshot
{
    std::size_t peer;
};

/// Step: wait for \c duration before the next step.
struct WaitFor
{
    std::chrono::milliseconds duration;
};

using WatchStep = std::variant<ListPlatform, WatchPlatform, FetchPeerSnapshot, WaitFor>;

/// Decides which calls keep a process up to date with the platform: list once, then watch. After a
/// failure it backs off, and requests a peer's snapshot before each pause.
///
/// After each pause the first watch returns soon. The platform may have been restored meanwhile and
/// may have given out the last revision again, so that a long watch would wait for a change after
/// it and miss the earlier ones. The response tells the timeline.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class WatchPolicy
{
public:
    /// Time of the process's steady clock.
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a peerCount is the number of peers to ask in turn while the platform is down. \a seed
    /// randomizes the pauses and the first peer. While changes follow each other within
    /// \a coalescingDelay, each watch begins after a pause of that length, so that it reports
    /// several of them.
    /// Watches without changes end after \a watchTimeout.
    WatchPolicy(std::size_t peerCount, std::uint64_t seed,
                std::chrono::milliseconds coalescingDelay = {},
                std::chrono::milliseconds watchTimeout = WatchTimeout);

    /// Returns the next step.
    WatchStep next();

    /// Records that the platform returned a listing as of \a revision.
    void onListed(Store::Revision revision);

    /// Records that a watch ended at \a revision at the time \a now, and whether it reported
    /// changes. If \a revision is not on the timeline of the last one or is lower, the next step is
    /// a listing.
    void onWatched(TimePoint now, Store::Revision revision, bool hasChanges);

    /// Records that a call to the platform failed after \a duration.
    void onFailed(Store::FailureKind kind, std::chrono::milliseconds duration);

    /// Whether the last call to the platform succeeded.
    bool lastCallSucceeded() const { return lastCallSucceeded_; }

private:
    enum class State { Listing, Resuming, Watching, FetchingPeerSnapshot, Pausing };

    void pauseBefore(State next, std::chrono::milliseconds pause,
                     std::chrono::milliseconds resumeTimeout);

    Store::Backoff backoff_;
    State state_ = State::Listing;
    State afterPause_ = State::Listing;
    Store::Revision revision_{};
    bool hasListed_ = false;
    bool lastCallSucceeded_ = false;
    std::chrono::milliseconds coalescingDelay_;
    std::chrono::milliseconds watchTimeout_;
    std::optional<TimePoint> lastChange_;
    bool isSeries_ = false; ///< changes follow each other within the delay
    std::size_t peerCount_;
    std::size_t nextPeer_;
    std::chrono::milliseconds pause_{0};
    std::chrono::milliseconds resumeTimeout_{0}; ///< of the watch after a pause
};

} // namespace Control
