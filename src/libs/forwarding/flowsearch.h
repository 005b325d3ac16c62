#pragma once

#include "forwarding/controlpacer.h"
#include "routing/routingtable.h"
#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Forwarding {

/// Flows that an agent searches for at once: those that its share of 2,000 callers left open
/// with servers that lost power, with a margin of four.
constexpr std::size_t MaxSearchedFlows = 256;

/// How often peers that did not answer are asked again. While some don't answer, new flows wait for
/// the next round too: a round costs each agent a datagram to and from each other, and five a
/// second of a start are a third of what 0.15 cores can send. A third of the tightest latency
/// objective.
constexpr std::chrono::milliseconds QueryInterval{100};

/// How long a packet is held while its flow is searched for: a second beyond the longest pause
/// between two copies of it, 1.6 s, so that a caller who still waits has renewed it.
constexpr std::chrono::milliseconds SearchTime{2600};

/// Finds the owners of flows by asking all agents of the service at once.
///
/// Answers the return of a whole system: every caller's next packet is of a flow that nobody holds,
/// and passing each packet through all agents would take the time that new flows need. A flow is
/// denied only when every agent that the view names has said so itself, so that agents that are
/// still to return keep it undecided. Without sockets, threads or clocks; not thread-safe.
class FlowSearch
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A packet whose flow is searched for.
    struct HeldPacket
    {
        Tunnel::PacketHeader header;
        Tunnel::TcpPacket packet;
    };

    /// \a self is the agent that searches; it is not asked.
    explicit FlowSearch(Routing::Hop self);

    /// Sets the agents of \a table to be asked.
    void setPeers(const Routing::ServiceTable &table);

    /// Searches for the flow of \a packet, and holds the packet in place of an earlier one.
    /// Returns whether there was room.
    bool hold(TimePoint now, const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet);

    /// Takes an answer of a peer.
    void onAnswer(const Tunnel::FlowAnswer &answer);

    /// Returns the queries that are due now for \a service.
    std::vector<Outgoing> queries(TimePoint now, Model::ServiceId service);

    /// Returns packets of flows that a peer owns; they are held no more.
    std::vector<std::pair<HeldPacket, Routing::Hop>> takeFound();

    /// Returns packets that all peers which run denied, but some of them can't know their flows
    /// before their backend servers see the packet; they are held no more.
    std::vector<HeldPacket> takeUnsure();

    /// Returns packets of flows that every peer denied; they are held no more. Not called while
    /// the view may miss an agent.
    std::vector<HeldPacket> takeDenied();

    /// Returns the flows whose packets were held in vain; they are forgotten.
    std::vector<Model::FlowKey> expire(TimePoint now);

    std::size_t size() const { return searches_.size(); }

private:
    struct Peer
    {
        Routing::Hop hop;
        bool isSuspect = false;
    };

    struct Search
    {
        HeldPacket held;
        TimePoint since; ///< the latest copy of the packet
        bool wasAsked = false;
        std::set<Model::InstanceId> denied;
        std::set<Model::InstanceId> unsure; ///< denied by what they know, which may not be all
        std::vector<Routing::Hop> owners;
    };

    struct Query
    {
        TimePoint since;
        std::vector<Model::FlowKey> flows;
    };

    /// Moves the packets of the searches that \a isOver to the result.
    template<typename F>
    std::vector<HeldPacket> take(F isOver);

    std::map<Model::InstanceId, Peer> peers_;
    Model::InstanceId self_;
    Routing::Hop selfHop_;
    std::unordered_map<Model::FlowKey, Search> searches_;
    std::map<std::uint64_t, Query> queries_;
    std::uint64_t queryNumber_ = 0;
    TimePoint lastRound_;
};

} // namespace Forwarding
