#include "control/announcementpolicy.h"

#include <algorithm>

namespace Control {

static constexpr std::chrono::milliseconds FirstPause{100};
static constexpr std::chrono::milliseconds MaxPause{5000};

AnnouncementPolicy::AnnouncementPolicy(Model::Instance wanted, std::uint64_t seed)
    : wanted_(std::move(wanted))
    , backoff_(FirstPause, MaxPause, seed)
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
        return removed_ || replaced_;
    return isObserved_ && announced_ == wanted_;
}

AnnouncementStep AnnouncementPolicy::next(TimePoint now) const
{
    if (now < notBefore_)
        return WaitUntil{notBefore_};
    if (replaced_ || isUpToDate())
        return WaitUntil{TimePoint::max()};
    if (!isObserved_)
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
    // A stale read, or a watch that reports this agent's own write.
    if (isObserved_ && version <= version_)
        return;
    isObserved_ = true;
    version_ = version;
    announced_ = announced;
    removed_ = leaving_ && !announced;
    if (!announced)
        return;
    if (announced->incarnation > wanted_.incarnation)
        replaced_ = true;
    if (announced->incarnation == wanted_.incarnation && announced->drainRequested) {
        wanted_.drainRequested = true;
        wanted_.state = Model::InstanceState::Draining;
    }
}

void AnnouncementPolicy::onRegistryChanged(const Membership::InstanceRegistry &registry)
{
    const auto announced = registry.find(wanted_.name);
    const auto version = registry.versionOf(wanted_.name);
    onObserved(announced ? version : std::max(version, registry.listedRevision()), announced);
}

void AnnouncementPolicy::onWritten(Store::Version version,
                                   const std::optional<Model::Instance> &written)
{
    backoff_.onSuccess();
    // A restore has lost this write if something newer was observed before its response arrived.
    if (isObserved_ && version < version_)
        return;
    version_ = version;
    isObserved_ = true;
    announced_ = written;
    removed_ = leaving_ && !written;
}

void AnnouncementPolicy::onFailed(TimePoint now, Store::FailureKind kind)
{
    if (kind == Store::FailureKind::NotFound) {
        // There is no announcement yet, or it is already deleted.
        isObserved_ = true;
        announced_.reset();
        removed_ = leaving_;
        return;
    }
    if (kind == Store::FailureKind::Conflict || Store::mayHaveTakenEffect(kind))
        isObserved_ = false;
    notBefore_ = now + backoff_.onFailure();
}

} // namespace Control
