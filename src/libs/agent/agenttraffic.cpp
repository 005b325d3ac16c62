#include "agent/agenttraffic.h"

#include "observability/log.h"

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include <future>
#include <utility>

namespace Agent {

using Observability::Level;
using Observability::log;

static constexpr std::chrono::milliseconds TickInterval{5};
static constexpr std::chrono::milliseconds ExpiryInterval{500};
static constexpr std::chrono::seconds NoticesInterval{10};
static constexpr std::chrono::milliseconds MoveRetryPause{300};
static constexpr std::chrono::seconds RefusalGrace{2};
static constexpr std::chrono::minutes TransferReplyLifetime{2};
static constexpr std::chrono::seconds StateNoticeInterval{1};
static constexpr std::chrono::seconds BalancerLifetime{60};
static constexpr std::size_t MaxBalancers = 64;
static constexpr std::size_t MaxNoticedPeers = 32;
static constexpr std::size_t MaxMovesInProgress = 32;
static constexpr std::size_t MaxOffersPerTick = 4;
static constexpr std::size_t MaxBatchesPerTurn = 8;
static constexpr std::size_t MaxOutgoingBytes = 256 * 1024;
static constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

AgentTraffic::AgentTraffic(TrafficSettings settings)
    : settings_(std::move(settings))
    , self_{Model::instanceId(settings_.self.name), settings_.self.incarnation,
            settings_.self.tunnel}
    , service_(Model::serviceId(settings_.self.service))
    , work_(boost::asio::make_work_guard(io_))
    , socket_(io_, Tunnel::openUdpSocket(settings_.self.tunnel))
    , timer_(io_)
    , director_(self_, service_)
    , runner_(io_, settings_.backend,
              {[this](const auto &flow, const std::string &bytes) { write(flow, bytes); },
               [this](const auto &flow, bool keepsOpen) { endAnswer(flow, keepsOpen); },
               [this](const auto &flow) { breakOff(flow); },
               [this](const auto &flow, const auto &request) { giveBack(flow, request); }})
    , health_(io_, settings_.backend, [this](BackendState state) { onBackendState(state); })
    , prober_(self_, std::uint64_t(self_.instance) ^ std::uint64_t(self_.incarnation))
    , nextTransfer_(std::uint64_t(self_.instance) ^ (std::uint64_t(self_.incarnation) << 20))
    , random_(nextTransfer_)
{
    PeerServer::Handlers peerHandlers;
    peerHandlers.offer = [this](Model::InstanceId instance, Model::Incarnation incarnation,
                                std::chrono::milliseconds waitLimit) {
        return onTrafficThread([&] {
            if (!isShorterWait(waitLimit))
                return false;
            return instance == self_.instance && incarnation == self_.incarnation && stack_
                   && room().isReady && room().hasRoom;
        });
    };
    peerHandlers.take = [this](const FlowTransfer &transfer) {
        return onTrafficThread([&] { return take(transfer); });
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

/// Runs \a function on the traffic thread and waits for its result.
template<typename F>
auto AgentTraffic::onTrafficThread(F function) -> decltype(function())
{
    auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto result = task->get_future();
    boost::asio::post(io_, [task] { (*task)(); });
    return result.get();
}

void AgentTraffic::run()
{
    health_.start();
    waitForPackets();
    scheduleTick();
    io_.run();
}

// Packets

void AgentTraffic::waitForPackets()
{
    socket_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code &error) {
                           if (error)
                               return;
                           receivePackets();
                           waitForPackets();
                       });
}

void AgentTraffic::receivePackets()
{
    for (std::size_t batch = 0; batch < MaxBatchesPerTurn; ++batch) {
        const std::size_t count = received_.receive(socket_.native_handle());
        if (count == 0)
            return;
        for (std::size_t index = 0; index < count; ++index)
            onDatagram(received_.datagram(index), received_.sender(index));
    }
}

void AgentTraffic::onDatagram(Tunnel::Bytes bytes, const Model::Endpoint &sender)
{
    ++counters_.received;
    const auto received = Tunnel::decodeDatagram(bytes);
    if (!received) {
        ++counters_.malformed;
        return;
    }
    const Tunnel::Datagram &datagram = received->datagram;
    if (table_ && datagram.generation > table_->generation())
        handlers_.generationMissed();

    if (const auto *header = std::get_if<Tunnel::PacketHeader>(&datagram.content)) {
        if (header->passes == 0)
            noteBalancer(sender);
        return onPacket(datagram, *header, received->packet);
    }
    if (datagram.service != service_) {
        ++counters_.drops[std::size_t(Flows::DropCause::OtherService)];
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (const auto *redirects = std::get_if<Tunnel::Redirects>(&datagram.content))
        onRedirects(*redirects);
    else if (const auto *probe = std::get_if<Tunnel::Probe>(&datagram.content))
        carryOut(prober_.onProbe(now, *probe));
    else if (const auto *answer = std::get_if<Tunnel::ProbeAnswer>(&datagram.content))
        carryOut(prober_.onAnswer(*answer));
    else if (const auto *notice = std::get_if<Tunnel::StateNotice>(&datagram.content))
        handlers_.stateNoticed(*notice);
}

void AgentTraffic::noteBalancer(const Model::Endpoint &sender)
{
    if (balancers_.size() < MaxBalancers || balancers_.contains(sender))
        balancers_[sender] = std::chrono::steady_clock::now();
}

/// Tells the balancers that send here, and the peers, what the platform may not be able to.
void AgentTraffic::sendStateNotice(const Tunnel::StateNotice &notice)
{
    for (const auto &[balancer, seen] : balancers_)
        sendControl(balancer, {service_, {}, notice});
    if (!serviceTable_)
        return;
    std::size_t told = 0;
    for (const Model::Instance &peer : serviceTable_->instances()) {
        if (peer.name != settings_.self.name && told++ < MaxNoticedPeers)
            sendControl(peer.tunnel, {service_, {}, notice});
    }
}

void AgentTraffic::onPacket(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                            Tunnel::Bytes packet)
{
    const auto parsed = Tunnel::parseTcpPacket(packet);
    if (!std::holds_alternative<Tunnel::TcpPacket>(parsed)) {
        ++counters_.malformed;
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto &tcp = std::get<Tunnel::TcpPacket>(parsed);
    const auto decision = director_.onPacket(now, datagram.service, header, tcp, room());
    if (decision.forgetsEarlierFlow && stack_) {
        stack_->abandon(tcp.flow);
        runner_.callerGone(now, tcp.flow);
        sessions_.erase(tcp.flow);
    }
    if (decision.notice)
        sendRedirects(decision.notice->receiver, {decision.notice->flow});
    if (const auto *onward = std::get_if<Flows::PassOn>(&decision.verdict)) {
        passOn(datagram, onward->header, packet);
    } else if (const auto *dropped = std::get_if<Flows::Drop>(&decision.verdict)) {
        ++counters_.drops[std::size_t(dropped->cause)];
    } else if (stack_) {
        ++counters_.delivered;
        stack_->input(packet);
        drainStackEvents();
    }
}

void AgentTraffic::passOn(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                          Tunnel::Bytes packet)
{
    ++counters_.passedOn;
    const auto encoded = Tunnel::encodeDatagram({datagram.service, datagram.generation, header});
    Tunnel::sendDatagram(socket_.native_handle(), encoded, packet,
                         header.chain[header.position].tunnel);
}

void AgentTraffic::onRedirects(const Tunnel::Redirects &redirects)
{
    director_.onRedirects(std::chrono::steady_clock::now(), redirects.owner, redirects.flows);
}

void AgentTraffic::sendRedirects(const Routing::Hop &receiver,
                                 const std::vector<Tunnel::ClaimedFlow> &flows)
{
    for (std::size_t first = 0; first < flows.size(); first += Tunnel::MaxFlowsPerRedirects) {
        const std::size_t last = std::min(flows.size(), first + Tunnel::MaxFlowsPerRedirects);
        Tunnel::Redirects redirects{
            self_, {flows.begin() + std::ptrdiff_t(first), flows.begin() + std::ptrdiff_t(last)}};
        sendControl(receiver.tunnel, {service_, {}, std::move(redirects)});
    }
}

void AgentTraffic::sendControl(const Model::Endpoint &receiver, Tunnel::Datagram datagram)
{
    datagram.generation = table_ ? table_->generation() : Model::Generation{};
    const auto encoded = Tunnel::encodeDatagram(datagram);
    counters_.controlBytesSent += encoded.size();
    Tunnel::sendDatagram(socket_.native_handle(), encoded, {}, receiver);
}

void AgentTraffic::carryOut(const std::vector<Membership::ProberAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<Membership::SendProbe>(&action))
            sendControl(probe->receiver.tunnel, {service_, {}, probe->probe});
        else if (const auto *answer = std::get_if<Membership::SendAnswer>(&action))
            sendControl(answer->receiver.tunnel, {service_, {}, answer->answer});
        else if (const auto *suspect = std::get_if<Membership::SuspectPeer>(&action)) {
            const Tunnel::StateNotice notice{Model::instanceId(suspect->name), suspect->incarnation,
                                             Model::InstanceState::Suspect};
            handlers_.peerSuspect(*suspect);
            handlers_.stateNoticed(notice);
            sendStateNotice(notice);
        } else
            handlers_.peerForgotten(std::get<Membership::ForgetPeer>(action));
    }
}

void AgentTraffic::sendOwnershipNotices()
{
    if (!serviceTable_)
        return;
    for (const auto &[receiver, flows] : director_.ownershipNotices(*serviceTable_))
        sendRedirects(receiver, flows);
}

// Events of the TCP stack

void AgentTraffic::drainStackEvents()
{
    eventsPosted_ = false;
    for (const Stack::Event &event : stack_->takeEvents())
        std::visit([this](const auto &content) { onEvent(content); }, event);
}

void AgentTraffic::onEvent(const Stack::SynAnswered &event)
{
    director_.onSynAnswered(event.flow, event.initialSequence);
}

void AgentTraffic::onEvent(const Stack::Opened &event)
{
    ++counters_.flowsOpened;
    sessions_[event.flow] = {};
}

void AgentTraffic::onEvent(const Stack::Received &event)
{
    Session *const session = find(event.flow);
    if (!session)
        return;
    session->reader.feed(event.bytes);
    session->withheld += event.bytes.size();
    processRequests(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::Writable &event)
{
    if (Session *const session = find(event.flow))
        pump(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::FarEndClosed &event)
{
    Session *const session = find(event.flow);
    if (!session)
        return;
    session->farEndClosed = true;
    const bool isBusy = runner_.hasRequest(event.flow) && !runner_.hasFeed(event.flow);
    if (!isBusy && session->outgoing.empty())
        closeFlow(event.flow);
}

void AgentTraffic::onEvent(const Stack::Gone &event)
{
    const auto now = std::chrono::steady_clock::now();
    if (runner_.hasRequest(event.flow))
        ++counters_.flowsBroken;
    runner_.callerGone(now, event.flow);
    director_.onGone(event.flow);
    sessions_.erase(event.flow);
}

// Requests and answers

AgentTraffic::Session *AgentTraffic::find(const Model::FlowKey &flow)
{
    const auto entry = sessions_.find(flow);
    return entry == sessions_.end() ? nullptr : &entry->second;
}

void AgentTraffic::processRequests(const Model::FlowKey &flow, Session &session)
{
    const auto now = std::chrono::steady_clock::now();
    // A draining agent leaves the next request to the peer that takes the flow over.
    const bool takesRequests = state_ == Model::InstanceState::Ready && mayStart(now)
                               && !session.isMoving && !session.closesWhenSent;
    if (takesRequests && !runner_.hasRequest(flow)) {
        if (auto next = session.reader.next()) {
            if (auto *request = std::get_if<Requests::HttpRequest>(&*next)) {
                const auto deadline = std::exchange(session.requestDeadline, std::nullopt);
                session.triedPeer = deadline.has_value();
                runner_.submit(now, flow, std::move(*request), deadline);
            } else {
                session.closesWhenSent = true;
                session.outgoing += Requests::badRequestAnswer();
                pump(flow, session);
                return;
            }
        }
    }
    const bool hasRoom =
        !runner_.hasRequest(flow) || session.reader.unreadBytes().size() < MaxPipelinedBytes;
    if (hasRoom && session.withheld > 0) {
        stack_->consumed(flow, session.withheld);
        session.withheld = 0;
    }
}

void AgentTraffic::pump(const Model::FlowKey &flow, Session &session)
{
    if (!session.outgoing.empty()) {
        const std::size_t written = stack_->write(flow, session.outgoing);
        session.outgoing.erase(0, written);
    }
    if (session.outgoing.size() < MaxOutgoingBytes)
        runner_.readMore(flow);
    if (session.closesWhenSent && session.outgoing.empty())
        closeFlow(flow);
}

void AgentTraffic::write(const Model::FlowKey &flow, const std::string &bytes)
{
    Session *const session = find(flow);
    if (!session)
        return;
    session->outgoing += bytes;
    pump(flow, *session);
}

void AgentTraffic::endAnswer(const Model::FlowKey &flow, bool keepsOpen)
{
    Session *const session = find(flow);
    if (!session)
        return;
    session->closesWhenSent = !keepsOpen || session->farEndClosed;
    if (session->closesWhenSent && session->outgoing.empty())
        return closeFlow(flow);
    processRequests(flow, *session);
}

void AgentTraffic::breakOff(const Model::FlowKey &flow)
{
    ++counters_.flowsBroken;
    stack_->reset(flow);
    director_.onGone(flow);
    sessions_.erase(flow);
}

/// The request runs where a peer takes its flow over.
void AgentTraffic::giveBack(const Model::FlowKey &flow, const Requests::HttpRequest &request)
{
    if (Session *const session = find(flow))
        session->reader.putBack(request);
    health_.noteUnreachable();
}

void AgentTraffic::closeFlow(const Model::FlowKey &key)
{
    const Model::FlowKey flow = key;
    const auto now = std::chrono::steady_clock::now();
    runner_.callerGone(now, flow);
    director_.onClosed(now, flow, stack_->endSequence(flow));
    stack_->close(flow);
    sessions_.erase(flow);
}

// Moving flows to peers

void AgentTraffic::moveFlows(TimePoint now)
{
    if (!stack_)
        return;
    std::vector<Model::FlowKey> flows;
    for (const auto &[flow, session] : sessions_) {
        if (!session.isMoving && now >= session.nextMove)
            flows.push_back(flow);
    }
    for (const Model::FlowKey &flow : flows) {
        if (movesInProgress_ >= MaxMovesInProgress)
            return;
        tryMove(now, flow, sessions_.at(flow));
    }
}

/// Late binding: the waiting request that would start last is offered, with its flow, to a random
/// peer. Only a peer with less than half of the wait takes it, and each request is offered once.
void AgentTraffic::offerWaiting()
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        runner_.expectedWait(std::chrono::steady_clock::now()));
    const auto waitLimit = wait / 2;
    if (waitLimit.count() == 0)
        return;
    for (std::size_t offers = 0; offers < MaxOffersPerTick; ++offers) {
        if (movesInProgress_ >= MaxMovesInProgress || runner_.waitingCount() == 0)
            return;
        const auto receiver = randomPeer();
        if (!receiver)
            return;
        const auto withdrawn = runner_.withdrawLast();
        if (!withdrawn)
            return;
        putBack(*withdrawn);
        Session *const session = find(withdrawn->flow);
        if (!session)
            continue;
        const bool mayMove = !session->triedPeer && !session->farEndClosed
                             && session->outgoing.empty() && stack_->isQuiet(withdrawn->flow);
        if (mayMove && startMove(withdrawn->flow, *session, *receiver, waitLimit)) {
            ++counters_.requestsOffered;
            continue;
        }
        processRequests(withdrawn->flow, *session);
        return;
    }
}

bool AgentTraffic::isShorterWait(std::chrono::milliseconds limit) const
{
    return limit.count() == 0 || runner_.expectedWait(std::chrono::steady_clock::now()) < limit;
}

void AgentTraffic::putBack(const RequestRunner::Withdrawn &withdrawn)
{
    Session *const session = find(withdrawn.flow);
    if (!session)
        return;
    session->reader.putBack(withdrawn.request);
    session->requestDeadline = withdrawn.deadline;
}

std::optional<Routing::Hop> AgentTraffic::randomPeer()
{
    if (!serviceTable_ || serviceTable_->instances().size() < 2)
        return std::nullopt;
    const auto &instances = serviceTable_->instances();
    std::uniform_int_distribution<std::size_t> any(0, instances.size() - 1);
    const Model::Instance &peer = instances[any(random_)];
    if (peer.name == settings_.self.name || peer.state != Model::InstanceState::Ready)
        return std::nullopt;
    return Routing::Hop{Model::instanceId(peer.name), peer.incarnation, peer.tunnel};
}

bool AgentTraffic::tryMove(TimePoint now, const Model::FlowKey &flow, Session &session)
{
    const bool isBusy = runner_.hasRequest(flow) && !runner_.hasFeed(flow);
    if (isBusy || session.closesWhenSent || session.farEndClosed || !session.outgoing.empty()
        || !stack_->isQuiet(flow))
        return false;
    const auto receiver = receiverFor(flow, session);
    if (!receiver) {
        session.nextMove = now + MoveRetryPause;
        session.refusedBy.clear();
        refuseNext(now, flow, session);
        return false;
    }
    return startMove(flow, session, *receiver, std::chrono::milliseconds(0));
}

bool AgentTraffic::startMove(const Model::FlowKey &flow, Session &session,
                             const Routing::Hop &receiver, std::chrono::milliseconds waitLimit)
{
    const Model::Instance *const peer = peerNamed(receiver.instance);
    if (!peer)
        return false;
    Move move;
    move.receiver = receiver;
    if (runner_.hasFeed(flow)) {
        move.transfer.feed = runner_.takeFeed(flow);
        if (!move.transfer.feed)
            return false;
    }
    if (session.withheld > 0) {
        stack_->consumed(flow, session.withheld);
        session.withheld = 0;
    }
    auto tcp = stack_->exportFlow(flow);
    if (!tcp) {
        if (move.transfer.feed)
            runner_.resumeFeed(flow, *move.transfer.feed);
        return false;
    }

    move.transfer.id = ++nextTransfer_;
    move.transfer.service = service_;
    move.transfer.receiver = receiver.instance;
    move.transfer.receiverIncarnation = receiver.incarnation;
    move.transfer.epoch = director_.epochAfterMove(flow);
    move.transfer.tcp = *tcp;
    move.transfer.unreadBytes = session.reader.unreadBytes();
    move.transfer.waitLimit = waitLimit;
    if (session.requestDeadline)
        move.transfer.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
            *session.requestDeadline - std::chrono::steady_clock::now());
    session.isMoving = true;
    director_.beginMove(flow);
    ++movesInProgress_;
    peerClient_.transfer(peer->peer, move.transfer, [this, move](TransferResult result) {
        boost::asio::post(io_, [this, move, result] { onMoved(move, result); });
    });
    return true;
}

