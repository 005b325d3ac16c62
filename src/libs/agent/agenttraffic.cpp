#include "agent/agenttraffic.h"

#include "observability/log.h"

#include <boost/asio/post.hpp>

namespace Agent {

using Observability::Level;
using Observability::log;

static constexpr std::chrono::milliseconds TickInterval{5};
static constexpr std::chrono::milliseconds ExpiryInterval{500};
static constexpr std::chrono::seconds OwnershipNoticeInterval{10};
static constexpr std::chrono::seconds StateNoticeInterval{1};
static constexpr std::chrono::seconds BalancerLifetime{60};

AgentTraffic::AgentTraffic(TrafficSettings settings)
    : settings_(std::move(settings))
    , self_{Model::instanceId(settings_.self.name), settings_.self.incarnation,
            settings_.self.tunnel}
    , service_(Model::serviceId(settings_.self.service))
    , work_(boost::asio::make_work_guard(io_))
    , socket_(io_, Tunnel::openUdpSocket(settings_.self.tunnel))
    , timer_(io_)
    , director_(self_, service_)
    , runner_(
          io_, settings_.backend,
          {[this](const auto &flow, const std::string &bytes) { write(flow, bytes); },
           [this](const auto &flow, bool keepsOpen) { finishResponse(flow, keepsOpen); },
           [this](const auto &flow) { abortFlow(flow); },
           [this](const auto &flow, const auto &request) { onBackendUnreachable(flow, request); }})
    , health_(io_, settings_.backend, [this](BackendState state) { onBackendState(state); })
    , prober_(self_, std::uint64_t(self_.instance) ^ std::uint64_t(self_.incarnation))
    , nextTransferId_(std::uint64_t(self_.instance) ^ (std::uint64_t(self_.incarnation) << 20))
    , random_(nextTransferId_)
{
    PeerServer::Handlers peerHandlers;
    peerHandlers.offer = [this](Model::InstanceId instance, Model::Incarnation incarnation,
                                std::chrono::milliseconds waitLimit) {
        return onTrafficThread([&] {
            if (!isShorterWait(waitLimit))
                return false;
            return instance == self_.instance && incarnation == self_.incarnation && stack_
                   && availability().isReady && availability().isBelowConnectionLimit;
        });
    };
    peerHandlers.take = [this](const FlowTransfer &transfer) {
        return onTrafficThread([&] { return acceptTransfer(transfer); });
    };
    peerServer_ = std::make_unique<PeerServer>(settings_.self.peer, std::move(peerHandlers));
}

void AgentTraffic::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    thread_ = std::thread([this] { run(); });
}

AgentTraffic::~AgentTraffic()
{
    peerServer_.reset();
    io_.stop();
    if (thread_.joinable())
        thread_.join();
    stack_.reset();
}

void AgentTraffic::run()
{
    health_.start();
    waitForPackets();
    scheduleTick();
    io_.run();
}

const Model::Instance *AgentTraffic::findPeer(Model::InstanceId instance) const
{
    if (!serviceTable_)
        return nullptr;
    for (const Model::Instance &peer : serviceTable_->instances()) {
        if (Model::instanceId(peer.name) == instance)
            return &peer;
    }
    return nullptr;
}

Flows::Availability AgentTraffic::availability() const
{
    Flows::Availability availability;
    availability.isReady =
        stack_ && state_ == Model::InstanceState::Ready && !pauseDetector_.isUnconfirmed();
    availability.hasFreeSlot = runner_.hasFreeSlot();
    availability.isBelowConnectionLimit =
        serviceTable_ && director_.openCount() < serviceTable_->service().connectionsPerServer;
    return availability;
}

bool AgentTraffic::mayStartRequests(TimePoint now)
{
    pauseDetector_.onRunning(now);
    pauseDetector_.onConfirmed(prober_.lastConfirmed());
    const bool isUnconfirmed = pauseDetector_.isUnconfirmed();
    runner_.setPaused(isUnconfirmed);
    return !isUnconfirmed;
}

void AgentTraffic::onBackendState(BackendState state)
{
    log(Level::Info, "backend-state", {{"state", backendStateText(state)}});
    if (state == BackendState::Ready)
        readySince_ = std::chrono::steady_clock::now();
    updateState();
}

