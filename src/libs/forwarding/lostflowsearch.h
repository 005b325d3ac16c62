#pragma once

#include "forwarding/reportscheduler.h"
#include "membership/directory.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Forwarding {

/// Maximum number of flows that a balancer searches for at the same time.
constexpr std::size_t MaxSearchedFlows = 512;

/// Maximum number of agents of a service whose flows are searched for. Each lost flow costs a query
/// and an answer per agent, and agents of larger services need that time for new flows.
constexpr std::size_t MaxSearchedAgents = 16;

/// Minimum time between two rounds of queries.
constexpr std::chrono::milliseconds QueryInterval{20};

/// Time after which an agent that did not answer, or can't know all flows yet, is asked again.
constexpr std::chrono::milliseconds QueryRetryDelay{100};

/// Time after the latest packet of a flow at which the search for it ends.
constexpr std::chrono::milliseconds SearchLifetime{1000};

/// Finds the flows that were lost because the whole system restarted with its backend servers.
///
/// After a loss of power, callers continue to send on flows that no server holds, and wait until
/// their deadline unless they get a reset. The search asks all agents of the member directory and
/// those that reported since, and waits for the ones that did not return yet. A flow is lost if
/// each of them knows all flows of its server and does not own this one.
///
/// Decides only while this process starts, and only if every member that reported started after the
/// directory was written. If one did not, the system runs on, and an instance that joined too
/// recently to be in the directory may own the flow. Uses no sockets, threads or clocks; not
/// thread-safe.
class LostFlowSearch
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The caller of a lost flow and the latest acknowledgement number that it sent.
    struct LostFlow
    {
        Model::FlowKey flow;
        std::uint32_t acknowledgement = 0;
    };

    /// \a started is when this process started.
    explicit LostFlowSearch(TimePoint started)
        : started_(started)
    {}

    /// Sets the members that ran before this process started. Unless \a isComplete, further members
    /// may have run: owners are searched for, but no flow counts as lost.
    void setDirectory(TimePoint now, const std::vector<Membership::DirectoryEntry> &directory,
                      bool isComplete);

    /// Records that the sender of \a report runs, and whether it started after the directory was
    /// written.
    void onReport(TimePoint now, const Tunnel::Report &report);

    /// Starts or prolongs the search for the owner of \a flow in \a services, those that may own
    /// it. Returns whether the search can decide; if it can't, nothing is searched for.
    bool search(TimePoint now, const LostFlow &flow, std::set<Model::ServiceId> services);

    /// Ends the search for \a flow.
    void forget(const Model::FlowKey &flow) { searches_.erase(flow); }

    /// Processes \a answer of an agent of \a service. The flows that it owns are no longer searched
    /// for.
    void onAnswer(Model::ServiceId service, const Tunnel::OwnerAnswer &answer);

    /// Returns the queries that are due now; the answers go to \a asker.
    std::vector<OutgoingDatagram> queries(TimePoint now, const Model::Endpoint &asker);

    /// Whether nothing is known so far that has survived since the directory was written: no
    /// member, and no backend server. The directory must have been read, and must be complete.
    bool isWholeLoss() const;

    /// Whether a member that the directory lists reported and did not restart.
    bool isSystemRunning() const { return isSystemRunning_; }

    /// Returns the services with agents that are known so far.
    std::set<Model::ServiceId> services() const;

    /// A lost flow and the services whose agents all deny it.
    struct DeniedFlow
    {
        LostFlow lost;
        std::set<Model::ServiceId> services;
    };

    /// Returns the flows that are lost, and ends the search for them.
    std::vector<DeniedFlow> takeLost(TimePoint now);

    std::size_t size() const { return searches_.size(); }

private:
    /// A member that the directory lists or that reported since this process started.
    struct Member
    {
        bool isAgent = false;
        Model::Endpoint tunnel;
        std::optional<Model::Incarnation> listed;   ///< in the directory
        std::optional<Model::Incarnation> reported; ///< in its latest report
        bool mayHoldUnknownFlows = false;
        bool hasOlderServer = false;
    };

    struct Search
    {
        LostFlow flow;
        std::set<Model::ServiceId> services;
        TimePoint latestPacket;
        std::unordered_map<Model::InstanceId, TimePoint> asked;
        std::set<Model::InstanceId> denials;
    };

    bool isStarting(TimePoint now) const { return now - started_ < StartupDuration; }
    bool isWholeRestart(TimePoint now) const;
    bool canDecide(Model::ServiceId service) const;
    Routing::SearchFindings findingsOf(TimePoint now, const Search &search) const;
    Member &memberOf(Model::InstanceId instance, Model::ServiceId service, bool isAgent);

    TimePoint started_;
    std::optional<TimePoint> directoryRead_;
    bool isDirectoryComplete_ = false;
    std::unordered_map<Model::InstanceId, Member> members_;
    std::unordered_map<Model::ServiceId, std::set<Model::InstanceId>> agents_; ///< by service
    std::unordered_map<Model::FlowKey, Search> searches_;
    TimePoint lastRound_;
    bool isSystemRunning_ = false; ///< a listed member reported that did not restart
};

} // namespace Forwarding
