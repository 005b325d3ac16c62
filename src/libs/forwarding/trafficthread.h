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

/// How long the traffic thread waits for packets, and thus the longest time between two ticks if no
/// packets arrive: half of MinReportSpacing.
constexpr std::chrono::milliseconds PollTimeout{20};

/// Minimum time between two ticks.
constexpr std::chrono::milliseconds MinTickInterval{5};

/// Maximum number of batches that are received from one socket before the other is served, so that
/// neither waits for long.
constexpr int MaxConsecutiveBatches = 4;

/// Owns a UDP socket and closes it on destruction.
class OwnedSocket
{
public:
    /// Binds a socket to \a endpoint. Throws std::system_error if that fails.
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

/// Sends control datagrams one by one, since there are few. Not thread-safe.
class ControlSender
{
public:
    /// Sends \a outgoing through \a socket. Failures to send are ignored.
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
/// with the index of a socket, 0 or 1, and the datagrams received from it, and onTick() between
/// batches.
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

    /// Starts the thread. Must be called at most once.
    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    /// Stops the thread and waits for its end. Later calls do nothing.
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
            std::array<pollfd, 2> descriptors{pollfd{sockets_[0], POLLIN, 0},
                                              pollfd{sockets_[1], POLLIN, 0}};
            if (poll(descriptors.data(), descriptors.size(), int(PollTimeout.count())) > 0) {
                for (std::size_t index = 0; index < descriptors.size(); ++index) {
                    if (descriptors[index].revents != 0)
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
