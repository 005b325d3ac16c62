#include "stack/tcpstack.h"

#include "tunnel/tcppacket.h"

extern "C" {
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
}

#include <algorithm>
#include <array>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace Stack {

static constexpr std::uint8_t ListenBacklog = 255;
static constexpr std::size_t MaxPacketBytes = 2048;

/// lwIP numbers the interfaces of a process with one byte.
static constexpr std::size_t MaxAddresses = 64;

namespace {

class CoreLock
{
public:
    CoreLock() { LOCK_TCPIP_CORE(); }
    ~CoreLock() { UNLOCK_TCPIP_CORE(); }
    CoreLock(const CoreLock &) = delete;
    CoreLock &operator=(const CoreLock &) = delete;
};

struct Connection
{
    TcpStack *stack = nullptr;
    tcp_pcb *pcb = nullptr;
    Model::FlowKey key;
    std::size_t unconsumed = 0;
};

} // namespace

static void initializeLwipOnce()
{
    static std::once_flag once;
    std::call_once(once, [] {
        std::promise<void> started;
        tcpip_init([](void *promise) { static_cast<std::promise<void> *>(promise)->set_value(); },
                   &started);
        started.get_future().wait();
    });
}

void seedInitialSequenceNumbers(std::uint32_t seed)
{
    initializeLwipOnce();
    const CoreLock lock;
    // lwIP adds its tick counter to the last initial sequence number. All other uses of the counter
    // depend on differences only, so it may start anywhere.
    tcp_ticks = seed;
}

static ip_addr_t lwipAddress(std::uint32_t address)
{
    ip_addr_t converted;
    ip_addr_set_ip4_u32_val(converted, lwip_htonl(address));
    return converted;
}

static std::uint32_t hostAddress(const ip_addr_t &address)
{
    return lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&address)));
}

class TcpStack::Internals
{
public:
    Internals(std::uint16_t maximumPacketBytes, Output output, EventNotifier eventNotifier);

    static err_t onAccept(void *stack, tcp_pcb *pcb, err_t error);
    static err_t onConnected(void *connection, tcp_pcb *pcb, err_t error);
    static err_t onReceived(void *connection, tcp_pcb *pcb, pbuf *data, err_t error);
    static err_t onSent(void *connection, tcp_pcb *pcb, u16_t length);
    static void onError(void *connection, err_t error);
    static err_t initializeInterface(netif *interface);
    static err_t sendPacket(netif *interface, pbuf *packet, const ip4_addr_t *nextHop);

    void emit(Event event);
    netif *interfaceFor(TcpStack *stack, std::uint32_t address);
    netif *interfaceOf(Tunnel::Bytes packet);
    void removeUnusedInterfaces();
    void closeListeners(std::uint32_t address);
    Connection *find(const Model::FlowKey &key) const;
    Connection &attach(TcpStack *stack, tcp_pcb *pcb, const Model::FlowKey &key);
    void detach(Connection &connection);

    Output output_;
    EventNotifier eventNotifier_;
    std::uint16_t maximumPacketBytes_;
    std::uint32_t firstAddress_ = 0;
    std::map<std::uint32_t, netif> interfaces_; ///< by address
    std::map<Model::Endpoint, tcp_pcb *> listeners_;
    std::unordered_map<Model::FlowKey, std::unique_ptr<Connection>> connections_;

    std::mutex eventsMutex_;
    std::vector<Event> events_;
};

TcpStack::Internals::Internals(std::uint16_t maximumPacketBytes, Output output,
                               EventNotifier eventNotifier)
    : output_(std::move(output))
    , eventNotifier_(std::move(eventNotifier))
    , maximumPacketBytes_(maximumPacketBytes)
{}

void TcpStack::Internals::emit(Event event)
{
    {
        const std::lock_guard guard(eventsMutex_);
        events_.push_back(std::move(event));
    }
    eventNotifier_();
}

Connection *TcpStack::Internals::find(const Model::FlowKey &key) const
{
    const auto entry = connections_.find(key);
    return entry == connections_.end() ? nullptr : entry->second.get();
}

