#pragma once

#include "forwarding/agentcore.h"
#include "forwarding/decisionlog.h"
#include "forwarding/packetcodec.h"
#include "forwarding/trafficthread.h"

#include <prometheus/histogram.h>

#include <atomic>
#include <mutex>

namespace Forwarding {

/// Counters of one agent since its start.
struct AgentCounters
{
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> unreadable = 0;
    std::atomic<std::uint64_t> delivered = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> returned = 0;
    std::atomic<std::uint64_t> passedOn = 0;
    std::atomic<std::uint64_t> resets = 0;
    std::atomic<std::uint64_t> held = 0;
    std::array<std::atomic<std::uint64_t>, Flows::DropCauseCount> drops{};
};

/// Returns the bucket boundaries of the response time histogram in seconds. They lie around the
/// latency objectives of the deployments, 0.12 to 0.8 s.
inline prometheus::Histogram::BucketBoundaries answerBuckets()
{
    return {0.01, 0.02, 0.05, 0.12, 0.25, 0.5, 0.8, 2, 8};
}

/// Forwards packets between balancers, a backend server and callers as decided by an AgentCore.
/// Public methods are thread-safe.
template<PacketCodec Codec>
class AgentTraffic
{
public:
    struct Options
    {
        AgentCore::Options core;
        Model::Endpoint outbound;     ///< where the agent receives packets of the backend server
        std::uint16_t callerPort = 0; ///< UDP port of all callers
    };

    /// Binds the sockets. Throws std::system_error if that fails.
    explicit AgentTraffic(const Options &options)
        : outbound_(options.outbound)
        , tunnel_(options.core.self.instance.tunnel)
        , callerPort_(options.callerPort)
        , backend_(options.core.backend)
        , core_(std::chrono::steady_clock::now(), options.core)
        , thread_(*this, tunnel_.descriptor(), outbound_.descriptor())
    {}

    /// Starts forwarding packets. Must be called at most once.
    void start() { thread_.start(); }

    /// Calls \a use with the core, which is locked meanwhile, and returns its result.
    template<typename F>
    auto withCore(F use)
    {
        const std::lock_guard guard(mutex_);
        return use(core_);
    }

    /// Stops forwarding, and announces to all balancers that this process ends.
    void stop()
    {
        thread_.stop();
        const std::lock_guard guard(mutex_);
        control_.send(tunnel_.descriptor(), core_.finalReports(std::chrono::steady_clock::now()));
    }

    const AgentCounters &counters() const { return counters_; }

    /// Returns the histogram of the times from the last bytes of a request to its response.
    prometheus::Histogram &answerSeconds() { return answerSeconds_; }

    /// Called on the traffic thread.
    void onBatch(TimePoint now, std::size_t socket, Tunnel::ReceiveBatch &batch, std::size_t count)
    {
        const std::lock_guard guard(mutex_);
        headerCount_ = 0;
        counters_.received += count;
        for (std::size_t index = 0; index < count; ++index) {
            if (socket == 0)
                processFromPeers(now, batch.writable(index));
            else
                processFromBackend(now, batch.writable(index));
        }
        admitHeld(now);
        toBackend_.flush(outbound_.descriptor());
        toCallers_.flush(outbound_.descriptor());
        toPeers_.flush(tunnel_.descriptor());
        control_.send(tunnel_.descriptor(), core_.takeUrgentDatagrams());
    }

    /// Called on the traffic thread.
    void onTick(TimePoint now)
    {
        const std::lock_guard guard(mutex_);
        control_.send(tunnel_.descriptor(), core_.tick(now));
        const AgentStatus status = core_.status(now);
        if (status.isAccepting != wasAccepting_)
            logAccepting(status);
        wasAccepting_ = status.isAccepting;
        if (const auto outcome = core_.takeTakeoverOutcome())
            logTakeover(*outcome);
        sendResets();
        for (const std::chrono::duration<double> answerTime : core_.takeAnswerTimes())
            answerSeconds_.Observe(answerTime.count());
        admitHeld(now);
        toBackend_.flush(outbound_.descriptor());
    }

private:
    void processFromPeers(TimePoint now, std::span<std::byte> bytes)
    {
        const auto received = Tunnel::decodeDatagram(bytes);
        if (!received) {
            ++counters_.unreadable;
            return;
        }
        const Tunnel::Datagram &datagram = received->datagram;
        const auto *const header = std::get_if<Tunnel::PacketHeader>(&datagram.content);
        if (!header) {
            core_.onDatagram(now, datagram);
            return;
        }
        const auto carried = bytes.last(received->packet.size());
        const auto packet = Codec::parse(carried);
        if (!packet) {
            ++counters_.unreadable;
            return;
        }
        const Tunnel::TcpPacket segment = callerSegment(*packet);
        const auto verdict = core_.onCallerPacket(now, datagram.service, *header, segment);
        logDecision(segment, *header, verdict);
        applyVerdict(segment, verdict, carried);
    }