/// Refuses the next request of a flow that no peer takes, as this agent takes no more work.
void AgentTraffic::refuseNext(TimePoint now, const Model::FlowKey &flow, Session &session)
{
    if (now - drainingSince_ < RefusalGrace || runner_.hasFeed(flow))
        return;
    const auto next = session.reader.next();
    if (!next)
        return;
    ++counters_.requestsRefused;
    const auto *const request = std::get_if<Requests::HttpRequest>(&*next);
    session.closesWhenSent = !request || !request->keepsFlowOpen;
    session.outgoing += request ? Requests::refusalAnswer(Requests::RefusalCause::Stopping, 1,
                                                          request->keepsFlowOpen)
                                : Requests::badRequestAnswer();
    pump(flow, session);
}

std::optional<Routing::Hop> AgentTraffic::receiverFor(const Model::FlowKey &flow,
                                                      const Session &session)
{
    if (!serviceTable_)
        return std::nullopt;
    const auto chain =
        serviceTable_->chainFor(Model::flowHash(flow), Routing::PacketKind::OpensFlow);
    for (const Routing::Hop &hop : chain) {
        if (hop.instance != self_.instance && !session.refusedBy.contains(hop.instance))
            return hop;
    }
    return std::nullopt;
}

void AgentTraffic::onMoved(const Move &move, TransferResult result)
{
    --movesInProgress_;
    ++counters_.transfers[std::size_t(result)];
    const Model::FlowKey &flow = move.transfer.tcp.flow;
    switch (result) {
    case TransferResult::Taken:
        ++counters_.flowsMoved;
        director_.completeMove(std::chrono::steady_clock::now(), flow, move.receiver);
        sessions_.erase(flow);
        return;
    case TransferResult::Unknown:
        // The receiver may have gone on with the flow, so that it must not go on here.
        log(Level::Warning, "flow-move-unknown", {{"flow", Model::flowText(flow)}});
        director_.completeMove(std::chrono::steady_clock::now(), flow, move.receiver);
        sessions_.erase(flow);
        return;
    case TransferResult::NotSent:
    case TransferResult::Refused:
        takeBack(move);
        return;
    }
}

