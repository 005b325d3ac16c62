#pragma once

#include "model/endpoint.h"
#include "tunnel/gre.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace Tunnel {

/// Packets that one system call receives or sends.
constexpr std::size_t BatchPackets = 64;

/// Largest datagram that is received.
constexpr std::size_t MaxDatagramBytes = 2048;

/// Received datagrams of one batch; the buffers are aligned for Cap'n Proto.
class ReceiveBatch
{
public:
    ReceiveBatch();

    /// Receives up to BatchPackets datagrams from \a socket without waiting; returns how many.
    std::size_t receive(int socket);

    /// Precondition: \a index is below the last result of receive().
    Bytes datagram(std::size_t index) const;

    /// Returns a datagram to be changed in place. Precondition: as for datagram().
    std::span<std::byte> writable(std::size_t index);

    /// Returns the sender of a datagram. Precondition: as for datagram().
    Model::Endpoint sender(std::size_t index) const;

private:
    struct alignas(16) Buffer
    {
        std::array<std::byte, MaxDatagramBytes> bytes;
    };

    std::unique_ptr<std::array<Buffer, BatchPackets>> buffers_;
    std::array<mmsghdr, BatchPackets> messages_{};
    std::array<iovec, BatchPackets> vectors_{};
    std::array<sockaddr_in, BatchPackets> senders_{};
};

/// Datagrams waiting to be sent with one system call; each is a header and a body.
class SendBatch
{
public:
    SendBatch();

    bool isFull() const { return count_ == BatchPackets; }

    /// Queues a datagram. \a header and \a body must live until flush().
    /// Precondition: not isFull().
    void add(Bytes header, Bytes body, const Model::Endpoint &receiver);

    /// Sends what is queued; returns how many the kernel took. The rest is lost, as on any network.
    std::size_t flush(int socket);

private:
    std::array<mmsghdr, BatchPackets> messages_{};
    std::array<std::array<iovec, 2>, BatchPackets> vectors_{};
    std::array<sockaddr_in, BatchPackets> receivers_{};
    std::size_t count_ = 0;
};

/// Sends one datagram of a header and a body; losses go unnoticed. Thread-safe.
void sendDatagram(int socket, Bytes header, Bytes body, const Model::Endpoint &receiver);

/// Opens a non-blocking UDP socket bound to \a endpoint with large buffers.
/// Throws std::system_error if it can't be bound.
int openUdpSocket(const Model::Endpoint &endpoint);

} // namespace Tunnel
