#include "control/announcementkeeper.h"

namespace Control {

static constexpr std::chrono::milliseconds FirstPause{100};
static constexpr std::chrono::milliseconds MaxPause{5000};

AnnouncementKeeper::AnnouncementKeeper(Model::Instance wanted, std::uint64_t seed)
    : wanted_(std::move(wanted))
    , backoff_(FirstPause, MaxPause, seed)
{}

void AnnouncementKeeper::want(Model::InstanceState state)
{
    wanted_.state = wanted_.drainAsked ? Model::InstanceState::Draining : state;
}

void AnnouncementKeeper::leave()
{
    leaving_ = true;
}

bool AnnouncementKeeper::isSettled() const
{
    if (leaving_)
        return removed_ || replaced_;
    return isKnown_ && announced_ == wanted_;
}

AnnouncementStep AnnouncementKeeper::next(TimePoint now) const
{
    if (now < notBefore_)
        return Rest{notBefore_};
    if (replaced_ || isSettled())
        return Rest{TimePoint::max()};
    if (!isKnown_)
        return ReadAnnouncement{};
    if (leaving_ && !announced_)
        return Rest{TimePoint::max()};
    if (leaving_)
        return RemoveAnnouncement{version_};
    Store::Precondition precondition = Store::IfAbsent{};
    if (announced_)
        precondition = Store::IfVersion{version_};
    return WriteAnnouncement{wanted_, precondition};
}

void AnnouncementKeeper::onSeen(Store::Version version,
                                const std::optional<Model::Instance> &announced)
{
    // A stale read, or a watch that reports this agent's own write.
    if (isKnown_ && version <= version_)
        return;
    isKnown_ = true;
    version_ = version;
    announced_ = announced;
    removed_ = leaving_ && !announced;
    if (!announced)
        return;
    if (announced->incarnation > wanted_.incarnation)
        replaced_ = true;
    if (announced->incarnation == wanted_.incarnation && announced->drainAsked) {
        wanted_.drainAsked = true;
        wanted_.state = Model::InstanceState::Draining;
    }
}

void AnnouncementKeeper::onWritten(Store::Version version,
                                   const std::optional<Model::Instance> &written)
{
    backoff_.onSuccess();
    version_ = version;
    isKnown_ = true;
    announced_ = written;
    removed_ = leaving_ && !written;
}

void AnnouncementKeeper::onFailed(TimePoint now, Store::FailureKind kind)
{
    if (kind == Store::FailureKind::NotFound) {
        // There is no announcement yet, or it is already deleted.
        isKnown_ = true;
        announced_.reset();
        removed_ = leaving_;
        return;
    }
    if (kind == Store::FailureKind::Conflict || kind == Store::FailureKind::OutcomeUnknown)
        isKnown_ = false;
    notBefore_ = now + backoff_.onFailure();
}

} // namespace Control