void AgentTraffic::takeBack(const Move &move)
{
    const Model::FlowKey &flow = move.transfer.tcp.flow;
    Session *const session = find(flow);
    if (!session)
        return;
    session->isMoving = false;
    session->refusedBy.insert(move.receiver.instance);
    director_.cancelMove(flow);
    stack_->importFlow(move.transfer.tcp);
    if (move.transfer.feed)
        runner_.resumeFeed(flow, *move.transfer.feed);
    processRequests(flow, *session);
}

TransferReply AgentTraffic::take(const FlowTransfer &transfer)
{
    const bool isMeant = transfer.service == service_ && transfer.receiver == self_.instance
                         && transfer.receiverIncarnation == self_.incarnation;
    if (!isMeant)
        return TransferReply::OtherInstance;
    if (const auto known = transferReplies_.find(transfer.id); known != transferReplies_.end())
        return known->second;

    const auto now = std::chrono::steady_clock::now();
    const Flows::Room current = room();
    const bool isTaken = stack_ && current.isReady && current.hasRoom
                         && isShorterWait(transfer.waitLimit) && stack_->importFlow(transfer.tcp);
    const auto reply = isTaken ? TransferReply::Taken : TransferReply::Refused;
    transferReplies_[transfer.id] = reply;
    transferOrder_.emplace_back(now, transfer.id);
    if (isTaken)
        adopt(transfer);
    return reply;
}

