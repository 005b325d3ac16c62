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

/// How often an agent probes one of its peers.
constexpr std::chrono::milliseconds ProbeInterval{500};

/// How long a direct answer may take before others are asked to probe.
constexpr std::chrono::milliseconds DirectProbeTimeout{300};

/// How long an indirect answer may take before the round has failed.
constexpr std::chrono::milliseconds IndirectProbeTimeout{700};

/// Peers that are asked to probe one that did not answer.
constexpr std::size_t IndirectProbeCount = 2;

/// Failed rounds in a row after which a peer is suspect.
constexpr int FailedRoundsUntilSuspect = 2;

/// How long a suspect peer may stay without an answer before its announcement is deleted.
constexpr std::chrono::minutes SuspectRemovalDelay{2};

/// Send \c probe to \c receiver.
struct SendProbe
{
    Routing::Hop receiver;
    Tunnel::Probe probe;
};

/// Send \c answer to \c receiver.
struct SendAnswer
{
    Routing::Hop receiver;
    Tunnel::ProbeAnswer answer;
};

/// The peer did not answer, neither directly nor through others.
struct SuspectPeer
{
    std::string name;
    Model::Incarnation incarnation{};
};

/// The suspect peer has not answered for SuspectRemovalDelay.
struct RemovePeer
{
    std::string name;
    Model::Incarnation incarnation{};
};

using ProberAction = std::variant<SendProbe, SendAnswer, SuspectPeer, RemovePeer>;

/// Finds peers that died, in the manner of SWIM: one direct probe at a time, then indirect ones.
///
/// At one probe per ProbeInterval the traffic of an agent does not grow with the service.
/// Without sockets, threads or clocks; not thread-safe.
class Prober
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a self probes; \a seed spreads the order in which peers are probed.
    Prober(Routing::Hop self, std::uint64_t seed);

    /// Sets the peers of the service, the own instance left out.
    void setPeers(std::vector<Model::Instance> peers);

    /// Starts, continues and ends rounds.
    std::vector<ProberAction> tick(TimePoint now);

    /// Answers a probe of this agent, or passes it on to the target it names.
    std::vector<ProberAction> onProbe(TimePoint now, const Tunnel::Probe &probe);

    /// Takes an answer to a probe of this agent, or passes it on to who asked for it.
    std::vector<ProberAction> onAnswer(const Tunnel::ProbeAnswer &answer);

    /// Returns when the latest probe was sent whose answer named this incarnation of the agent.
    TimePoint lastConfirmed() const { return lastConfirmed_; }

private:
    struct Round
    {
        std::uint64_t sequence = 0;
        Model::Instance target;
        TimePoint start;
        bool askedOthers = false;
    };

    struct Failures
    {
        int rounds = 0;
        TimePoint since;
    };

    struct Relay
    {
        Routing::Hop askerIncarnation;
        std::uint64_t sequence = 0;
        TimePoint since;
    };

    void startRound(TimePoint now, std::vector<ProberAction> &actions);
    void askOthers(std::vector<ProberAction> &actions);
    Model::Incarnation knownIncarnation(Model::InstanceId instance) const;
    void endFailedRound(TimePoint now, std::vector<ProberAction> &actions);

    Routing::Hop self_;
    std::uint64_t nextSequence_;
    std::uint64_t random_;
    std::vector<Model::Instance> peers_;
    std::size_t nextPeer_ = 0;
    std::optional<Round> round_;
    TimePoint nextRound_;
    TimePoint lastConfirmed_;
    std::map<Model::InstanceId, Failures> failures_;
    std::map<std::uint64_t, Relay> relays_;
};

} // namespace Membership
