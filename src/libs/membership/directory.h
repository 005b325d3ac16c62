#pragma once

#include "tunnel/datagram.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// How long the set of members must stay the same before it is written, and the least time between
/// two writes: a release of many servers costs a call per second.
constexpr std::chrono::seconds DirectoryDebounceInterval{1};

/// Wait before a failed read or write is tried again.
constexpr std::chrono::milliseconds DirectoryRetryDelay{500};

/// What the store keeps of the members, so that a system that starts as a whole finds itself
/// without its seeds: names and addresses, no states.
///
/// Writes it as JSON. Thread-safe.
std::string encodeDirectory(const std::vector<Tunnel::Member> &members);

/// Returns the tunnels of the members in \a value; empty if it has another form. Thread-safe.
std::vector<Model::Endpoint> decodeDirectory(const std::string &value);

/// What to do with the directory next.
enum class DirectoryStep { Wait, Read, Write };

/// Decides when a balancer reads and writes the directory: it reads at its start, and writes if it
/// is the one responsible and the members changed. Without sockets, threads or clocks; not
/// thread-safe.
class DirectoryPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Returns the next step. \a encoded is the directory as this balancer would write it.
    DirectoryStep next(TimePoint now, bool isResponsible, const std::string &encoded);

    /// Notes that the store has \a value; nothing where it has no directory.
    void onRead(const std::optional<std::string> &value);

    /// Notes that \a value was written.
    void onWritten(const std::string &value) { stored_ = value; }

    /// Notes that a call failed, or that another balancer wrote first.
    void onFailed(TimePoint now);

private:
    bool hasRead_ = false;
    std::string stored_;
    std::string wanted_;
    TimePoint wantedSince_;
    TimePoint restUntil_;
};

} // namespace Membership