void AgentTraffic::adopt(const FlowTransfer &transfer)
{
    ++counters_.flowsAdopted;
    const Model::FlowKey &flow = transfer.tcp.flow;
    director_.adopt(std::chrono::steady_clock::now(), flow, transfer.epoch);
    Session &session = sessions_[flow] = {};
    session.reader.feed(transfer.unreadBytes);
    if (transfer.deadline.count() > 0)
        session.requestDeadline = std::chrono::steady_clock::now() + transfer.deadline;
    if (transfer.feed)
        runner_.resumeFeed(flow, *transfer.feed);
    if (serviceTable_) {
        const auto chain =
            serviceTable_->chainFor(Model::flowHash(flow), Routing::PacketKind::OfFlow);
        if (!chain.isEmpty() && chain[0].instance != self_.instance)
            sendRedirects(chain[0], {{flow, transfer.epoch}});
    }
    drainStackEvents();
    if (Session *const current = find(flow))
        processRequests(flow, *current);
}

// State

const Model::Instance *AgentTraffic::peerNamed(Model::InstanceId instance) const
{
    if (!serviceTable_)
        return nullptr;
    for (const Model::Instance &peer : serviceTable_->instances()) {
        if (Model::instanceId(peer.name) == instance)
            return &peer;
    }
    return nullptr;
}

