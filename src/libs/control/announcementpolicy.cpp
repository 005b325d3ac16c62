#include "control/announcementpolicy.h"

namespace Control {

static constexpr std::chrono::milliseconds FirstPause{100};
static constexpr std::chrono::milliseconds LongestPause{5000};

AnnouncementPolicy::AnnouncementPolicy(Model::Instance wanted, std::uint64_t seed)
    : wanted_(std::move(wanted))
    , backoff_(FirstPause, LongestPause, seed)
{}

void AnnouncementPolicy::setWantedState(Model::InstanceState state)
{
    wanted_.state = wanted_.drainRequested ? Model::InstanceState::Draining : state;
}

void AnnouncementPolicy::leave()
{
    leaving_ = true;
}

bool AnnouncementPolicy::isUpToDate() const
{
    if (leaving_)
        return left_ || replaced_;
    return isKnown_ && announced_ == wanted_;
}

AnnouncementStep AnnouncementPolicy::next(TimePoint now) const
{
    if (now < notBefore_)
        return WaitUntil{notBefore_};
    if (replaced_ || isUpToDate())
        return WaitUntil{TimePoint::max()};
    if (!isKnown_)
        return ReadAnnouncement{};
    if (leaving_ && !announced_)
        return WaitUntil{TimePoint::max()};
    if (leaving_)
        return RemoveAnnouncement{version_};
    Store::Precondition precondition = Store::IfAbsent{};
    if (announced_)
        precondition = Store::IfVersion{version_};
    return WriteAnnouncement{wanted_, precondition};
}

void AnnouncementPolicy::onObserved(Store::Version version,
                                const std::optional<Model::Instance> &announced)
{
    // A stale read, or a watch that reports what this agent wrote itself.
    if (isKnown_ && version <= version_)
        return;
    isKnown_ = true;
    version_ = version;
    announced_ = announced;
    left_ = leaving_ && !announced;
    if (!announced)
        return;
    if (announced->incarnation > wanted_.incarnation)
        replaced_ = true;
    if (announced->incarnation == wanted_.incarnation && announced->drainRequested) {
        wanted_.drainRequested = true;
        wanted_.state = Model::InstanceState::Draining;
    }
}

void AnnouncementPolicy::onWritten(Store::Version version,
                                   const std::optional<Model::Instance> &written)
{
    backoff_.onSuccess();
    version_ = version;
    isKnown_ = true;
    announced_ = written;
    left_ = leaving_ && !written;
}

void AnnouncementPolicy::onFailed(TimePoint now, Store::FailureKind kind)
{
    if (kind == Store::FailureKind::NotFound) {
        // No announcement yet, or it is deleted already.
        isKnown_ = true;
        announced_.reset();
        left_ = leaving_;
        return;
    }
    if (kind == Store::FailureKind::Conflict || kind == Store::FailureKind::OutcomeUnknown)
        isKnown_ = false;
    notBefore_ = now + backoff_.onFailure();
}

} // namespace Control