Connection &TcpStack::Internals::attach(TcpStack *stack, tcp_pcb *pcb, const Model::FlowKey &key)
{
    auto connection = std::make_unique<Connection>();
    connection->stack = stack;
    connection->pcb = pcb;
    connection->key = key;
    tcp_arg(pcb, connection.get());
    tcp_recv(pcb, &Internals::onReceived);
    tcp_sent(pcb, &Internals::onSent);
    tcp_err(pcb, &Internals::onError);
    tcp_nagle_disable(pcb);
    return *(connections_[key] = std::move(connection));
}

void TcpStack::Internals::detach(Connection &connection)
{
    tcp_pcb *const pcb = connection.pcb;
    tcp_arg(pcb, nullptr);
    tcp_recv(pcb, nullptr);
    tcp_sent(pcb, nullptr);
    tcp_err(pcb, nullptr);
    if (connection.unconsumed > 0)
        tcp_recved(pcb, u16_t(std::min<std::size_t>(connection.unconsumed, TCP_WND)));
    connections_.erase(Model::FlowKey(connection.key));
}

err_t TcpStack::Internals::onAccept(void *stack, tcp_pcb *pcb, err_t error)
{
    if (error != ERR_OK || !pcb)
        return ERR_VAL;
    auto *const owner = static_cast<TcpStack *>(stack);
    const Model::FlowKey key{{hostAddress(pcb->remote_ip), pcb->remote_port},
                             {hostAddress(pcb->local_ip), pcb->local_port}};
    owner->internals_->attach(owner, pcb, key);
    owner->internals_->emit(Opened{key});
    return ERR_OK;
}

err_t TcpStack::Internals::onConnected(void *connection, tcp_pcb *, err_t)
{
    auto *const self = static_cast<Connection *>(connection);
    self->stack->internals_->emit(Opened{self->key});
    return ERR_OK;
}

err_t TcpStack::Internals::onReceived(void *connection, tcp_pcb *, pbuf *data, err_t)
{
    auto *const self = static_cast<Connection *>(connection);
    Internals &internals = *self->stack->internals_;
    if (!data) {
        internals.emit(RemoteClosed{self->key});
        return ERR_OK;
    }
    std::string bytes(data->tot_len, '\0');
    pbuf_copy_partial(data, bytes.data(), data->tot_len, 0);
    pbuf_free(data);
    self->unconsumed += bytes.size();
    internals.emit(Received{self->key, std::move(bytes)});
    return ERR_OK;
}

err_t TcpStack::Internals::onSent(void *connection, tcp_pcb *, u16_t)
{
    auto *const self = static_cast<Connection *>(connection);
    self->stack->internals_->emit(Writable{self->key});
    return ERR_OK;
}

void TcpStack::Internals::onError(void *connection, err_t)
{
    // lwIP has freed the control block already.
    auto *const self = static_cast<Connection *>(connection);
    if (!self)
        return;
    Internals &internals = *self->stack->internals_;
    const Model::FlowKey key = self->key;
    internals.connections_.erase(key);
    internals.emit(Aborted{key});
}

err_t TcpStack::Internals::initializeInterface(netif *interface)
{
    const auto *const internals = static_cast<TcpStack *>(interface->state)->internals_.get();
    interface->name[0] = 'g';
    interface->name[1] = 'w';
    interface->mtu = internals->maximumPacketBytes_;
    interface->output = &Internals::sendPacket;
    return ERR_OK;
}

err_t TcpStack::Internals::sendPacket(netif *interface, pbuf *packet, const ip4_addr_t *)
{
    std::array<std::byte, MaxPacketBytes> bytes;
    if (packet->tot_len > bytes.size())
        return ERR_BUF;
    pbuf_copy_partial(packet, bytes.data(), packet->tot_len, 0);
    const Tunnel::Bytes content(bytes.data(), packet->tot_len);

    Internals &internals = *static_cast<TcpStack *>(interface->state)->internals_;
    const auto parsed = Tunnel::parseTcpPacket(content);
    if (const auto *tcp = std::get_if<Tunnel::TcpPacket>(&parsed); tcp && tcp->syn && tcp->ack) {
        const Model::FlowKey key{tcp->flow.service, tcp->flow.caller};
        internals.emit(SynAckSent{key, tcp->sequence});
    }
    internals.output_(content);
    return ERR_OK;
}

