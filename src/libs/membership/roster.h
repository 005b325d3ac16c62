#pragma once

#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// How often a process reports itself while nothing changes.
constexpr std::chrono::milliseconds ReportInterval{300};

/// Silence after which a member gets no new work: three reports lost or late.
constexpr std::chrono::milliseconds SuspectTimeout{3 * ReportInterval};

/// Silence after which an agent that said nothing of an end counts as lost, with its backend
/// server: five reports missed. It lies below the shortest deadline of a request, 2 s, so that a
/// caller that may repeat its request is told in time.
constexpr std::chrono::milliseconds LostTimeout{5 * ReportInterval};

/// Silence after which a member that said that it stops, or a balancer, counts as gone: longer than
/// a restart takes.
constexpr std::chrono::seconds RemovalTimeout{8};

/// Balancers that must leave a member out of their view before an agent does so too: one alone may
/// be cut off from it.
constexpr std::size_t MinOmissionsForRemoval = 2;

/// How long what others still say of a member that left is ignored: longer than RemovalTimeout, so
/// that nobody has it in a roster any more.
constexpr std::chrono::seconds TombstoneLifetime{20};

/// The processes of the system that one process knows of.
///
/// A balancer hears every member itself; what other balancers say only adds members. An agent takes
/// over a balancer's view of its own service and of the balancers. Without sockets, threads or
/// clocks; not thread-safe.
class Roster
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a self is the process that keeps the roster; it is not listed.
    explicit Roster(Tunnel::Member self);

    /// Takes what a member says of itself. Returns whether the view changed.
    bool onReport(TimePoint now, const Tunnel::Report &report);

    /// Takes what a balancer says of others. Returns whether the view changed.
    bool onRosterPart(TimePoint now, const Tunnel::RosterPart &part);

    /// Suspects and forgets silent members, on a balancer. Returns whether the view changed.
    bool expire(TimePoint now);

    /// Notes that this process itself did not run for \a pause, so that nobody else is blamed.
    void onPaused(std::chrono::milliseconds pause);

    /// Returns the agents, suspect ones with that state.
    std::vector<Model::Instance> agents() const;

    /// Returns the members that are not suspect, this process included.
    std::vector<Tunnel::Member> runningMembers() const;

    /// Whether this process is the first by name of the balancers that run.
    bool isFirstBalancer() const;

    /// Returns the balancers, suspect ones too: one that was only heard of is told of this process,
    /// and answers.
    std::vector<Model::Instance> balancers() const;

    /// Whether a member that is not suspect has its tunnel at \a address.
    bool hasAddress(std::uint32_t address) const;

    /// Returns a number that changes with the view that \a reader gets of this roster.
    std::uint64_t digestFor(const Tunnel::Member &reader) const;

    /// Returns the digest of what this process itself knows.
    std::uint64_t digest() const { return digestFor(self_); }

    /// Returns the view that \a reader gets of this roster, this process included.
    std::vector<Tunnel::RosterPart> partsFor(TimePoint now, const Tunnel::Member &reader) const;

private:
    struct Entry
    {
        Tunnel::Member member;
        TimePoint lastHeard;
        bool isSuspect = false;
        std::uint64_t number = 0;        ///< of the latest report heard from the member itself
        std::set<std::string> omittedBy; ///< balancers that left it out, on an agent
    };

    struct Left
    {
        Model::Incarnation incarnation{};
        TimePoint since;
    };

    std::vector<Tunnel::Member> viewOf(const Tunnel::Member &reader) const;
    bool addRelayed(TimePoint now, const Tunnel::Member &member);
    bool removeOmitted(const Tunnel::RosterPart &part, const std::set<std::string> &listed);
    bool isAuthority() const { return self_.role == Tunnel::Role::Balancer; }
    bool remove(TimePoint now, const std::string &name, Model::Incarnation incarnation);

    Tunnel::Member self_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, Left> left_;
};

} // namespace Membership
