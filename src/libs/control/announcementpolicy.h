#pragma once

#include "model/identity.h"
#include "store/backoff.h"
#include "store/objectclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Control {

/// Read the own announcement.
struct ReadAnnouncement
{};

/// Write \c instance under \c precondition.
struct WriteAnnouncement
{
    Model::Instance instance;
    Store::Precondition precondition;
};

/// Delete the own announcement if it still has this version.
struct RemoveAnnouncement
{
    Store::Version version;
};

/// Nothing to do before this time, or before the next input.
struct WaitUntil
{
    std::chrono::steady_clock::time_point until;
};

using AnnouncementStep =
    std::variant<ReadAnnouncement, WriteAnnouncement, RemoveAnnouncement, WaitUntil>;

/// Keeps an agent's announcement on the platform as the agent wants it.
///
/// Refutes a suspicion, obeys an operator's drain, and gives way to a later incarnation under the
/// same name. Without sockets, threads or clocks; not thread-safe.
class AnnouncementPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    AnnouncementPolicy(Model::Instance wanted, std::uint64_t seed);

    /// Changes the state that the agent wants announced.
    void setWantedState(Model::InstanceState state);

    /// Asks for the announcement to be deleted, as the agent leaves.
    void leave();

    /// Returns what to do at \a now.
    AnnouncementStep next(TimePoint now) const;

    /// Notes the announcement as read, or as a watch reported it; nothing if there is none.
    void onObserved(Store::Version version, const std::optional<Model::Instance> &announced);

    /// Notes that \a written took effect, or a deletion where it is nothing.
    void onWritten(Store::Version version, const std::optional<Model::Instance> &written);

    /// Notes that a call failed; a write with an unknown outcome is read back.
    void onFailed(TimePoint now, Store::FailureKind kind);

    /// Whether an operator asked for a drain through the announcement.
    bool isDrainAsked() const { return wanted_.drainRequested; }

    /// Whether a later incarnation under the same name announced itself.
    bool isReplaced() const { return replaced_; }

    /// Whether the wanted state stands on the platform, as far as known.
    bool isUpToDate() const;

    const Model::Instance &wanted() const { return wanted_; }

private:
    Model::Instance wanted_;
    Store::Backoff backoff_;
    std::optional<Model::Instance> announced_;
    Store::Version version_{};
    bool isKnown_ = false;
    bool leaving_ = false;
    bool left_ = false;
    bool replaced_ = false;
    TimePoint notBefore_;
};

} // namespace Control