Flows::Room AgentTraffic::room() const
{
    Flows::Room room;
    room.isReady = stack_ && state_ == Model::InstanceState::Ready && !pauseDetector_.isInDoubt();
    room.hasSpare = runner_.hasSpareSlot();
    room.hasRoom =
        serviceTable_ && director_.openCount() < serviceTable_->service().connectionsPerServer;
    return room;
}

bool AgentTraffic::mayStart(TimePoint now)
{
    pauseDetector_.onRunning(now);
    pauseDetector_.onConfirmed(prober_.lastConfirmed());
    const bool inDoubt = pauseDetector_.isInDoubt();
    runner_.setPaused(inDoubt);
    return !inDoubt;
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
    const bool isReady = !drainAsked_ && stack_ && health_.state() == BackendState::Ready;
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
        putBack(withdrawn);
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
            stack_->listen(service.address.port);
        }
        runner_.configure(service);
        std::vector<Model::Instance> peers;
        for (const Model::Instance &instance : serviceTable_->instances()) {
            if (instance.name != settings_.self.name)
                peers.push_back(instance);
        }
        prober_.setPeers(std::move(peers));
        director_.onTable(*serviceTable_);
        sendOwnershipNotices();
        updateState();
    });
}

void AgentTraffic::drain()
{
    boost::asio::post(io_, [this] {
        drainAsked_ = true;
        updateState();
    });
}

