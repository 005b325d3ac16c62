#pragma once

#include "model/evacuations.h"
#include "model/identity.h"
#include "routing/routingtable.h"
#include "routing/searchfindings.h"
#include "tunnel/gre.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Tunnel {

/// What the configuration says of new flows to a route, as needed by the agent that accepts one.
struct FlowTerms
{
    float warmUpRate = 0;      ///< new flows per second of a server that warms up; 0: unlimited
    std::uint8_t priority = 0; ///< 0 is the most urgent
    std::chrono::milliseconds objective{0}; ///< time to the response; 0: none is stated

    bool operator==(const FlowTerms &) const = default;
};

/// Header of a caller's packet on its path between balancers and agents.
struct PacketHeader
{
    Routing::Chain chain;
    std::uint8_t position = 0;  ///< index of the receiver in chain
    std::uint8_t passes = 0;    ///< number of times that agents forwarded the packet
    std::uint8_t redirects = 0; ///< number of redirects that the packet followed
    bool opensFlow = false;
    Routing::SearchPosition searched; ///< how far the search got, with the chain
    Model::Endpoint origin;      ///< the balancer to notify of the flow's owner; may be invalid
    bool originSearches = false; ///< the origin asks all agents for the owner; see OwnerQuery
    /// The flow may belong to another service: an agent at the end of the search returns the packet
    /// to the origin, which sends it to the next service.
    bool originContinues = false;
    Routing::SearchFindings findings; ///< of the search for the owner so far, in all services
    bool asksServers = false;         ///< agents may deliver the packet without knowing the flow
    std::uint8_t servicesAsked = 0;   ///< services that were asked before the present one
    bool isToClaimant = false;        ///< the receiver told the sender that it owns the flow
    FlowTerms terms;                  ///< of a packet that opens a flow
    Model::Generation generation{};   ///< the origin's configuration; encoded with the datagram
};

/// Number of owners that a flow has had: 0 while it is half open, 1 with its first owner, and one
/// more after each move. Of two claims to one flow, the one with the greater epoch is right.
enum class Epoch : std::uint32_t {};

/// A flow and the epoch in which the sender claims to own it.
struct ClaimedFlow
{
    Model::FlowKey key;
    Epoch epoch{};

    bool operator==(const ClaimedFlow &) const = default;
};

/// Notifies the receiver of the owner of some flows.
struct Redirects
{
    Routing::Hop owner;
    std::vector<ClaimedFlow> flows;
};

/// Checks whether \c target is alive. A receiver other than the target probes it on behalf of the
/// sender.
struct Probe
{
    std::uint64_t sequence = 0;
    Routing::Hop sender;
    Routing::Hop target;
};

/// Confirms that \c target is alive.
struct ProbeAnswer
{
    std::uint64_t sequence = 0;
    Routing::Hop target;
    /// Incarnation of the probe's sender as known to the target; 0 if unknown.
    Model::Incarnation askerIncarnation{};
};

/// Reports that an instance is draining or suspect, in case the platform cannot report it.
struct StateNotice
{
    Model::InstanceId instance{};
    Model::Incarnation incarnation{};
    Model::InstanceState state = Model::InstanceState::Suspect;
};

enum class Role { Agent, Balancer };

/// A process of the system as its peers see it. Balancers have no service.
struct Member
{
    Model::Instance instance;
    Role role = Role::Agent;
    /// Time since any process received a report from the member itself.
    std::chrono::milliseconds sinceLastReport{0};
    bool isUnheard = false;     ///< only known from the directory
    bool hasNoServer = false;   ///< no backend server runs beside the agent: it owns no flow
    bool serverListens = false; ///< the agent's running backend server accepts connections
    /// The agent has started and doesn't know yet which flows it owns, or which other agents there
    /// are: it can neither deny a flow nor try it on its server.
    bool isRestarting = false;
    /// The balancer whose roster lists the member received its reports, and knows that it owns no
    /// flow any more: it left for good, or is lost together with its backend server.
    bool isGone = false;

    bool operator==(const Member &) const = default;
};

