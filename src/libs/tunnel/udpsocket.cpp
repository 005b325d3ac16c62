#include "tunnel/udpsocket.h"

#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace Tunnel {

static constexpr int SocketBufferBytes = 8 * 1024 * 1024;

static sockaddr_in socketAddress(const Model::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

static iovec vectorOf(Bytes bytes)
{
    return {const_cast<std::byte *>(bytes.data()), bytes.size()};
}

ReceiveBatch::ReceiveBatch()
    : buffers_(std::make_unique<std::array<Buffer, BatchPackets>>())
{
    for (std::size_t index = 0; index < BatchPackets; ++index) {
        vectors_[index] = {(*buffers_)[index].bytes.data(), MaxDatagramBytes};
        messages_[index].msg_hdr.msg_iov = &vectors_[index];
        messages_[index].msg_hdr.msg_iovlen = 1;
        messages_[index].msg_hdr.msg_name = &senders_[index];
    }
}

std::size_t ReceiveBatch::receive(int socket)
{
    for (mmsghdr &message : messages_)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    const int count = recvmmsg(socket, messages_.data(), BatchPackets, MSG_DONTWAIT, nullptr);
    return count < 0 ? 0 : std::size_t(count);
}

Bytes ReceiveBatch::datagram(std::size_t index) const
{
    return {(*buffers_)[index].bytes.data(), messages_[index].msg_len};
}

std::span<std::byte> ReceiveBatch::writable(std::size_t index)
{
    return {(*buffers_)[index].bytes.data(), messages_[index].msg_len};
}

Model::Endpoint ReceiveBatch::sender(std::size_t index) const
{
    const sockaddr_in &address = senders_[index];
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

SendBatch::SendBatch()
{
    for (std::size_t index = 0; index < BatchPackets; ++index) {
        messages_[index].msg_hdr.msg_iov = vectors_[index].data();
        messages_[index].msg_hdr.msg_iovlen = vectors_[index].size();
        messages_[index].msg_hdr.msg_name = &receivers_[index];
        messages_[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void SendBatch::add(Bytes header, Bytes body, const Model::Endpoint &receiver)
{
    vectors_[count_] = {vectorOf(header), vectorOf(body)};
    receivers_[count_] = socketAddress(receiver);
    ++count_;
}

std::size_t SendBatch::flush(int socket)
{
    std::size_t sent = 0;
    std::size_t next = 0;
    while (next < count_) {
        const int accepted =
            sendmmsg(socket, messages_.data() + next, unsigned(count_ - next), MSG_DONTWAIT);
        // sendmmsg() fails on the first datagram that can't be sent; skip it and send the others.
        sent += accepted > 0 ? std::size_t(accepted) : 0;
        next += accepted > 0 ? std::size_t(accepted) : 1;
    }
    count_ = 0;
    return sent;
}

void sendDatagram(int socket, Bytes header, Bytes body, const Model::Endpoint &receiver)
{
    std::array<iovec, 2> vectors{vectorOf(header), vectorOf(body)};
    sockaddr_in address = socketAddress(receiver);
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = vectors.size();
    message.msg_name = &address;
    message.msg_namelen = sizeof address;
    sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
}

int openUdpSocket(const Model::Endpoint &endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof SocketBufferBytes);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof SocketBufferBytes);
    const sockaddr_in address = socketAddress(endpoint);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        const int error = errno;
        close(socket);
        throw std::system_error(error, std::generic_category(), Model::endpointText(endpoint));
    }
    return socket;
}

} // namespace Tunnel
