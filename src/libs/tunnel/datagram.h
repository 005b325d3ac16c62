#pragma once

#include "model/identity.h"
#include "routing/routingtable.h"
#include "tunnel/gre.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Tunnel {

/// Header of a caller's packet between balancers and agents.
struct PacketHeader
{
    Routing::Chain chain;
    std::uint8_t position = 0;  ///< index into chain of the receiver
    std::uint8_t passes = 0;    ///< how often agents passed the packet on
    std::uint8_t redirects = 0; ///< how often it followed a redirect
    bool opensFlow = false;
    std::uint8_t ranksBefore = 0; ///< instances ranked before the chain that were asked already
    Model::Endpoint origin;       ///< the balancer that learns the flow's owner; may be invalid
};

/// Counts the owners that a flow has had: 0 while it is half open, 1 with its first owner, and
/// one more after each move. Of two claims to a flow the one with the greater epoch is right.
enum class Epoch : std::uint32_t {};

struct ClaimedFlow
{
    Model::FlowKey key;
    Epoch epoch{};

    bool operator==(const ClaimedFlow &) const = default;
};

/// Tells the receiver who owns some flows.
struct Redirects
{
    Routing::Hop owner;
    std::vector<ClaimedFlow> flows;
};

/// Asks whether \c target lives; a receiver that isn't the target probes it for the sender.
struct Probe
{
    std::uint64_t sequence = 0;
    Routing::Hop sender;
    Routing::Hop target;
};

/// Says that \c target lives.
struct ProbeAnswer
{
    std::uint64_t sequence = 0;
    Routing::Hop target;
    Model::Incarnation askerIncarnation{}; ///< incarnation of the asker that the target knows; 0 if none
};

/// Says that an instance drains or is suspect, where the platform may not be able to.
struct StateNotice
{
    Model::InstanceId instance{};
    Model::Incarnation incarnation{};
    Model::InstanceState state = Model::InstanceState::Suspect;
};

enum class Role { Agent, Balancer };

/// A process of the system as its peers know it. Balancers have no service.
struct Member
{
    Model::Instance instance;
    Role role = Role::Agent;
    std::chrono::milliseconds sinceLastReport{0}; ///< since the member itself was last heard by anyone

    bool operator==(const Member &) const = default;
};

/// What a process says of itself, to peers that place work on it or watch over it.
struct Report
{
    Member sender;
    std::uint64_t number = 0;                ///< grows within one incarnation
    std::uint32_t waiting = 0;               ///< flows with a request that is not answered yet
    std::uint32_t open = 0;                  ///< flows
    std::uint32_t slots = 0;                 ///< requests that the backend server runs at once
    std::chrono::microseconds answerTime{0}; ///< smoothed, from a request's end to its answer
    double failureShare = 0;                 ///< smoothed share of answers that were errors
    std::uint64_t rosterDigest = 0;
    bool wantsRoster = false; ///< the receiver sends its roster where the digests differ
    bool isLeaving = false;      ///< the sender is gone for good after this report
};

/// All members that the sender knows of in a range of names, by name.
struct RosterPart
{
    std::string balancer;    ///< the balancer whose view it is
    std::string afterName; ///< the range begins behind this name
    bool isLast = false;   ///< the range has no end; otherwise it ends with the last member
    std::vector<Member> members;
};

/// Members that one RosterPart may name, so that it fits a common MTU.
constexpr std::size_t MaxMembersPerPart = 8;

/// What balancers and agents send each other over UDP.
struct Datagram
{
    Model::ServiceId service{};
    Model::Generation generation{};
    std::variant<PacketHeader, Redirects, Probe, ProbeAnswer, StateNotice, Report, RosterPart>
        content;
};

/// A datagram as received; \c packet refers to the received bytes.
struct ReceivedDatagram
{
    Datagram datagram;
    Bytes packet; ///< the caller's packet; empty for all but PacketHeader
};

/// Flows that one Redirects message may name, so that it fits a common MTU.
constexpr std::size_t MaxFlowsPerRedirects = 48;

/// Writes the header of \a datagram; a caller's packet is sent right behind it.
/// Precondition: Redirects name at most MaxFlowsPerRedirects flows. Thread-safe.
std::vector<std::byte> encodeDatagram(const Datagram &datagram);

/// Does the same into \a encoded, whose memory it uses again.
void encodeDatagram(const Datagram &datagram, std::vector<std::byte> &encoded);

/// Reads \a bytes; nothing if they are no datagram of this form. Thread-safe.
std::optional<ReceivedDatagram> decodeDatagram(Bytes bytes);

} // namespace Tunnel
