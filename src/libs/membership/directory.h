#pragma once

#include "store/revision.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Time between a change of the members and the write of the directory. Changes in that time are
/// written together, so that a release of many servers costs at most one call per second.
constexpr std::chrono::seconds DirectoryWriteDelay{1};

/// Delay before the directory is read again after a failed read or write.
constexpr std::chrono::milliseconds DirectoryRetryDelay{500};

/// A member in the directory.
struct DirectoryEntry
{
    std::string name;
    Model::Endpoint tunnel;
    std::string service; ///< empty for a balancer
    Model::Incarnation incarnation{};
};

/// The directory as the store keeps it.
struct Directory
{
    /// The store's timeline when the directory was written. A directory of an earlier timeline than
    /// the store's may be a copy that lacks members.
    Store::Timeline timeline{};
    std::vector<DirectoryEntry> members;
};

/// Returns the directory of \a members as JSON: their names, tunnel addresses, services and
/// incarnations, without states. \a timeline is the store's.
///
/// The store keeps the directory so that the processes of a system that restarts as a whole find
/// each other even without seeds. Thread-safe.
std::string encodeDirectory(const std::vector<Tunnel::Member> &members, Store::Timeline timeline);

/// Returns the directory in \a value, without members if it is not a directory. Malformed entries
/// are skipped. Thread-safe.
Directory decodeDirectory(const std::string &value);

/// The next action on the directory.
enum class DirectoryStep { Wait, Read, Write };

/// Decides when a balancer reads and writes the directory.
///
/// It reads at its start and after a failure, and writes if it is the responsible balancer and the
/// members changed. The responsible balancer also reads after the store was restored, and then
/// writes without delay if members are missing or the directory is of an earlier timeline. Performs
/// no I/O and reads no clock. Not thread-safe.
class DirectoryPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    DirectoryPolicy() = default;

    /// \a isFirstStart is whether the whole system starts for the first time: there is no directory
    /// to read then, and only the responsible balancer makes calls.
    explicit DirectoryPolicy(bool isFirstStart)
        : needsRead_(!isFirstStart)
    {}

    /// Returns the next action at \a now. \a isResponsible is whether this balancer writes the
    /// directory, \a encoded the directory that it would write, and \a timeline the latest known
    /// one of the store.
    DirectoryStep next(TimePoint now, bool isResponsible, const std::string &encoded,
                       Store::Timeline timeline);

    /// Records that the store contains \a value on \a timeline; nothing if it has no directory.
    void onRead(const std::optional<std::string> &value, Store::Timeline timeline);

    /// Records that \a value was written.
    void onWritten(const std::string &value);

    /// Requests that the directory is read again.
    void invalidate() { needsRead_ = true; }

    /// Records that a call failed, or that another balancer wrote first. The directory is read
    /// again after DirectoryRetryDelay.
    void onFailed(TimePoint now);

private:
    bool needsRead_ = true;
    bool wasRestored_ = false;                ///< since the directory was written
    std::optional<Store::Timeline> timeline_; ///< at the latest read
    std::string stored_;
    std::optional<TimePoint> changedSince_; ///< first change that is not stored
    TimePoint waitUntil_;
};

} // namespace Membership
