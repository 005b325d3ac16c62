#pragma once

#include "forwarding/balancercore.h"
#include "tunnel/udpsocket.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

namespace Forwarding {

/// How long the traffic thread waits for packets, and thus the longest time between two ticks: half
/// of MinReportSpacing.
constexpr std::chrono::milliseconds PollTimeout{20};

/// Least time between two ticks.
constexpr std::chrono::milliseconds MinTickInterval{5};

/// Batches that one socket may take before the others are asked, so that none waits for long.
constexpr int MaxConsecutiveBatches = 4;

/// A UDP socket that is closed with its owner.
class OwnedSocket
{
public:
    /// Binds \a endpoint. Throws std::system_error if it can't be bound.
    explicit OwnedSocket(const Model::Endpoint &endpoint)
        : descriptor_(Tunnel::openUdpSocket(endpoint))
    {}
    ~OwnedSocket() { close(descriptor_); }
    OwnedSocket(const OwnedSocket &) = delete;
    OwnedSocket &operator=(const OwnedSocket &) = delete;

    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

/// Sends control datagrams one by one; there are few. Not thread-safe.
class ControlSender
{
public:
    /// Sends \a outgoing through \a socket; losses go unnoticed.
    void send(int socket, const std::vector<OutgoingDatagram> &outgoing)
    {
        for (const auto &[receiver, datagram] : outgoing) {
            Tunnel::encodeDatagram(datagram, encoded_);
            Tunnel::sendDatagram(socket, encoded_, {}, receiver);
        }
    }

private:
    std::vector<std::byte> encoded_;
};

/// Receives from two sockets on a thread of its own. \a Handler is called on that thread: onBatch()
/// for what a socket received, and onTick() between batches.
template<typename Handler>
class TrafficThread
{
public:
    TrafficThread(Handler &handler, int first, int second)
        : handler_(handler)
        , sockets_{first, second}
    {}
    ~TrafficThread() { stop(); }
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    /// Starts the thread. Called once.
    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    /// Ends the thread; later calls do nothing.
    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
    }

private:
    void run()
    {
        auto lastTick = std::chrono::steady_clock::time_point();
        while (!stopping_) {
            std::array<pollfd, 2> waiting{pollfd{sockets_[0], POLLIN, 0},
                                          pollfd{sockets_[1], POLLIN, 0}};
            if (poll(waiting.data(), waiting.size(), int(PollTimeout.count())) > 0) {
                for (std::size_t index = 0; index < waiting.size(); ++index) {
                    if (waiting[index].revents != 0)
                        receive(index);
                }
            }
            const auto now = std::chrono::steady_clock::now();
            if (now - lastTick >= MinTickInterval) {
                lastTick = now;
                handler_.onTick(now);
            }
        }
    }

    void receive(std::size_t index)
    {
        for (int batch = 0; batch < MaxConsecutiveBatches; ++batch) {
            const std::size_t count = received_.receive(sockets_[index]);
            if (count == 0)
                return;
            handler_.onBatch(std::chrono::steady_clock::now(), index, received_, count);
            if (count < Tunnel::BatchPackets)
                return;
        }
    }

    Handler &handler_;
    std::array<int, 2> sockets_;
    std::atomic<bool> stopping_ = false;
    Tunnel::ReceiveBatch received_;
    std::thread thread_;
};

} // namespace Forwarding
