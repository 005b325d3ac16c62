#include "control/watchpolicy.h"

namespace Control {

static constexpr std::chrono::milliseconds FirstPause{200};

WatchPolicy::WatchPolicy(std::size_t peerCount, std::uint64_t seed)
    : backoff_(FirstPause, MaxPlatformBackoff, seed)
    , peerCount_(peerCount)
    , nextPeer_(peerCount > 0 ? std::size_t(seed % peerCount) : 0)
{}

WatchStep WatchPolicy::next()
{
    switch (state_) {
    case State::Listing:
        return ListPlatform{};
    case State::Watching:
        return WatchPlatform{revision_};
    case State::FetchingPeerSnapshot:
        state_ = State::Pausing;
        return FetchPeerSnapshot{nextPeer_++ % peerCount_};
    case State::Pausing:
        state_ = afterPause_;
        return WaitFor{pause_};
    }
    return ListPlatform{};
}

void WatchPolicy::onListed(Store::Revision revision)
{
    revision_ = revision;
    hasListed_ = true;
    state_ = State::Watching;
    backoff_.onSuccess();
}

void WatchPolicy::onWatched(Store::Revision revision)
{
    // An older revision means that the platform lost the state in between. Later changes alone
    // would not show that, only a listing does.
    if (revision < revision_) {
        state_ = State::Listing;
        return;
    }
    revision_ = revision;
    state_ = State::Watching;
    backoff_.onSuccess();
}

void WatchPolicy::onFailed(Store::FailureKind kind)
{
    pause_ = backoff_.onFailure();
    const bool canResumeWatch = hasListed_ && kind != Store::FailureKind::TooOld;
    afterPause_ = canResumeWatch ? State::Watching : State::Listing;
    state_ = peerCount_ > 0 ? State::FetchingPeerSnapshot : State::Pausing;
}

} // namespace Control