void AgentTraffic::closeRemaining()
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

std::size_t AgentTraffic::openWork()
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
    const bool wasInDoubt = pauseDetector_.isInDoubt();
    const bool mayStartNow = mayStart(now);
    if (settings_.warmUp.count() > 0 && state_ == Model::InstanceState::Ready)
        runner_.setWarmth(std::chrono::duration<double>(now - readySince_)
                          / std::chrono::duration<double>(settings_.warmUp));
    runner_.tick(now);
    carryOut(prober_.tick(now));
    if (stack_ && now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        for (const Model::FlowKey &flow : director_.expire(now))
            stack_->abandon(flow);
    }
    if (now >= nextNotices_) {
        nextNotices_ = now + NoticesInterval;
        sendOwnershipNotices();
    }
    if (state_ != Model::InstanceState::Ready)
        moveFlows(now);
    else if (mayStartNow && stack_)
        offerWaiting();
    if (state_ != Model::InstanceState::Ready && now >= nextStateNotice_) {
        nextStateNotice_ = now + StateNoticeInterval;
        // Peers that leave are asked last, as if they were suspect.
        const auto state = isLeaving_ ? Model::InstanceState::Suspect : state_;
        sendStateNotice({self_.instance, self_.incarnation, state});
    }
    std::erase_if(balancers_,
                  [now](const auto &entry) { return now - entry.second > BalancerLifetime; });
    while (!transferOrder_.empty() && now - transferOrder_.front().first > TransferReplyLifetime) {
        transferReplies_.erase(transferOrder_.front().second);
        transferOrder_.pop_front();
    }
    if (wasInDoubt && mayStartNow)
        processAllRequests();
}

