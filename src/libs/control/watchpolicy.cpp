#include "control/watchpolicy.h"

#include <algorithm>

namespace Control {

static constexpr std::chrono::milliseconds FirstPause{200};
static constexpr std::chrono::milliseconds MinPause{100};

/// Whether a call that failed for \a kind got a response that shows that the platform works.
static bool isAnswered(Store::FailureKind kind)
{
    return kind == Store::FailureKind::TooOld || kind == Store::FailureKind::OtherTimeline;
}

std::chrono::milliseconds watchTimeoutFor(std::chrono::milliseconds history)
{
    if (history.count() == 0)
        return WatchTimeout;
    return std::min<std::chrono::milliseconds>(WatchTimeout, history / 2);
}

WatchPolicy::WatchPolicy(std::size_t peerCount, std::uint64_t seed,
                         std::chrono::milliseconds coalescingDelay,
                         std::chrono::milliseconds watchTimeout)
    : backoff_(FirstPause, MaxPlatformBackoff, seed)
    , coalescingDelay_(coalescingDelay)
    , watchTimeout_(watchTimeout)
    , peerCount_(peerCount)
    , nextPeer_(peerCount > 0 ? std::size_t(seed % peerCount) : 0)
{}

WatchStep WatchPolicy::next()
{
    switch (state_) {
    case State::Listing:
        return ListPlatform{};
    case State::Resuming:
        return WatchPlatform{revision_, resumeTimeout_};
    case State::Watching:
        return WatchPlatform{revision_, watchTimeout_};
    case State::FetchingPeerSnapshot:
        state_ = State::Pausing;
        return FetchPeerSnapshot{nextPeer_++ % peerCount_};
    case State::Pausing:
        state_ = afterPause_;
        return WaitFor{pause_};
    }
    return ListPlatform{};
}

void WatchPolicy::pauseBefore(State next, std::chrono::milliseconds pause,
                              std::chrono::milliseconds resumeTimeout)
{
    state_ = State::Pausing;
    afterPause_ = next;
    pause_ = pause;
    resumeTimeout_ = resumeTimeout;
}

void WatchPolicy::onListed(Store::Revision revision)
{
    revision_ = revision;
    hasListed_ = true;
    lastCallSucceeded_ = true;
    state_ = State::Watching;
    backoff_.onSuccess();
}

void WatchPolicy::onWatched(TimePoint now, Store::Revision revision, bool hasChanges)
{
    lastCallSucceeded_ = true;
    // An older revision means that the platform lost the state in between. Later changes alone
    // would not show that, only a listing does.
    if (revision.timeline() != revision_.timeline() || revision < revision_) {
        state_ = State::Listing;
        return;
    }
    revision_ = revision;
    state_ = State::Watching;
    backoff_.onSuccess();
    // After a pause, changes are reported up to twice the delay apart.
    const auto maxGap = isSeries_ ? 2 * coalescingDelay_ : coalescingDelay_;
    isSeries_ = hasChanges && lastChange_ && now - *lastChange_ <= maxGap;
    if (hasChanges)
        lastChange_ = now;
    if (isSeries_)
        pauseBefore(State::Resuming, coalescingDelay_, coalescingDelay_);
}

void WatchPolicy::onFailed(Store::FailureKind kind, std::chrono::milliseconds duration)
{
    lastCallSucceeded_ = false;
    if (isAnswered(kind)) {
        backoff_.onSuccess();
        duration = {};
    }
    const bool mustList = !hasListed_ || isAnswered(kind);
    pauseBefore(mustList ? State::Listing : State::Resuming,
                std::max(MinPause, backoff_.onFailure() - duration), ResumeTimeout);
    if (peerCount_ > 0)
        state_ = State::FetchingPeerSnapshot;
}

} // namespace Control