/// Status that a process sends to peers that assign work to it or monitor it.
struct Report
{
    Member sender;
    std::uint64_t number = 0;  ///< increases with each report of one incarnation
    std::uint32_t waiting = 0; ///< flows with an unanswered request
    std::uint32_t open = 0;    ///< open flows
    std::uint32_t slots = 0;   ///< requests that the backend server runs at once
    /// Smoothed time from the end of a request to its response.
    std::chrono::microseconds answerTime{0};
    double failureShare = 0; ///< smoothed share of responses that are errors, 0 to 1
    /// The backend server may hold flows that the sender, an agent, does not know.
    bool mayHoldUnknownFlows = false;
    bool hasOlderServer = false; ///< the sender's backend server ran before the sender's process
    /// What a balancer had in force before the configuration that the datagram names; 0 if it had
    /// none since its start.
    Model::Generation previousGeneration{};
    std::uint64_t rosterDigest = 0;
    bool wantsRoster = false; ///< the receiver sends its roster if the digests differ
    bool isLeaving = false;   ///< the sender leaves permanently after this report
    /// As known to the sender. An agent leaves them out while no domain is evacuated.
    Model::Evacuations evacuations;
    std::chrono::milliseconds startDelay{0}; ///< until the backend server may get another flow
    bool isWarmingUp = false;                ///< its warm-up rate applies, if there is one
};

/// Notifies an agent whose report shows other evacuations than the balancer knows.
struct EvacuationNotice
{
    Model::Evacuations evacuations;
};

/// Which members the roster of a balancer is certain to include.
enum class RosterScope {
    Reported, ///< those that reported to the balancer since its start
    Recorded, ///< these and the ones in the directory
    Complete, ///< all; a member that the roster omits is gone
};

/// Returns the name of \a scope in logs. Thread-safe.
const char *rosterScopeText(RosterScope scope);

/// All members of the sender's roster in a range of names, sorted by name.
struct RosterPart
{
    std::string balancer;  ///< name of the balancer that keeps the roster
    std::string afterName; ///< the range begins after this name
    bool isLast = false;   ///< the range is unbounded; otherwise it ends with the last member
    std::vector<Member> members;
    RosterScope scope = RosterScope::Complete;
};

/// Maximum number of members in one RosterPart, so that it fits into a common MTU.
constexpr std::size_t MaxMembersPerPart = 8;

/// Asks an agent which of some flows it owns.
struct OwnerQuery
{
    Model::Endpoint asker; ///< where the answer is sent
    std::vector<Model::FlowKey> flows;
};

/// Answers an OwnerQuery.
struct OwnerAnswer
{
    Routing::Hop answerer;
    bool knowsAllFlows = false; ///< its backend server holds no flow that the agent does not know
    std::vector<Model::FlowKey> denied; ///< flows that the agent does not own
    std::vector<Model::FlowKey> owned;
};

/// A part of what an agent that stops knows of the flows of its backend server. Peers keep it for
/// the agent's next process, and send it to that as an answer to HandoverRequest.
struct FlowHandover
{
    Model::InstanceId agent{};          ///< the agent whose flows these are
    Model::Incarnation incarnation{};   ///< of its process that stopped
    Model::InstanceId sender{};         ///< the agent that sends this datagram
    std::int64_t serverStartTimeMs = 0; ///< Unix time of the backend server's start
    bool knowsAllFlows = false;         ///< the server held no flow that the agent did not know
    Model::Incarnation successor{}; ///< in an answer: of a process that ran since; 0: none known
    std::uint16_t part = 0;
    std::uint16_t partCount = 0; ///< 0 in an answer: the sender keeps no handover of the agent
    std::vector<Model::FlowKey> flows;
};

/// Asks a peer for the handover of the requester's previous process.
struct HandoverRequest
{
    Routing::Hop requester; ///< with the incarnation of its present process
};

/// A message between balancers and agents over UDP.
struct Datagram
{
    Model::ServiceId service{};
    Model::Generation generation{};
    std::variant<PacketHeader, Redirects, Probe, ProbeAnswer, StateNotice, Report, RosterPart,
                 OwnerQuery, OwnerAnswer, EvacuationNotice, FlowHandover, HandoverRequest>
        content;
};

/// A received datagram; \c packet refers to the received bytes.
struct ReceivedDatagram
{
    Datagram datagram;
    Bytes packet; ///< the caller's packet; empty unless the content is a PacketHeader
};

/// Maximum number of flows in one Redirects, OwnerQuery, OwnerAnswer or FlowHandover message, so
/// that it fits into a common MTU.
constexpr std::size_t MaxFlowsPerRedirects = 48;

/// Maximum number of parts of a FlowHandover: more flows than a backend server may hold.
constexpr std::uint16_t MaxHandoverParts = 256;

/// Encodes \a datagram; a caller's packet is sent directly after it.
/// Precondition: a message contains at most MaxFlowsPerRedirects flows. Thread-safe.
std::vector<std::byte> encodeDatagram(const Datagram &datagram);

/// Does the same, but writes to \a encoded and reuses its memory.
void encodeDatagram(const Datagram &datagram, std::vector<std::byte> &encoded);

/// Decodes \a bytes; returns nothing if they are malformed or not aligned for Cap'n Proto.
/// Thread-safe.
std::optional<ReceivedDatagram> decodeDatagram(Bytes bytes);

} // namespace Tunnel