nlohmann::json AgentTraffic::state()
{
    return onTrafficThread([this] {
        const RequestCounters &requests = runner_.counters();
        nlohmann::json drops;
        for (std::size_t cause = 0; cause < counters_.drops.size(); ++cause)
            drops[Flows::dropCauseText(Flows::DropCause(cause))] = counters_.drops[cause];
        nlohmann::json refusals;
        for (std::size_t cause = 0; cause < requests.refusals.size(); ++cause)
            refusals[Requests::refusalText(Requests::RefusalCause(cause))] =
                requests.refusals[cause];
        nlohmann::json transfers;
        for (std::size_t result = 0; result < counters_.transfers.size(); ++result)
            transfers[transferResultText(TransferResult(result))] = counters_.transfers[result];
        return nlohmann::json{
            {"role", "agent"},
            {"name", settings_.self.name},
            {"service", settings_.self.service},
            {"incarnation", std::uint64_t(self_.incarnation)},
            {"state", Model::stateText(state_)},
            {"backend", backendStateText(health_.state())},
            {"generation", table_ ? std::uint64_t(table_->generation()) : 0},
            {"inDoubt", pauseDetector_.isInDoubt()},
            {"flows",
             {{"open", sessions_.size()},
              {"redirects", director_.redirectCount()},
              {"opened", counters_.flowsOpened},
              {"adopted", counters_.flowsAdopted},
              {"moved", counters_.flowsMoved},
              {"offeredWithRequest", counters_.requestsOffered},
              {"broken", counters_.flowsBroken},
              {"transfers", transfers}}},
            {"packets",
             {{"received", counters_.received},
              {"delivered", counters_.delivered},
              {"passedOn", counters_.passedOn},
              {"malformed", counters_.malformed},
              {"controlBytesSent", counters_.controlBytesSent},
              {"dropped", drops}}},
            {"requests",
             {{"running", runner_.runningCount()},
              {"waiting", runner_.waitingCount()},
              {"submitted", requests.submitted},
              {"answered", requests.answered},
              {"unknown", requests.unknown},
              {"retries", requests.retries},
              {"repeatsAnswered", requests.repeatsAnswered},
              {"feedsOpened", requests.feedsOpened},
              {"queueMicroseconds", requests.queueTime.count()},
              {"refused", refusals}}},
        };
    });
}

} // namespace Agent