    void processFromBackend(TimePoint now, std::span<std::byte> bytes)
    {
        const auto packet = Codec::parse(bytes);
        if (!packet) {
            ++counters_.unreadable;
            return;
        }
        if (!packet->isReturned) {
            const Tunnel::TcpPacket segment = backendSegment(*packet);
            if (segment.rst)
                logBackendReset(segment);
            const auto status =
                segment.payloadBytes > 0 ? Codec::responseStatus(bytes) : std::nullopt;
            applyVerdict(segment, core_.onBackendPacket(now, segment, status), bytes);
            if (status && isServerError(*status))
                logFailedAnswer(segment, *status, core_.status(now));
            return;
        }
        ++counters_.returned;
        const Tunnel::TcpPacket segment = callerSegment(*packet);
        const auto verdict = core_.onReturnedPacket(now, segment, packet->mark);
        logReturned(segment, verdict);
        Codec::clearReturned(bytes);
        applyVerdict(segment, verdict, bytes);
    }

    void applyVerdict(const Tunnel::TcpPacket &segment, const AgentVerdict &verdict,
                      std::span<std::byte> bytes)
    {
        if (const auto *delivery = std::get_if<DeliverToBackend>(&verdict)) {
            ++counters_.delivered;
            if (segment.payloadBytes > 0) {
                if (const auto id = Codec::requestId(bytes))
                    logRequest(*id, segment, core_.status(std::chrono::steady_clock::now()));
            }
            Codec::setMark(bytes, delivery->mark);
            toBackend_.add({}, bytes, backend_);
        } else if (const auto *answer = std::get_if<SendToCaller>(&verdict)) {
            ++counters_.answered;
            toCallers_.add({}, bytes, {answer->caller.address, callerPort_});
        } else if (const auto *forwardPacket = std::get_if<ForwardPacket>(&verdict)) {
            ++counters_.passedOn;
            std::vector<std::byte> &header = headers_[headerCount_++];
            Tunnel::encodeDatagram(forwardPacket->datagram, header);
            toPeers_.add(header, bytes, forwardPacket->receiver);
        } else if (const auto *returned = std::get_if<ReturnToOrigin>(&verdict)) {
            ++counters_.passedOn;
            std::vector<std::byte> &header = headers_[headerCount_++];
            Tunnel::encodeDatagram(returned->datagram, header);
            toPeers_.add(header, bytes, returned->receiver);
        } else if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
            sendReset(*reset);
        } else if (const auto *hold = std::get_if<HoldPacket>(&verdict)) {
            ++counters_.held;
            std::vector<std::vector<std::byte>> &packets = held_[segment.flow];
            if (!hold->isAddition)
                packets.clear();
            packets.emplace_back(bytes.begin(), bytes.end());
        } else {
            ++counters_.drops[std::size_t(std::get<Flows::DropCause>(verdict))];
        }
    }

    /// Delivers held packets that are admitted, and drops those that were held too long.
    void admitHeld(TimePoint now)
    {
        for (const AdmittedFlow &admitted : core_.takeAdmitted(now)) {
            const auto held = held_.find(admitted.flow);
            if (held == held_.end())
                continue;
            logAdmitted(admitted.flow);
            for (std::vector<std::byte> &packet : held->second) {
                ++counters_.delivered;
                Codec::setMark(packet, admitted.mark);
                Tunnel::sendDatagram(outbound_.descriptor(), packet, {}, backend_);
            }
            held_.erase(held);
        }
        for (const Model::FlowKey &flow : core_.takeExpired(now)) {
            logExpired(flow);
            held_.erase(flow);
        }
    }

    void sendReset(const ResetFlow &reset)
    {
        ++counters_.resets;
        Tunnel::sendDatagram(outbound_.descriptor(),
                             Codec::reset(reset.flow, reset.acknowledgement), {},
                             {reset.flow.caller.address, callerPort_});
    }

    void sendResets()
    {
        for (const ResetFlow &reset : core_.takeResets()) {
            logReset(reset, "backend-ended", {});
            sendReset(reset);
        }
    }

    OwnedSocket outbound_;
    OwnedSocket tunnel_;
    std::uint16_t callerPort_;
    Model::Endpoint backend_;
    std::mutex mutex_; ///< guards core_ and the buffers
    AgentCore core_;
    AgentCounters counters_;
    prometheus::Histogram answerSeconds_{answerBuckets()};
    Tunnel::SendBatch toBackend_;
    Tunnel::SendBatch toCallers_;
    Tunnel::SendBatch toPeers_;
    std::array<std::vector<std::byte>, Tunnel::BatchPackets> headers_;
    std::size_t headerCount_ = 0;
    std::unordered_map<Model::FlowKey, std::vector<std::vector<std::byte>>> held_; ///< packets
    ControlSender control_;
    bool wasAccepting_ = false;
    TrafficThread<AgentTraffic> thread_;
};

} // namespace Forwarding
