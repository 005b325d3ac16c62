#pragma once

#include "store/backoff.h"
#include "store/objectclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace Control {

/// Time for which the platform holds a watch without changes before it responds.
constexpr std::chrono::seconds WatchTimeout{25};

/// Maximum pause between calls to a platform that is down.
constexpr std::chrono::milliseconds MaxPlatformBackoff{4000};

/// Step: list all objects of the platform.
struct ListPlatform
{};

/// Step: watch the platform for changes after the revision \c after.
struct WatchPlatform
{
    Store::Revision after;
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
/// failure it backs off, and requests a peer's snapshot before each pause. Performs no I/O and
/// reads no clock. Not thread-safe.
class WatchPolicy
{
public:
    /// \a peerCount is the number of peers to ask in turn while the platform is down. \a seed
    /// randomizes the pauses and the first peer.
    WatchPolicy(std::size_t peerCount, std::uint64_t seed);

    /// Returns the next step.
    WatchStep next();

    /// Records that the platform returned a listing as of \a revision.
    void onListed(Store::Revision revision);

    /// Records that a watch ended at \a revision, with or without changes. If \a revision is lower
    /// than the last one, the next step is a listing.
    void onWatched(Store::Revision revision);

    /// Records that a call to the platform failed.
    void onFailed(Store::FailureKind kind);

    /// Whether the last call to the platform succeeded.
    bool lastCallSucceeded() const { return state_ == State::Watching; }

private:
    enum class State { Listing, Watching, FetchingPeerSnapshot, Pausing };

    Store::Backoff backoff_;
    State state_ = State::Listing;
    State afterPause_ = State::Listing;
    Store::Revision revision_{};
    bool hasListed_ = false;
    std::size_t peerCount_;
    std::size_t nextPeer_;
    std::chrono::milliseconds pause_{0};
};

} // namespace Control
