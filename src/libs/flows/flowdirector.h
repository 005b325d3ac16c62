#pragma once

#include "routing/routingtable.h"
#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/// Decides, on an agent, who owns a flow. Without sockets, threads or clocks.
namespace Flows {

using TimePoint = std::chrono::steady_clock::time_point;

/// How long an answered SYN may wait for its ACK.
constexpr std::chrono::seconds HalfOpenTimeout{20};

/// How long a closed flow's last packets are still taken.
constexpr std::chrono::seconds ClosedFlowLifetime{30};

/// How long an unused redirect is kept.
constexpr std::chrono::minutes RedirectLifetime{5};

/// Shortest time between two notices about one flow to its first-ranked agent.
constexpr std::chrono::seconds NoticeInterval{1};

/// How often agents may pass a packet on before it counts as going in circles.
constexpr std::uint8_t MaxPasses = 8;

/// Bound of the same for a search over a whole service, with a margin over its largest size.
constexpr std::uint8_t MaxSearchPasses = 200;

/// How often a packet may follow a redirect; after that it only walks its chain, since two agents
/// may hold each other for the owner.
constexpr std::uint8_t MaxRedirects = 3;

enum class DropCause {
    OtherService,  ///< the packet is meant for another service
    OtherInstance, ///< the packet is meant for another instance
    TooManyPasses, ///< the packet goes in circles
    NoOwner,       ///< the end of the chain, and nobody owned the flow
    NoRoom,        ///< a new flow that no instance of the chain could take
    FlowMoving,    ///< the flow is on its way to another agent; the caller sends again
};

constexpr std::size_t DropCauseCount = 6;

/// How far an acknowledgement may lie below the end of a closed flow and still belong to it.
constexpr std::uint32_t ClosedAckRange = 256 * 1024;

/// Returns the name of \a cause in metrics and dumps. Thread-safe.
const char *dropCauseText(DropCause cause);

/// The packet is for this agent's TCP stack.
struct Deliver
{};

/// The packet goes to the hop at \c header.position of its chain.
struct ForwardToHop
{
    Tunnel::PacketHeader header;
};

struct Drop
{
    DropCause cause;
};

/// \c receiver is to learn that this agent owns the flow.
struct OwnershipNotice
{
    Routing::Hop receiver;
    Tunnel::ClaimedFlow flow;
};

struct Decision
{
    std::variant<Deliver, ForwardToHop, Drop> verdict;
    std::optional<OwnershipNotice> notice;
    bool replacesEarlierFlow = false; ///< the stack drops what it holds under this key, silently
};

/// What the agent's own counts say of a new flow.
struct Availability
{
    bool isReady = false;  ///< neither draining nor stopped
    bool hasFreeSlot = false; ///< a slot is free and nothing waits
    bool isBelowConnectionLimit = false;  ///< below the limit of connections
};

/// Flow ownership of one agent. Not thread-safe: one traffic thread drives it.
class FlowDirector
{
public:
    /// \a self names this agent in chains of \a service.
    FlowDirector(Routing::Hop self, Model::ServiceId service);

    /// Decides on \a packet that arrived under \a header for \a service.
    Decision onPacket(TimePoint now, Model::ServiceId service, const Tunnel::PacketHeader &header,
                      const Tunnel::TcpPacket &packet, const Availability &room);

    /// Notes the first sequence number that the stack chose in answer to a SYN.
    void onSynAckSent(const Model::FlowKey &flow, std::uint32_t initialSequence);

    /// Notes that the stack closes \a flow; its last byte has a number below \a endSequence.
    void onClosed(TimePoint now, const Model::FlowKey &flow, std::uint32_t endSequence);

    /// Notes that the stack knows \a flow no more.
    void onFlowRemoved(const Model::FlowKey &flow);

    /// Notes that \a owner says it owns \a flows.
    void onRedirects(TimePoint now, const Routing::Hop &owner,
                     const std::vector<Tunnel::ClaimedFlow> &flows);

    /// Says that the backend server may hold flows that this agent knows nothing of, since it
    /// started after them. Such packets are delivered, and come back by onReturnedByBackend().
    void setMayHoldUnknownFlows(bool mayHold) { mayHoldUnknownFlows_ = mayHold; }

    /// Decides on \a packet that the backend server returned, since it holds no such flow or can't
    /// accept it. \a header is what the packet arrived under.
    Decision onReturnedByBackend(TimePoint now, const Tunnel::PacketHeader &header,
                                const Tunnel::TcpPacket &packet);