/// Returns the interface that has \a address, which is added if necessary. Requires lwIP's lock.
netif *TcpStack::Internals::interfaceFor(TcpStack *stack, std::uint32_t address)
{
    if (interfaces_.size() >= MaxAddresses && !interfaces_.contains(address))
        removeUnusedInterfaces();
    const auto [entry, isNew] = interfaces_.try_emplace(address);
    netif *const interface = &entry->second;
    if (!isNew)
        return interface;
    ip4_addr_t own{lwip_htonl(address)};
    ip4_addr_t mask{lwip_htonl(0xffffffff)};
    ip4_addr_t gateway{0};
    if (!netif_add(interface, &own, &mask, &gateway, stack, &Internals::initializeInterface,
                   &ip_input)) {
        interfaces_.erase(entry);
        return nullptr;
    }
    netif_set_default(interface);
    netif_set_link_up(interface);
    netif_set_up(interface);
    return interface;
}

/// Returns the interface that has the destination address of \a packet, else that of the first
/// address.
netif *TcpStack::Internals::interfaceOf(Tunnel::Bytes packet)
{
    const auto parsed = Tunnel::parseTcpPacket(packet);
    const auto *const tcp = std::get_if<Tunnel::TcpPacket>(&parsed);
    const auto entry = interfaces_.find(tcp ? tcp->flow.service.address : firstAddress_);
    return entry == interfaces_.end() ? &interfaces_.at(firstAddress_) : &entry->second;
}

/// Removes the interfaces without flows, except that of the first address.
void TcpStack::Internals::removeUnusedInterfaces()
{
    std::set<std::uint32_t> used{firstAddress_};
    for (const auto &[key, connection] : connections_)
        used.insert(hostAddress(connection->pcb->local_ip));
    for (auto entry = interfaces_.begin(); entry != interfaces_.end();) {
        if (used.contains(entry->first)) {
            ++entry;
            continue;
        }
        closeListeners(entry->first);
        netif_remove(&entry->second);
        entry = interfaces_.erase(entry);
    }
}

void TcpStack::Internals::closeListeners(std::uint32_t address)
{
    std::erase_if(listeners_, [address](const auto &entry) {
        if (entry.first.address != address)
            return false;
        tcp_close(entry.second);
        return true;
    });
}

TcpStack::TcpStack(std::uint32_t address, std::uint16_t maximumPacketBytes, Output output,
                   EventNotifier eventNotifier)
    : internals_(std::make_unique<Internals>(maximumPacketBytes, std::move(output),
                                             std::move(eventNotifier)))
{
    initializeLwipOnce();
    internals_->firstAddress_ = address;
    const CoreLock lock;
    internals_->interfaceFor(this, address);
}

TcpStack::~TcpStack()
{
    const CoreLock lock;
    while (!internals_->connections_.empty()) {
        Connection &connection = *internals_->connections_.begin()->second;
        tcp_pcb *const pcb = connection.pcb;
        internals_->detach(connection);
        tcp_abandon(pcb, 0);
    }
    for (auto &[address, interface] : internals_->interfaces_) {
        internals_->closeListeners(address);
        netif_remove(&interface);
    }
}

bool TcpStack::listen(const Model::Endpoint &endpoint)
{
    const CoreLock lock;
    if (internals_->listeners_.contains(endpoint))
        return true;
    netif *const interface = internals_->interfaceFor(this, endpoint.address);
    if (!interface)
        return false;
    tcp_pcb *const pcb = tcp_new();
    const ip_addr_t address = lwipAddress(endpoint.address);
    ip_set_option(pcb, SOF_REUSEADDR);
    if (tcp_bind(pcb, &address, endpoint.port) != ERR_OK) {
        tcp_close(pcb);
        return false;
    }
    tcp_bind_netif(pcb, interface);
    tcp_pcb *const listener = tcp_listen_with_backlog(pcb, ListenBacklog);
    tcp_arg(listener, this);
    tcp_accept(listener, &Internals::onAccept);
    internals_->listeners_.emplace(endpoint, listener);
    return true;
}

