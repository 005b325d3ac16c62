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

/// Tracks which agent owns a flow. Uses no sockets, threads or clocks.
namespace Flows {

using TimePoint = std::chrono::steady_clock::time_point;

/// Time after the SYN at which a half-open flow expires if the caller's ACK has not arrived.
constexpr std::chrono::seconds HalfOpenTimeout{20};

/// Time for which the last packets of a closed flow are still delivered.
constexpr std::chrono::seconds ClosedFlowLifetime{30};

/// Time after which an unused redirect expires.
constexpr std::chrono::minutes RedirectLifetime{5};

/// How long a flow is remembered that the backend server returned: no caller uses one for longer.
constexpr std::chrono::minutes ReturnedFlowLifetime{1};

/// Maximum number of such flows; further ones are tried on the server again.
constexpr std::size_t MaxReturnedFlows = 4096;

/// Minimum time between two ownership notices for one flow to its first-ranked agent.
constexpr std::chrono::seconds NoticeInterval{1};

/// Maximum number of times that agents forward a packet; more would be a forwarding loop.
constexpr std::uint8_t MaxPasses = 8;

/// The same limit for a search over all instances of a service. It has a margin over the largest
/// size of a service.
constexpr std::uint8_t MaxSearchPasses = 200;

/// Number of redirects that a packet may follow. After that it only follows its chain, since two
/// agents may redirect to each other.
constexpr std::uint8_t MaxRedirects = 3;

enum class DropCause {
    OtherService,  ///< the packet is addressed to another service
    OtherInstance, ///< the packet is addressed to another instance
    TooManyPasses, ///< agents forwarded the packet too often
    NoOwner,       ///< the chain ended and no agent in it owned the flow
    NoRoom,        ///< no instance of the chain could accept the new flow
    FlowMoving,    ///< the flow is being moved to another agent; the caller retransmits
};

constexpr std::size_t DropCauseCount = 6;

/// How far, in bytes, an acknowledgement may be below the end of a closed flow and still belong to
/// it.
constexpr std::uint32_t ClosedAckRange = 256 * 1024;

/// Returns the name of \a cause in metrics and state dumps. Thread-safe.
const char *dropCauseText(DropCause cause);

/// Deliver the packet to this agent's backend: its TCP stack or its backend server.
struct Deliver
{};

/// Forward the packet to the hop at \c header.position of \c header.chain.
struct ForwardToHop
{
    Tunnel::PacketHeader header;
};

struct Drop
{
    DropCause cause;
    Routing::SearchFindings findings; ///< of the search, if no agent of the chain owned the flow
};

/// Notify \c receiver that this agent owns \c flow.
struct OwnershipNotice
{
    Routing::Hop receiver;
    Tunnel::ClaimedFlow flow;
};

struct Decision
{
    std::variant<Deliver, ForwardToHop, Drop> verdict;
    std::optional<OwnershipNotice> notice;
    bool replacesEarlierFlow =
        false; ///< the stack discards its flow with this key, without a reset
};

/// Whether the agent can accept a new flow, derived from its own counters.
struct Availability
{
    bool isReady = false;                ///< neither draining nor stopped
    bool hasFreeSlot = false;            ///< a request slot is free and no request is queued
    bool isBelowConnectionLimit = false; ///< the number of flows is below the connection limit
};

/// Flow ownership as one agent sees it: the flows that it owns, and redirects to the owners of
/// other flows. Not thread-safe; used by one traffic thread.
class FlowDirector
{
public:
    /// \a self is this agent's entry in chains of \a service.
    FlowDirector(Routing::Hop self, Model::ServiceId service);

    /// Returns what to do with \a packet, which arrived for \a service with \a header. \a
    /// availability is used for a packet that opens a flow. Precondition: \c header.position is an
    /// index into \c header.chain.
    Decision onPacket(TimePoint now, Model::ServiceId service, const Tunnel::PacketHeader &header,
                      const Tunnel::TcpPacket &packet, const Availability &availability);

    /// Records the initial sequence number in the SYN-ACK that the stack sent.
    void onSynAckSent(const Model::FlowKey &flow, std::uint32_t initialSequence);

    /// Records that the stack closes \a flow, whose last byte has a sequence number below
    /// \a endSequence.
    void onClosed(TimePoint now, const Model::FlowKey &flow, std::uint32_t endSequence);

    /// Records that the stack has removed \a flow.
    void onFlowRemoved(const Model::FlowKey &flow);

    /// Records that \a owner claims to own \a flows. Claims to flows that this agent owns are
    /// ignored.
    void onRedirects(TimePoint now, const Routing::Hop &owner,
                     const std::vector<Tunnel::ClaimedFlow> &flows);

    /// Sets whether the backend server may hold flows without an entry here, because they were
    /// opened before this agent started. While set, packets of unknown flows are delivered; those
    /// that the backend server returns are passed to onReturnedByBackend().
    void setMayHoldUnknownFlows(bool mayHold) { mayHoldUnknownFlows_ = mayHold; }
    bool mayHoldUnknownFlows() const { return mayHoldUnknownFlows_; }

