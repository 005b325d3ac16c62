#pragma once

#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// Time between two reports of a process while nothing changes.
constexpr std::chrono::milliseconds ReportInterval{300};

/// Time without a report after which a member is suspect and gets no new work: three reports were
/// lost or late.
constexpr std::chrono::milliseconds SuspectTimeout{3 * ReportInterval};

/// Time without a report after which an agent that did not announce a stop is removed as lost,
/// together with its backend server: five reports are missing. It is shorter than the shortest
/// deadline of a request, 2 s, so that a caller that may repeat its request is notified of the loss
/// before that deadline.
constexpr std::chrono::milliseconds LostTimeout{5 * ReportInterval};

/// Time without a report after which a balancer, or an agent that announced its stop, is removed.
/// It is longer than a restart takes.
constexpr std::chrono::seconds RemovalTimeout{8};

/// Number of balancers whose complete views must omit a member before an agent removes it: a single
/// balancer may have lost its connection to that member. If the views of as many balancers lack it
/// that started too recently, it becomes suspect.
constexpr std::size_t MinOmissionsForRemoval = 2;

/// Time for which a member that left is not added again because of another balancer's roster. It is
/// longer than RemovalTimeout, so that no roster contains the member any more when that time ends.
constexpr std::chrono::seconds TombstoneLifetime{20};

/// The members of the system, as seen by one process.
///
/// A balancer receives the reports of all members itself; the rosters of other balancers only add
/// members. An agent adopts a balancer's membership view of its own service and of the balancers.
/// Performs no I/O and reads no clock. Not thread-safe.
class Roster
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Creates the roster of the process \a self, which is not an entry of it. From \a completeFrom
    /// on, a balancer's roster includes every member: whoever runs has reported to it by then.
    explicit Roster(Tunnel::Member self, TimePoint completeFrom = TimePoint::min());

    /// Applies a member's report about itself. Late and reordered reports are ignored. Returns
    /// whether the membership view changed.
    bool onReport(TimePoint now, const Tunnel::Report &report);

    /// Applies a part of a balancer's roster. Returns whether the membership view changed.
    bool onRosterPart(TimePoint now, const Tunnel::RosterPart &part);

    /// Adds \a agents, which ran before this balancer started, as suspect until they report or
    /// RemovalTimeout has passed. Other balancers' complete rosters remove those that are gone.
    /// \a isComplete is whether further agents can't be missing from the directory. Returns whether
    /// the membership view changed.
    bool addRecorded(TimePoint now, const std::vector<Tunnel::Member> &agents, bool isComplete);

    /// Sets that a member of the directory runs on since before this balancer started, so that the
    /// system did not restart as a whole: agents are told that those not heard yet are restarting.
    void setSystemRunning() { isSystemRunning_ = true; }

    /// Returns which members this process's roster includes for certain. An agent's roster includes
    /// what those of the balancers do from which it adopted members.
    Tunnel::RosterScope scope(TimePoint now) const;

    /// Marks members without reports as suspect, and removes them after a longer time. Does nothing
    /// on an agent. Returns whether the membership view changed.
    bool expire(TimePoint now);

    /// Records that this process itself did not run for \a pause, so that missing reports from that
    /// time do not make a member suspect.
    void onPaused(std::chrono::milliseconds pause);

    /// Returns the number of changes so far that concern a possible owner of flows: all but those
    /// of agents without a backend server.
    std::uint64_t ownerChanges() const { return ownerChanges_; }

    /// Returns the agents, ordered by name, except those without a backend server, which own no
    /// flow. Suspect ones have InstanceState::Suspect.
    std::vector<Model::Instance> agents() const;

    /// Whether an agent of \a service reported that its running server accepts connections.
    bool hasListeningServer(const std::string &service) const;

    /// Returns all members, suspect ones and this process included.
    std::vector<Tunnel::Member> members() const;

    /// Whether this process's name sorts before the names of all other balancers that are ready and
    /// not suspect.
    bool isFirstBalancer() const;

    /// Returns the other balancers, including suspect ones: a balancer that is only known from
    /// another roster is sent this process's report too, and replies with its own.
    std::vector<Model::Instance> balancers() const;

    /// Whether a member that is not suspect has the IPv4 tunnel address \a address.
    bool hasAddress(std::uint32_t address) const;

    /// Returns a hash of the membership view that \a reader gets of this roster: of names,
    /// incarnations and states. It equals the reader's digest() once the reader has the same
    /// membership view.
    std::uint64_t digestFor(const Tunnel::Member &reader) const;

    /// Returns the digest of this process's own membership view; 0 while it may lack members or
    /// have too many, so that every balancer that is asked sends its roster.
    std::uint64_t digest() const;

    /// Whether any agent is known that reported to this balancer or to another one.
    bool hasReportedAgents() const;

    /// Returns the agents that announced a restart, are not ready after one or, on an agent, do not
    /// report.
    std::vector<Model::Instance> restartingAgents() const;

    /// Returns the agents that are only known from the directory.
    std::vector<Model::Instance> unheardAgents() const;

    /// Returns the membership view to send to \a reader, which includes this process, in parts of
    /// at most Tunnel::MaxMembersPerPart members. \a now determines the members'
    /// \c sinceLastReport.
    std::vector<Tunnel::RosterPart> partsFor(TimePoint now, const Tunnel::Member &reader) const;

private:
    struct Entry
    {
        Tunnel::Member member;
        TimePoint lastReportTime;
        bool isSuspect = false;
        std::uint64_t number = 0;        ///< of the latest report that the member itself sent
        std::set<std::string> omittedBy; ///< on an agent: balancers whose views omit the member
        std::set<std::string> missedBy;  ///< the same, of balancers that may not know it yet
    };

    /// A member that reported to this balancer and was then removed: it left for good, or was
    /// silent for too long.
    struct GoneMember
    {
        Tunnel::Member member;
        TimePoint since;
    };

    struct Tombstone
    {
        Model::Incarnation incarnation{};
        TimePoint since;
    };

    static bool isNeedless(const Entry &entry);
    std::vector<Tunnel::Member> viewFor(const Tunnel::Member &reader) const;
    bool removeSilent(TimePoint now);
    void appendGone(std::vector<Tunnel::Member> &view, const Tunnel::Member &reader) const;
    bool addRelayed(TimePoint now, const Tunnel::Member &member);
    bool applyOmissions(TimePoint now, const Tunnel::RosterPart &part,
                        const std::set<std::string> &listed,
                        const std::map<std::string, Model::Incarnation> &gone);
    void expireTombstones(TimePoint now);
    bool hasUnheard() const;
    void recordChange(const Tunnel::Member &member);
    bool recordOmission(Entry &entry, const Tunnel::RosterPart &part, bool isGone,
                        std::size_t needed) const;
    bool isBalancer() const { return self_.role == Tunnel::Role::Balancer; }
    bool remove(TimePoint now, const Tunnel::Member &member);

    Tunnel::Member self_;
    TimePoint completeFrom_;
    bool includesRecorded_ = false; ///< on a balancer: the members in the directory
    bool isSystemRunning_ = false;  ///< on a balancer: it did not restart as a whole
    std::uint64_t ownerChanges_ = 0;
    Tunnel::RosterScope adoptedScope_ = Tunnel::RosterScope::Reported; ///< on an agent
    std::map<std::string, Entry> entries_;
    std::map<std::string, Tombstone> tombstones_;
    std::map<std::string, GoneMember> gone_; ///< on a balancer
};

} // namespace Membership