std::optional<Model::FlowKey> TcpStack::connect(std::uint16_t localPort,
                                                const Model::Endpoint &service)
{
    const CoreLock lock;
    tcp_pcb *const pcb = tcp_new();
    const ip_addr_t local = lwipAddress(internals_->firstAddress_);
    const ip_addr_t remote = lwipAddress(service.address);
    if (tcp_bind(pcb, &local, localPort) != ERR_OK) {
        tcp_close(pcb);
        return std::nullopt;
    }
    tcp_bind_netif(pcb, &internals_->interfaces_.at(internals_->firstAddress_));
    const Model::FlowKey key{{internals_->firstAddress_, localPort}, service};
    Connection &connection = internals_->attach(this, pcb, key);
    if (tcp_connect(pcb, &remote, service.port, &Internals::onConnected) != ERR_OK) {
        internals_->detach(connection);
        tcp_abandon(pcb, 0);
        return std::nullopt;
    }
    return key;
}

void TcpStack::input(Tunnel::Bytes packet)
{
    const CoreLock lock;
    pbuf *const buffer = pbuf_alloc(PBUF_RAW, u16_t(packet.size()), PBUF_RAM);
    if (!buffer)
        return;
    pbuf_take(buffer, packet.data(), u16_t(packet.size()));
    if (ip_input(buffer, internals_->interfaceOf(packet)) != ERR_OK)
        pbuf_free(buffer);
}

std::vector<Event> TcpStack::takeEvents()
{
    const std::lock_guard guard(internals_->eventsMutex_);
    return std::exchange(internals_->events_, {});
}

std::size_t TcpStack::writableBytes(const Model::FlowKey &flow) const
{
    const CoreLock lock;
    const Connection *const connection = internals_->find(flow);
    return connection ? tcp_sndbuf(connection->pcb) : 0;
}

std::size_t TcpStack::write(const Model::FlowKey &flow, std::string_view bytes)
{
    const CoreLock lock;
    const Connection *const connection = internals_->find(flow);
    if (!connection)
        return 0;
    std::size_t written = 0;
    while (written < bytes.size()) {
        const std::size_t chunk = std::min<std::size_t>(
            {bytes.size() - written, tcp_sndbuf(connection->pcb), tcp_mss(connection->pcb)});
        if (chunk == 0)
            break;
        if (tcp_write(connection->pcb, bytes.data() + written, u16_t(chunk), TCP_WRITE_FLAG_COPY)
            != ERR_OK)
            break;
        written += chunk;
    }
    tcp_output(connection->pcb);
    return written;
}

std::uint32_t TcpStack::endSequence(const Model::FlowKey &flow) const
{
    const CoreLock lock;
    const Connection *const connection = internals_->find(flow);
    return connection ? connection->pcb->snd_lbb : 0;
}

void TcpStack::consume(const Model::FlowKey &flow, std::size_t count)
{
    const CoreLock lock;
    Connection *const connection = internals_->find(flow);
    if (!connection)
        return;
    count = std::min(count, connection->unconsumed);
    connection->unconsumed -= count;
    tcp_recved(connection->pcb, u16_t(std::min<std::size_t>(count, TCP_WND)));
}

void TcpStack::close(const Model::FlowKey &flow)
{
    const CoreLock lock;
    Connection *const connection = internals_->find(flow);
    if (!connection)
        return;
    tcp_pcb *const pcb = connection->pcb;
    internals_->detach(*connection);
    if (tcp_close(pcb) != ERR_OK)
        tcp_abort(pcb);
}

void TcpStack::abandon(const Model::FlowKey &flow)
{
    const CoreLock lock;
    if (Connection *const connection = internals_->find(flow)) {
        tcp_pcb *const pcb = connection->pcb;
        internals_->detach(*connection);
        tcp_abandon(pcb, 0);
        return;
    }
    // A half-open or lingering flow has no Connection.
    for (tcp_pcb *list : {tcp_active_pcbs, tcp_tw_pcbs}) {
        for (tcp_pcb *pcb = list; pcb; pcb = pcb->next) {
            if (pcb->remote_port != flow.caller.port || pcb->local_port != flow.service.port
                || hostAddress(pcb->remote_ip) != flow.caller.address
                || hostAddress(pcb->local_ip) != flow.service.address)
                continue;
            tcp_abandon(pcb, 0);
            return;
        }
    }
}

