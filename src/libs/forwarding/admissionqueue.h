#pragma once

#include "tunnel/datagram.h"
#include "tunnel/tcppacket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Forwarding {

/// Maximum number of SYNs that an agent holds. Suffices for a burst of 1,000 new flows per second
/// until their SYNs are retransmitted.
constexpr std::size_t MaxHeldSyns = 256;

/// Maximum number of requests on open flows that an agent holds, and of packets of one of them: a
/// caller has at most 16 packets in flight.
constexpr std::size_t MaxHeldRequests = 256;
constexpr std::size_t MaxPacketsPerRequest = 16;

/// Age up to which the first SYN of a flow without an objective can be served in time.
constexpr std::chrono::milliseconds DefaultTimelyLimit{60};

/// Of as many starts, one goes to the least urgent work that waits, so that it doesn't starve while
/// more urgent work fills the server.
constexpr std::uint32_t StarvationCycle = 16;

/// Holds SYNs and requests on open flows that wait for room at one backend server, and selects what
/// starts next.
///
/// Answers bursts and recoveries in which more work arrives than can be done in time. The most
/// urgent priority is served first. Of one priority and objective, the newest that can be in time
/// is first: if more arrives than can be served, the oldest first would make all of it late. Of
/// what is late already the newest comes first too, since the callers of older SYNs may have given
/// up. A caller retransmits a SYN only after 200 ms, while room appears within milliseconds.
/// Uses no sockets, threads or clocks; not thread-safe.
class AdmissionQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Entry
    {
        Tunnel::PacketHeader header;
        Tunnel::TcpPacket packet; ///< the first one of a request
        TimePoint since;
        TimePoint until; ///< when a SYN ends or a request starts anyway
        bool isRequest = false;
    };

    /// Holds \a packet, a SYN that arrived with \a header, in place of an earlier transmission of
    /// it. Returns false if the queue is full.
    bool holdSyn(TimePoint now, const Tunnel::PacketHeader &header,
                 const Tunnel::TcpPacket &packet);

    /// Holds \a packet, which begins a request on an open flow and arrived with \a header. The
    /// request starts after half of the objective in \c header.terms at the latest. Returns
    /// false if the queue is full.
    bool holdRequest(TimePoint now, const Tunnel::PacketHeader &header,
                     const Tunnel::TcpPacket &packet);

    enum class Addition { NotHeld, Added, Duplicate, Full };

    /// Adds \a packet to the held request of its flow, if there is one.
    Addition addToRequest(const Tunnel::TcpPacket &packet);

    /// Whether a SYN waits that is more urgent than \a terms and can still be in time, given the
    /// time \a response that a response takes.
    bool hasMoreUrgentSyn(TimePoint now, const Tunnel::FlowTerms &terms,
                          std::chrono::microseconds response);

    /// Removes and returns what starts next, given the time \a response that a response takes;
    /// nothing if nothing waits.
    std::optional<Entry> take(TimePoint now, std::chrono::microseconds response);

    /// Removes and returns the requests that start now anyway: those held until their limit, or
    /// all if \a takesAll.
    std::vector<Entry> takeDueRequests(TimePoint now, bool takesAll);

    /// Removes the SYNs that were held until their time limit, and returns their flows.
    std::vector<Model::FlowKey> expire(TimePoint now);

    /// Removes the held request of \a flow, whose caller ended it. Returns whether there was one.
    bool removeRequest(const Model::FlowKey &flow);

    std::size_t synCount() const { return synCount_; }
    std::size_t requestCount() const { return requests_.size(); }

private:
    /// Entries with the same priority and objective, oldest first.
    struct Class
    {
        std::deque<Entry> timely;
        std::deque<Entry> late;

        bool isEmpty() const { return timely.empty() && late.empty(); }
    };

    /// Priority and objective; the most urgent first.
    using ClassKey = std::pair<std::uint32_t, std::chrono::milliseconds>;

    static ClassKey keyOf(const Tunnel::FlowTerms &terms);
    void moveLate(TimePoint now, std::chrono::microseconds response);
    Entry takeFrom(std::deque<Entry> &entries, bool takesOldest);
    void onRemoved(const Entry &entry);
    template<typename F>
    std::vector<Entry> removeIf(F isWanted);

    std::map<ClassKey, Class> classes_;
    std::unordered_map<Model::FlowKey, std::vector<std::uint32_t>> requests_; ///< held sequences
    std::size_t synCount_ = 0;
    std::uint32_t starts_ = 0;
};

} // namespace Forwarding
