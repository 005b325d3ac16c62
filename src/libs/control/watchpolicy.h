#pragma once

#include "store/backoff.h"
#include "store/objectclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace Control {

/// How long one watch waits on the platform.
constexpr std::chrono::seconds WatchTimeout{25};

/// How long a platform that is down may stay unasked.
constexpr std::chrono::milliseconds MaxPlatformBackoff{4000};

/// List everything on the platform.
struct ListPlatform
{};

/// Watch the platform for changes after \c after.
struct WatchPlatform
{
    Store::Revision after;
};

/// Ask the peer with this index for its snapshot.
struct FetchPeerSnapshot
{
    std::size_t peer;
};

/// Wait before the next step.
struct WaitFor
{
    std::chrono::milliseconds wait;
};

using WatchStep = std::variant<ListPlatform, WatchPlatform, FetchPeerSnapshot, WaitFor>;

/// Decides how a process keeps up with the platform: list once, then watch; after failures back
/// off, and ask peers in between. Without sockets, threads or clocks; not thread-safe.
class WatchPolicy
{
public:
    /// \a peerCount peers may be asked while the platform is down; \a seed spreads the pauses.
    WatchPolicy(std::size_t peerCount, std::uint64_t seed);

    /// Returns what to do next.
    WatchStep next();

    /// Notes that a listing of the platform arrived.
    void onListed(Store::Revision revision);

    /// Notes that a watch ended, with or without changes.
    void onWatched(Store::Revision revision);

    /// Notes that a call of the platform failed.
    void onFailed(Store::FailureKind kind);

    /// Whether the last call of the platform succeeded.
    bool lastCallSucceeded() const { return state_ == State::Watching; }

private:
    enum class State { Listing, Watching, AskingPeer, Pausing };

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