void TcpStack::reset(const Model::FlowKey &flow)
{
    const CoreLock lock;
    Connection *const connection = internals_->find(flow);
    if (!connection)
        return;
    tcp_pcb *const pcb = connection->pcb;
    internals_->detach(*connection);
    tcp_abort(pcb);
}

bool TcpStack::isFullyAcknowledged(const Model::FlowKey &flow) const
{
    const CoreLock lock;
    const Connection *const connection = internals_->find(flow);
    return connection && !connection->pcb->unsent && !connection->pcb->unacked;
}

std::optional<TcpState> TcpStack::exportFlow(const Model::FlowKey &flow)
{
    const CoreLock lock;
    Connection *const connection = internals_->find(flow);
    if (!connection)
        return std::nullopt;
    tcp_pcb *const pcb = connection->pcb;
    if (pcb->state != ESTABLISHED || pcb->unsent || pcb->unacked || pcb->refused_data)
        return std::nullopt;

    internals_->detach(*connection);
    TcpState state;
    state.flow = flow;
    state.receiveNext = pcb->rcv_nxt;
    state.sendNext = pcb->snd_nxt;
    state.lastAcknowledged = pcb->lastack;
    state.windowUpdateSequence = pcb->snd_wl1;
    state.windowUpdateAcknowledgement = pcb->snd_wl2;
    state.receiveWindow = pcb->rcv_wnd;
    state.sendWindow = pcb->snd_wnd;
    state.sendWindowMaximum = pcb->snd_wnd_max;
    state.congestionWindow = pcb->cwnd;
    state.slowStartThreshold = pcb->ssthresh;
    state.announcedRightEdge = pcb->rcv_ann_right_edge;
    state.announcedWindow = pcb->rcv_ann_wnd;
    state.maximumSegment = pcb->mss;
    state.flags = pcb->flags & (TF_WND_SCALE | TF_NODELAY);
    state.sendScale = pcb->snd_scale;
    state.receiveScale = pcb->rcv_scale;
    tcp_abandon(pcb, 0);
    return state;
}

bool TcpStack::importFlow(const TcpState &state)
{
    if (state.maximumSegment == 0)
        return false;
    abandon(state.flow);

    const CoreLock lock;
    netif *const interface = internals_->interfaceFor(this, state.flow.service.address);
    tcp_pcb *const pcb = interface ? tcp_new() : nullptr;
    if (!pcb)
        return false;
    pcb->local_ip = lwipAddress(state.flow.service.address);
    pcb->remote_ip = lwipAddress(state.flow.caller.address);
    pcb->local_port = state.flow.service.port;
    pcb->remote_port = state.flow.caller.port;
    pcb->state = ESTABLISHED;
    pcb->rcv_nxt = state.receiveNext;
    pcb->snd_nxt = state.sendNext;
    pcb->snd_lbb = state.sendNext;
    pcb->lastack = state.lastAcknowledged;
    pcb->snd_wl1 = state.windowUpdateSequence;
    pcb->snd_wl2 = state.windowUpdateAcknowledgement;
    pcb->rcv_wnd = state.receiveWindow;
    pcb->snd_wnd = state.sendWindow;
    pcb->snd_wnd_max = state.sendWindowMaximum;
    pcb->cwnd = state.congestionWindow;
    pcb->ssthresh = state.slowStartThreshold;
    pcb->rcv_ann_right_edge = state.announcedRightEdge;
    pcb->rcv_ann_wnd = state.announcedWindow;
    pcb->mss = state.maximumSegment;
    pcb->flags = state.flags & (TF_WND_SCALE | TF_NODELAY);
    pcb->snd_scale = state.sendScale;
    pcb->rcv_scale = state.receiveScale;
    tcp_bind_netif(pcb, interface);
    TCP_REG_ACTIVE(pcb);
    internals_->attach(this, pcb, state.flow);
    // Announces the window to the caller, and resends what it missed during the move.
    pcb->flags |= TF_ACK_NOW;
    tcp_output(pcb);
    return true;
}

std::size_t TcpStack::flowCount() const
{
    const CoreLock lock;
    return internals_->connections_.size();
}

} // namespace Stack
