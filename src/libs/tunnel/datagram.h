#pragma once

#include "model/identity.h"
#include "routing/routingtable.h"
#include "tunnel/gre.h"

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
    Model::Incarnation asker{}; ///< incarnation of the asker that the target knows; 0 if none
};

/// Says that an instance drains or is suspect, where the platform may not be able to.
struct StateNotice
{
    Model::InstanceId instance{};
    Model::Incarnation incarnation{};
    Model::InstanceState state = Model::InstanceState::Suspect;
};

/// What balancers and agents send each other over UDP.
struct Datagram
{
    Model::ServiceId service{};
    Model::Generation generation{};
    std::variant<PacketHeader, Redirects, Probe, ProbeAnswer, StateNotice> content;
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
