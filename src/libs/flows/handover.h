#pragma once

#include "tunnel/datagram.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Flows {

/// Number of peers to which an agent hands its flows over when it stops. Some of them may stop
/// before it is back.
constexpr std::size_t MaxKeepers = 3;

/// How long a handover is kept. A start right after a stop takes less; two of them with
/// HandoverTimeout in between take about as long.
constexpr std::chrono::seconds HandoverLifetime{4};

/// Maximum number of handovers that one agent keeps. Further ones are not kept, and the agents
/// whose they are start without.
constexpr std::size_t MaxKeptHandovers = 64;

/// Time after which a peer that did not answer is asked again for a handover.
constexpr std::chrono::milliseconds HandoverRetryDelay{100};

/// Time for which a suspect peer is waited for. Most of them do not run, but after a start of the
/// balancers they may only be unheard.
constexpr std::chrono::milliseconds SuspectAnswerTimeout{250};

/// Time after its start at which an agent goes on without a handover, whoever did not answer.
constexpr std::chrono::milliseconds HandoverTimeout{1500};

/// Another agent of the service, as an agent that stops or starts knows it.
struct Peer
{
    Routing::Hop hop;
    bool isSuspect = false;
};

/// Returns the parts of a handover of \a flows, which \a handover describes otherwise. There is at
/// least one, so that the receiver learns that the agent had no flows. Flows that don't fit into
/// Tunnel::MaxHandoverParts are left out, and the handover is then marked as incomplete.
/// Thread-safe.
std::vector<Tunnel::FlowHandover> handoverParts(const Tunnel::FlowHandover &handover,
                                                const std::vector<Model::FlowKey> &flows);

/// Returns those of \a peers to which the process \a incarnation of the agent \a agent hands its
/// flows over: at most MaxKeepers, suspect ones last, in an order that differs between agents.
/// Thread-safe.
std::vector<Routing::Hop> keepersOf(Model::InstanceId agent, Model::Incarnation incarnation,
                                    std::vector<Peer> peers);

/// Keeps what agents of the service that stopped knew of the flows of their backend servers, until
/// their next processes ask for it.
///
/// Only one process gets a handover, however often it asks: it knows flows that the handover lacks
/// as soon as it accepts one itself, and a later process must not take it for complete. Uses no
/// sockets, threads or clocks; not thread-safe.
class HandoverKeeper
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Stores \a part of the handover of another agent.
    void onPart(TimePoint now, const Tunnel::FlowHandover &part);

    /// Records that the process \a incarnation of \a agent runs or ran.
    void onProcessSeen(Model::InstanceId agent, Model::Incarnation incarnation);

    /// Returns the datagrams that answer \a request: the parts of the handover, or one that says
    /// that there is none.
    std::vector<Tunnel::FlowHandover> answer(TimePoint now, const Tunnel::HandoverRequest &request);

    /// Forgets handovers after HandoverLifetime.
    void expire(TimePoint now);

    std::size_t size() const { return kept_.size(); }

private:
    struct Kept
    {
        Model::Incarnation incarnation{};
        std::map<std::uint16_t, Tunnel::FlowHandover> parts;
        std::optional<Model::Incarnation> successor; ///< the only process that may get it
        TimePoint since;
    };

    std::map<Model::InstanceId, Kept> kept_;
};

/// What an agent learned from the handover of its previous process.
struct TakeoverOutcome
{
    bool isComplete = false; ///< the server held no other flows when that process ended
    std::size_t answers = 0; ///< peers that answered
    std::size_t flows = 0;
    std::chrono::milliseconds duration{0};
};

/// Asks the peers of an agent that starts for what its previous process handed over.
///
/// The handover counts as complete only if every running peer answered and none knows of another
/// process in between. Uses no sockets, threads or clocks; not thread-safe.
class Takeover
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a started is when the process \a incarnation started.
    Takeover(TimePoint started, Model::Incarnation incarnation)
        : started_(started)
        , incarnation_(incarnation)
    {}

    /// Returns those of \a peers that are to be asked now. Must be called once the peers are known,
    /// even if there are none.
    std::vector<Routing::Hop> peersToAsk(TimePoint now, const std::vector<Peer> &peers);

    /// Processes a part of an answer. Returns the flows that were handed over, when all parts from
    /// one peer are there.
    std::vector<Model::FlowKey> onPart(const Tunnel::FlowHandover &part);

    /// Ends the takeover and returns its outcome once all of \a peers answered, except suspect ones
    /// that don't, or HandoverTimeout has passed. Returns nothing before, and nothing later.
    std::optional<TakeoverOutcome> finish(TimePoint now, const std::vector<Peer> &peers);

    /// Returns the start of the backend server that held the flows; nothing before they are there.
    std::optional<std::int64_t> serverStartTimeMs() const;

    /// Whether answers are still awaited.
    bool isPending() const { return isPending_; }

    /// Whether the peers were asked, which tells them that this process runs.
    bool hasAsked() const { return hasAsked_; }

private:
    using Parts = std::map<std::uint16_t, Tunnel::FlowHandover>;

    struct Asked
    {
        TimePoint first;
        TimePoint last;
    };

    bool isSettled(TimePoint now, const Peer &peer) const;
    bool hasAnswered(Model::InstanceId peer) const { return answered_.contains(peer); }
    const Parts *latestAnswer() const;

    TimePoint started_;
    Model::Incarnation incarnation_;
    std::map<Model::InstanceId, Asked> asked_;
    std::map<Model::InstanceId, Parts> answers_;
    std::set<Model::InstanceId> answered_;    ///< completely
    std::set<Model::Incarnation> successors_; ///< processes that ran since the handover of another
    bool isPending_ = true;
    bool hasAsked_ = false;
};

} // namespace Flows
