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

/// Maximum number of packets that one system call receives or sends.
constexpr std::size_t BatchPackets = 64;

/// Size of the largest datagram that can be received; longer ones are cut off.
constexpr std::size_t MaxDatagramBytes = 2048;

/// The datagrams received by one system call. The buffers are aligned for Cap'n Proto. Not
/// thread-safe.
class ReceiveBatch
{
public:
    ReceiveBatch();

    /// Receives up to BatchPackets datagrams from \a socket without blocking. Returns their number,
    /// 0 on an error.
    std::size_t receive(int socket);

    /// Returns a datagram, which is valid until the next receive(). Precondition: \a index is below
    /// the last result of receive().
    Bytes datagram(std::size_t index) const;

    /// Returns a datagram that may be modified in place. Precondition: as for datagram().
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

/// Datagrams, each with a header and a body, that are queued for one system call. Not thread-safe.
class SendBatch
{
public:
    SendBatch();

    bool isFull() const { return count_ == BatchPackets; }

    /// Queues a datagram. \a header and \a body must stay valid until flush().
    /// Precondition: not isFull().
    void add(Bytes header, Bytes body, const Model::Endpoint &receiver);

    /// Sends the queued datagrams and empties the queue. Returns how many the kernel accepted; the
    /// others are lost, as on any network.
    std::size_t flush(int socket);

private:
    std::array<mmsghdr, BatchPackets> messages_{};
    std::array<std::array<iovec, 2>, BatchPackets> vectors_{};
    std::array<sockaddr_in, BatchPackets> receivers_{};
    std::size_t count_ = 0;
};

/// Sends one datagram with a header and a body. Errors are ignored. Thread-safe.
void sendDatagram(int socket, Bytes header, Bytes body, const Model::Endpoint &receiver);

/// Opens a non-blocking UDP socket with large buffers, bound to \a endpoint. The caller closes it.
/// Throws std::system_error if the socket can't be created or bound.
int openUdpSocket(const Model::Endpoint &endpoint);

} // namespace Tunnel