void AgentTraffic::updateState()
{
    const bool isReady = !drainRequested_ && stack_ && health_.state() == BackendState::Ready;
    const auto state = isReady ? Model::InstanceState::Ready : Model::InstanceState::Draining;
    if (state == state_)
        return;
    state_ = state;
    log(Level::Info, "agent-state", {{"state", Model::stateText(state)}});
    handlers_.stateChanged(state);
    if (isReady)
        return processAllRequests();
    drainingSince_ = std::chrono::steady_clock::now();
    for (const auto &withdrawn : runner_.withdrawWaiting())
        requeue(withdrawn);
}

void AgentTraffic::processAllRequests()
{
    std::vector<Model::FlowKey> flows;
    for (const auto &[flow, session] : sessions_)
        flows.push_back(flow);
    for (const Model::FlowKey &flow : flows) {
        if (Session *const session = find(flow))
            processRequests(flow, *session);
    }
}

void AgentTraffic::setTable(std::shared_ptr<const Routing::RoutingTable> table)
{
    boost::asio::post(io_, [this, table = std::move(table)] {
        table_ = table;
        serviceTable_ = table_->findByName(settings_.self.service);
        if (!serviceTable_)
            return;
        const Model::Service &service = serviceTable_->service();
        if (!stack_) {
            stack_ = std::make_unique<Stack::TcpStack>(
                service.address.address, settings_.maximumPacketBytes,
                [this](Tunnel::Bytes packet) {
                    Tunnel::sendDatagram(socket_.native_handle(), Tunnel::GreHeader, packet,
                                         settings_.fabric);
                },
                [this] {
                    if (!eventsPosted_.exchange(true))
                        boost::asio::post(io_, [this] { drainStackEvents(); });
                });
        }
        if (!stack_->listen(service.address))
            log(Level::Error, "listen-failed", {{"address", Model::endpointText(service.address)}});
        runner_.configure(service);
        std::vector<Model::Instance> peers;
        for (const Model::Instance &instance : serviceTable_->instances()) {
            if (instance.name != settings_.self.name)
                peers.push_back(instance);
        }
        prober_.setPeers(std::move(peers));
        director_.onTableChanged(*serviceTable_);
        sendOwnershipNotices();
        updateState();
    });
}

void AgentTraffic::drain()
{
    boost::asio::post(io_, [this] {
        drainRequested_ = true;
        updateState();
    });
}

void AgentTraffic::closeRemainingFlows()
{
    boost::asio::post(io_, [this] {
        isLeaving_ = true;
        nextStateNotice_ = {};
        std::vector<Model::FlowKey> flows;
        for (const auto &[flow, session] : sessions_) {
            if (!session.isMoving)
                flows.push_back(flow);
        }
        for (const Model::FlowKey &flow : flows)
            closeFlow(flow);
    });
}

std::size_t AgentTraffic::openWorkCount()
{
    return onTrafficThread(
        [this] { return sessions_.size() + runner_.runningCount() + runner_.waitingCount(); });
}

void AgentTraffic::scheduleTick()
{
    timer_.expires_after(TickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void AgentTraffic::tick()
{
    const auto now = std::chrono::steady_clock::now();
    const bool wasUnconfirmed = pauseDetector_.isUnconfirmed();
    const bool mayStartNow = mayStartRequests(now);
    if (settings_.warmUp.count() > 0 && state_ == Model::InstanceState::Ready)
        runner_.setSlotShare(std::chrono::duration<double>(now - readySince_)
                             / std::chrono::duration<double>(settings_.warmUp));
    runner_.tick(now);
    carryOut(prober_.tick(now));
    if (stack_ && now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        for (const Model::FlowKey &flow : director_.expire(now))
            stack_->abandon(flow);
    }
    if (now >= nextOwnershipNotices_) {
        nextOwnershipNotices_ = now + OwnershipNoticeInterval;
        sendOwnershipNotices();
    }
    if (state_ != Model::InstanceState::Ready)
        moveFlows(now);
    else if (mayStartNow && stack_)
        offerWaitingRequests();
    if (state_ != Model::InstanceState::Ready && now >= nextStateNotice_) {
        nextStateNotice_ = now + StateNoticeInterval;
        // A leaving agent reports itself as suspect, so that others try it last.
        const auto state = isLeaving_ ? Model::InstanceState::Suspect : state_;
        sendStateNotice({self_.instance, self_.incarnation, state});
    }
    std::erase_if(balancers_,
                  [now](const auto &entry) { return now - entry.second > BalancerLifetime; });
    transferReplies_.expire(now);
    if (wasUnconfirmed && mayStartNow)
        processAllRequests();
}

} // namespace Agent
