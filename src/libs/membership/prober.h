#pragma once

#include "model/identity.h"
#include "routing/routingtable.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Membership {

/// Time between the starts of two probe rounds of an agent.
constexpr std::chrono::milliseconds ProbeInterval{500};

/// Time to wait for the answer to a direct probe before other peers are asked to probe.
constexpr std::chrono::milliseconds DirectProbeTimeout{300};

/// Time to wait for the answer to an indirect probe before the round counts as failed.
constexpr std::chrono::milliseconds IndirectProbeTimeout{700};

/// Maximum number of peers that are asked to probe a peer that did not answer.
constexpr std::size_t IndirectProbeCount = 2;

/// Consecutive failed rounds after which a peer is suspect.
constexpr int FailedRoundsUntilSuspect = 2;

/// Time without an answer from a suspect peer after which its announcement is deleted.
constexpr std::chrono::minutes SuspectRemovalDelay{2};

/// Action: send \c probe to \c receiver.
struct SendProbe
{
    Routing::Hop receiver;
    Tunnel::Probe probe;
};

/// Action: send \c answer to \c receiver.
struct SendAnswer
{
    Routing::Hop receiver;
    Tunnel::ProbeAnswer answer;
};

/// Action: announce the peer as suspect; it answered neither direct nor indirect probes.
struct SuspectPeer
{
    std::string name;
    Model::Incarnation incarnation{};
};

/// Action: delete the announcement of a suspect peer that did not answer for SuspectRemovalDelay.
struct RemovePeer
{
    std::string name;
    Model::Incarnation incarnation{};
};

using ProberAction = std::variant<SendProbe, SendAnswer, SuspectPeer, RemovePeer>;

/// SWIM-style failure detector: probes one peer at a time, first directly, then through others.
///
/// With one round per ProbeInterval the traffic of an agent does not grow with the number of its
/// peers. Performs no I/O and reads no clock. Not thread-safe.
class Prober
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Probes on behalf of \a self. \a seed randomizes the order in which peers are probed, and
    /// should differ between processes.
    Prober(Routing::Hop self, std::uint64_t seed);

    /// Sets the other instances of the service. \a peers must not contain the own instance.
    void setPeers(std::vector<Model::Instance> peers);

    /// Starts, continues and ends rounds as due at \a now. Returns the actions to carry out.
    std::vector<ProberAction> tick(TimePoint now);

    /// Answers \a probe if it targets this agent, and otherwise probes the target for its sender.
    /// Returns the actions to carry out.
    std::vector<ProberAction> onProbe(TimePoint now, const Tunnel::Probe &probe);

    /// Handles the answer to a probe of this agent, or forwards it to the agent that requested the
    /// indirect probe. Returns the actions to carry out.
    std::vector<ProberAction> onAnswer(const Tunnel::ProbeAnswer &answer);

    /// Returns when the latest round started whose answer confirmed this agent's incarnation.
    TimePoint lastConfirmed() const { return lastConfirmed_; }

private:
    struct Round
    {
        std::uint64_t sequence = 0;
        Model::Instance target;
        TimePoint start;
        bool isIndirect = false;
    };

    struct Failures
    {
        int rounds = 0;
        TimePoint since;
    };

    struct Relay
    {
        Routing::Hop requester;
        std::uint64_t sequence = 0;
        TimePoint since;
    };

    void startRound(TimePoint now, std::vector<ProberAction> &actions);
    void startIndirectProbes(std::vector<ProberAction> &actions);
    Model::Incarnation knownIncarnation(Model::InstanceId instance) const;
    void endFailedRound(TimePoint now, std::vector<ProberAction> &actions);

    Routing::Hop self_;
    std::uint64_t nextSequence_;
    std::uint64_t randomState_;
    std::vector<Model::Instance> peers_;
    std::size_t nextPeer_ = 0;
    std::optional<Round> round_;
    TimePoint nextRound_;
    TimePoint lastConfirmed_;
    std::map<Model::InstanceId, Failures> failures_;
    std::map<std::uint64_t, Relay> relays_;
};

} // namespace Membership
