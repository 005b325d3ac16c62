#pragma once

#include "membership/instanceregistry.h"
#include "model/identity.h"
#include "store/backoff.h"
#include "store/objectclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Control {

/// Step: read the own announcement.
struct ReadAnnouncement
{};

/// Step: write the own announcement \c instance if \c precondition holds.
struct WriteAnnouncement
{
    Model::Instance instance;
    Store::Precondition precondition;
};

/// Step: delete the own announcement if it still has \c version.
struct RemoveAnnouncement
{
    Store::Version version;
};

/// Step: do nothing until \c until or until the next input, whichever comes first.
struct WaitUntil
{
    std::chrono::steady_clock::time_point until;
};

using AnnouncementStep =
    std::variant<ReadAnnouncement, WriteAnnouncement, RemoveAnnouncement, WaitUntil>;

/// Decides which calls keep an agent's announcement on the platform equal to the wanted one.
///
/// Overwrites the announcement if a peer marked this agent as suspect, applies an operator's drain
/// request, and never overwrites the announcement of a later incarnation under the same name.
/// Performs no I/O and reads no clock. Not thread-safe.
class AnnouncementPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a wanted is the announcement to write; \a seed randomizes the pauses after failures, and
    /// should differ between processes.
    AnnouncementPolicy(Model::Instance wanted, std::uint64_t seed);

    /// Sets the state to announce. It stays InstanceState::Draining after an operator's request.
    void setWantedState(Model::InstanceState state);

    /// Requests that the announcement is deleted, as the agent shuts down.
    void leave();

    /// Returns the next step at \a now.
    AnnouncementStep next(TimePoint now) const;

    /// Records the announcement that was read, or that a watch reported; nothing if there is none.
    /// Versions that are not newer than the latest known one are ignored.
    void onObserved(Store::Version version, const std::optional<Model::Instance> &announced);

    /// Records what \a registry knows of the own announcement.
    void onRegistryChanged(const Membership::InstanceRegistry &registry);

    /// Records that \a written was stored with \a version. If \a written is nothing, the
    /// announcement was deleted.
    void onWritten(Store::Version version, const std::optional<Model::Instance> &written);

    /// Records that a call failed. After a conflict or a write with an unknown outcome the
    /// announcement is read again before the next write.
    void onFailed(TimePoint now, Store::FailureKind kind);

    /// Whether an operator requested a drain through the announcement.
    bool isDrainRequested() const { return wanted_.drainRequested; }

    /// Whether a later incarnation announced itself under the same name.
    bool isReplaced() const { return replaced_; }

    /// Whether the latest known announcement equals the wanted one; after leave(), whether it is
    /// deleted or belongs to a later incarnation.
    bool isUpToDate() const;

    /// Returns the announcement that is wanted.
    const Model::Instance &wanted() const { return wanted_; }

private:
    Model::Instance wanted_;
    Store::Backoff backoff_;
    std::optional<Model::Instance> announced_;
    Store::Version version_{};
    bool isObserved_ = false;
    bool leaving_ = false;
    bool removed_ = false;
    bool replaced_ = false;
    TimePoint notBefore_;
};

} // namespace Control