    /// Sets whether this agent is about to learn which flows the backend server holds. While set,
    /// packets of unknown flows are not delivered.
    void setAwaitsHandover(bool awaits) { awaitsHandover_ = awaits; }

    /// Returns what to do with \a packet, which the backend server returned because it has no such
    /// flow or can't accept it. \a header is the header with which the packet arrived.
    Decision onReturnedByBackend(TimePoint now, const Tunnel::PacketHeader &header,
                                 const Tunnel::TcpPacket &packet);

    /// Records that the backend server sent a packet of \a flow and therefore holds it. Returns
    /// true if \a flow had no entry here; it is then added as an owned flow.
    bool onPacketFromBackend(TimePoint now, const Model::FlowKey &flow);

    /// Removes and returns the established flows whose last packet arrived before \a limit.
    std::vector<Model::FlowKey> forgetIdle(TimePoint limit);

    /// Determines from \a table which instances are alive, suspect or removed.
    void onTableChanged(const Routing::ServiceTable &table);

    /// Marks an owned flow as being moved; its packets are dropped until the move ends.
    void beginMove(const Model::FlowKey &flow);

    /// Ends a move that the receiver refused. This agent still owns the flow.
    void cancelMove(const Model::FlowKey &flow);

    /// Ends a move that succeeded. Packets of \a flow are forwarded to \a owner from now on.
    void completeMove(TimePoint now, const Model::FlowKey &flow, const Routing::Hop &owner);

    /// Adds \a flow, which another agent moved to this one, as an owned flow with \a epoch.
    void adopt(TimePoint now, const Model::FlowKey &flow, Tunnel::Epoch epoch);

    /// Returns the epoch that an owned flow has after its next move.
    Tunnel::Epoch epochAfterMove(const Model::FlowKey &flow) const;

    /// Removes expired entries. Returns the expired half-open flows, which the stack has to discard
    /// without a reset.
    std::vector<Model::FlowKey> expire(TimePoint now);

    /// Returns the best-ranked agent of \a flow in \a table other than this one, which keeps a
    /// redirect to the owner also for this agent's own next start; nothing if there is no other.
    std::optional<Routing::Hop> firstOther(const Routing::ServiceTable &table,
                                           const Model::FlowKey &flow) const;

    /// Returns for each agent that firstOther() selects the flows to claim in a notice to it:
    /// established flows, and half-open ones whose SYN was answered.
    std::vector<std::pair<Routing::Hop, std::vector<Tunnel::ClaimedFlow>>>
    ownershipNotices(const Routing::ServiceTable &table) const;

    /// Returns whether this agent owns \a flow, which is established or being moved.
    bool owns(const Model::FlowKey &flow) const;

    /// Returns whether this agent owns \a flow, or will if the caller confirms the handshake that
    /// was answered here.
    bool mayOwn(const Model::FlowKey &flow) const;

    /// Returns the flows for which mayOwn() holds, in unspecified order.
    std::vector<Model::FlowKey> possiblyOwnedFlows() const;

    /// Returns the established flows in unspecified order, without those being moved.
    std::vector<Model::FlowKey> ownedFlows() const;

    /// Returns the number of flows that count towards the connection limit: all but closed ones.
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

    /// The agents that claim to own a flow, newest claim first. Several agents may have answered
    /// the SYN of a half-open flow; only the caller's ACK shows which of them owns it.
    struct Redirect
    {
        Routing::Chain claimants;
        Tunnel::Epoch epoch{};
        TimePoint lastUse;
    };

    using Flows = std::unordered_map<Model::FlowKey, Flow>;

    void addClaim(TimePoint now, const Tunnel::ClaimedFlow &flow, const Routing::Hop &owner);
    Decision forwardToOwner(const Tunnel::PacketHeader &header, const Redirect &redirect) const;
    Redirect *usableRedirect(TimePoint now, const Tunnel::PacketHeader &header,
                             const Model::FlowKey &flow);
    bool isAlive(const Routing::Hop &hop) const;
    bool mayHold(const Model::FlowKey &flow) const;
    std::optional<Decision> onOwnedFlow(TimePoint now, const Tunnel::PacketHeader &header,
                                        const Tunnel::TcpPacket &packet);
    Decision onNewFlow(TimePoint now, const Tunnel::PacketHeader &header,
                       const Tunnel::TcpPacket &packet, const Availability &availability,
                       bool isThisIncarnation);
    std::optional<OwnershipNotice> noticeFor(TimePoint now, const Tunnel::PacketHeader &header,
                                             const Model::FlowKey &key, Flow &flow);
    void forget(Flows::iterator flow);

    Routing::Hop self_;
    Model::ServiceId service_;
    Flows flows_;
    std::unordered_map<Model::FlowKey, Redirect> redirects_;
    std::unordered_map<Model::FlowKey, TimePoint> returned_; ///< flows that the server doesn't hold
    std::unordered_map<Model::InstanceId, Model::Incarnation> alive_;
    std::set<Model::InstanceId> listed_;  ///< instances in the table, suspect ones included
    std::set<Model::InstanceId> removed_; ///< instances that were removed from the table
    std::size_t openCount_ = 0;
    bool mayHoldUnknownFlows_ = false;
    bool awaitsHandover_ = false;
};

} // namespace Flows
