#pragma once

#include "forwarding/balancercore.h"
#include "forwarding/decisionlog.h"
#include "forwarding/packetcodec.h"
#include "forwarding/trafficthread.h"

#include <atomic>
#include <mutex>

namespace Forwarding {

/// Counters of one balancer since its start.
struct BalancerCounters
{
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> unreadable = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<std::uint64_t> resets = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::uint64_t> searched = 0; ///< packets that a service returned without an owner
};

/// Forwards callers' packets to agents as decided by a BalancerCore. Public methods are
/// thread-safe.
template<PacketCodec Codec>
class BalancerTraffic
{
public:
    struct Options
    {
        BalancerCore::Options core;
        Model::Endpoint callers; ///< where callers' packets arrive
    };

    /// Binds the sockets. Throws std::system_error if that fails.
    explicit BalancerTraffic(const Options &options)
        : callers_(options.callers)
        , tunnel_(options.core.self.instance.tunnel)
        , callerPort_(options.callers.port)
        , core_(std::chrono::steady_clock::now(), options.core)
        , thread_(*this, callers_.descriptor(), tunnel_.descriptor())
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

    /// Replaces the configuration, and announces that to all balancers; see
    /// BalancerCore::setConfiguration().
    void setConfiguration(const Model::Configuration &configuration, Routing::Succession succession)
    {
        const std::lock_guard guard(mutex_);
        control_.send(tunnel_.descriptor(), core_.setConfiguration(std::chrono::steady_clock::now(),
                                                                   configuration, succession));
    }

    /// Stops forwarding, and announces to all balancers that this process ends: permanently if
    /// \a isPermanent, or else for a restart.
    void stop(bool isPermanent)
    {
        thread_.stop();
        const std::lock_guard guard(mutex_);
        control_.send(tunnel_.descriptor(),
                      core_.finalReports(std::chrono::steady_clock::now(), isPermanent));
    }

    const BalancerCounters &counters() const { return counters_; }

    /// Called on the traffic thread.
    void onBatch(TimePoint now, std::size_t socket, const Tunnel::ReceiveBatch &batch,
                 std::size_t count)
    {
        const std::lock_guard guard(mutex_);
        if (socket == 0)
            forward(now, batch, count);
        else
            processControl(now, batch, count);
    }

    /// Called on the traffic thread.
    void onTick(TimePoint now)
    {
        const std::lock_guard guard(mutex_);
        control_.send(tunnel_.descriptor(), core_.tick(now));
        resetLostFlows(now);
        if (core_.table().version() != loggedVersion_)
            logView(core_.roster(), core_.configuration().generation);
        loggedVersion_ = core_.table().version();
        if (core_.evacuations().domains != loggedEvacuations_)
            logEvacuations(core_.evacuations());
        loggedEvacuations_ = core_.evacuations().domains;
    }

private:
    void forward(TimePoint now, const Tunnel::ReceiveBatch &batch, std::size_t count)
    {
        counters_.received += count;
        std::size_t headerCount = 0;
        for (std::size_t index = 0; index < count; ++index) {
            const auto packet = Codec::parse(batch.datagram(index));
            if (!packet) {
                ++counters_.unreadable;
                continue;
            }
            const Tunnel::TcpPacket segment = callerSegment(*packet);
            const BalancerVerdict verdict = core_.onCallerPacket(now, segment);
            logDecision(segment, verdict, core_.configuration().generation);
            if (const auto *forwardPacket = std::get_if<ForwardPacket>(&verdict)) {
                std::vector<std::byte> &header = headers_[headerCount++];
                Tunnel::encodeDatagram(forwardPacket->datagram, header);
                outgoing_.add(header, batch.datagram(index), forwardPacket->receiver);
            } else if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
                sendReset(*reset);
            } else {
                ++counters_.dropped;
            }
        }
        counters_.forwarded += outgoing_.flush(tunnel_.descriptor());
    }

    void sendReset(const ResetFlow &reset)
    {
        ++counters_.resets;
        Tunnel::sendDatagram(callers_.descriptor(), Codec::reset(reset.flow, reset.acknowledgement),
                             {}, {reset.flow.caller.address, callerPort_});
    }

    void processControl(TimePoint now, const Tunnel::ReceiveBatch &batch, std::size_t count)
    {
        std::size_t headerCount = 0;
        for (std::size_t index = 0; index < count; ++index) {
            const auto received = Tunnel::decodeDatagram(batch.datagram(index));
            if (!received) {
                ++counters_.unreadable;
                continue;
            }
            const Tunnel::Datagram &datagram = received->datagram;
            if (const auto *header = std::get_if<Tunnel::PacketHeader>(&datagram.content))
                continueSearch(now, datagram.service, *header, received->packet,
                               headers_[headerCount++]);
            else
                control_.send(tunnel_.descriptor(), core_.onDatagram(now, datagram));
        }
        outgoing_.flush(tunnel_.descriptor());
        resetLostFlows(now);
    }

    /// Processes a caller's packet that the agents of \a service returned. \a encoded is used for
    /// the header with which it is sent on.
    void continueSearch(TimePoint now, Model::ServiceId service, const Tunnel::PacketHeader &header,
                        Tunnel::Bytes carried, std::vector<std::byte> &encoded)
    {
        const auto packet = Codec::parse(carried);
        if (!packet) {
            ++counters_.unreadable;
            return;
        }
        ++counters_.searched;
        const Tunnel::TcpPacket segment = callerSegment(*packet);
        const BalancerVerdict verdict = core_.onUnownedPacket(now, service, header, segment);
        logSearch(segment, core_.table(), service, header, verdict);
        if (const auto *forwardPacket = std::get_if<ForwardPacket>(&verdict)) {
            Tunnel::encodeDatagram(forwardPacket->datagram, encoded);
            outgoing_.add(encoded, carried, forwardPacket->receiver);
        } else if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
            sendReset(*reset);
        } else {
            ++counters_.dropped;
        }
    }

    void resetLostFlows(TimePoint now)
    {
        for (const ResetFlow &reset : core_.takeLostFlows(now)) {
            logReset(reset, "lost-in-restart", core_.configuration().generation);
            sendReset(reset);
        }
    }

    OwnedSocket callers_;
    OwnedSocket tunnel_;
    std::uint16_t callerPort_;
    std::mutex mutex_; ///< guards core_ and the buffers
    BalancerCore core_;
    BalancerCounters counters_;
    Tunnel::SendBatch outgoing_;
    std::array<std::vector<std::byte>, Tunnel::BatchPackets> headers_;
    ControlSender control_;
    std::uint64_t loggedVersion_ = 0;
    std::set<std::string> loggedEvacuations_;
    TrafficThread<BalancerTraffic> thread_;
};

} // namespace Forwarding