    /// Notes that the backend server sent a packet of \a flow, which shows that it holds it.
    /// Returns whether the flow was not known here.
    bool onPacketFromBackend(TimePoint now, const Model::FlowKey &flow);

    /// Forgets established flows without a packet since \a limit; returns them.
    std::vector<Model::FlowKey> forgetIdle(TimePoint limit);

    /// Notes which instances \a table says are alive.
    void onTableChanged(const Routing::ServiceTable &table);

    /// Holds back the packets of an owned flow while it is moved.
    void beginMove(const Model::FlowKey &flow);

    /// Ends a move that the receiver refused; the flow is owned here as before.
    void cancelMove(const Model::FlowKey &flow);

    /// Ends a move; packets of \a flow go to \a owner from now on.
    void completeMove(TimePoint now, const Model::FlowKey &flow, const Routing::Hop &owner);

    /// Takes over a flow that another agent moved here, and that has \a epoch from now on.
    void adopt(TimePoint now, const Model::FlowKey &flow, Tunnel::Epoch epoch);

    /// Returns the epoch that an owned flow will have after a move.
    Tunnel::Epoch epochAfterMove(const Model::FlowKey &flow) const;

    /// Drops what is over; returns half-open flows for the stack to forget silently.
    std::vector<Model::FlowKey> expire(TimePoint now);

    /// Returns, per first-ranked agent in \a table, the owned flows that it is to learn of.
    std::vector<std::pair<Routing::Hop, std::vector<Tunnel::ClaimedFlow>>>
    ownershipNotices(const Routing::ServiceTable &table) const;

    /// Whether \a flow is established here.
    bool owns(const Model::FlowKey &flow) const;

    /// Returns the established flows, in no order.
    std::vector<Model::FlowKey> ownedFlows() const;

    /// Returns the flows that count against the limit of connections.
    std::size_t openCount() const { return openCount_; }
    std::size_t redirectCount() const { return redirects_.size(); }

private:
    enum class Phase { HalfOpen, Established, Moving, Closed };

    struct Flow
    {
        Phase phase = Phase::HalfOpen;
        Tunnel::Epoch epoch{};
        std::uint32_t endSequence = 0; ///< in Phase::Closed
        std::optional<std::uint32_t> initialSequence;
        TimePoint since;
        TimePoint lastUse;
        TimePoint lastNotice;
    };

    /// Who says to own a flow, newest claim first. A half-open flow may have several answering
    /// agents, of which only the caller's ACK tells the owner.
    struct Redirect
    {
        Routing::Chain claimants;
        Tunnel::Epoch epoch{};
        TimePoint lastUse;
    };

    using Flows = std::unordered_map<Model::FlowKey, Flow>;

    void redirect(TimePoint now, const Tunnel::ClaimedFlow &flow, const Routing::Hop &owner);
    Decision passToOwner(const Tunnel::PacketHeader &header, const Redirect &redirect) const;
    bool isAlive(const Routing::Hop &hop) const;
    std::optional<Decision> onOwnedFlow(TimePoint now, const Tunnel::PacketHeader &header,
                                        const Tunnel::TcpPacket &packet);
    Decision onNewFlow(TimePoint now, const Tunnel::PacketHeader &header,
                       const Tunnel::TcpPacket &packet, const Availability &room, bool isThisIncarnation);
    std::optional<OwnershipNotice> noticeFor(TimePoint now, const Tunnel::PacketHeader &header,
                                           const Model::FlowKey &key, Flow &flow);
    void forget(Flows::iterator flow);

    Routing::Hop self_;
    Model::ServiceId service_;
    Flows flows_;
    std::unordered_map<Model::FlowKey, Redirect> redirects_;
    std::unordered_map<Model::InstanceId, Model::Incarnation> alive_;
    std::set<Model::InstanceId> known_; ///< those of the table, suspect ones too
    std::set<Model::InstanceId> gone_;  ///< those that left the table
    std::size_t openCount_ = 0;
    bool mayHoldUnknownFlows_ = false;
};

/// Extends a search that ended with its chain to the instances of \a table that were not asked.
/// Returns nothing when all were asked, or the packet was passed on as often as is allowed.
std::optional<Tunnel::PacketHeader> continueSearch(const Routing::ServiceTable &table,
                                                   const Tunnel::PacketHeader &header,
                                                   const Model::FlowKey &flow);

} // namespace Flows
