#include "agent/agenttraffic.h"

#include "observability/log.h"

#include <algorithm>
#include <utility>

namespace Agent {

using Observability::Level;
using Observability::log;

static constexpr std::chrono::milliseconds MoveRetryDelay{300};
static constexpr std::chrono::seconds RefusalGrace{2};
static constexpr std::size_t MaxMovesInProgress = 32;
static constexpr std::size_t MaxOffersPerTick = 4;

void AgentTraffic::moveFlows(TimePoint now)
{
    if (!stack_)
        return;
    std::vector<Model::FlowKey> flows;
    for (const auto &[flow, session] : sessions_) {
        if (!session.isMoving && now >= session.nextMoveAttempt)
            flows.push_back(flow);
    }
    for (const Model::FlowKey &flow : flows) {
        if (movesInProgress_ >= MaxMovesInProgress)
            return;
        tryMove(now, flow, sessions_.at(flow));
    }
}

/// Offers waiting requests with their flows to random peers (late binding), first the one that
/// would start last. A peer takes a request only if its own expected wait is less than half of the
/// wait here, and each request is offered only once.
void AgentTraffic::offerWaitingRequests()
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
        const auto withdrawn = runner_.withdrawLastWaiting();
        if (!withdrawn)
            return;
        requeue(*withdrawn);
        Session *const session = find(withdrawn->flow);
        if (!session)
            continue;
        const bool mayMove = !session->wasOfferedToPeer && !session->remoteClosed
                             && session->outgoing.empty()
                             && stack_->isFullyAcknowledged(withdrawn->flow);
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

void AgentTraffic::requeue(const RequestRunner::WithdrawnRequest &withdrawn)
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
    std::uniform_int_distribution<std::size_t> distribution(0, instances.size() - 1);
    const Model::Instance &peer = instances[distribution(random_)];
    if (peer.name == settings_.self.name || peer.state != Model::InstanceState::Ready)
        return std::nullopt;
    return Routing::Hop{Model::instanceId(peer.name), peer.incarnation, peer.tunnel};
}

bool AgentTraffic::tryMove(TimePoint now, const Model::FlowKey &flow, Session &session)
{
    const bool isBusy = runner_.hasRequest(flow) && !runner_.hasFeed(flow);
    if (isBusy || session.closesWhenSent || session.remoteClosed || !session.outgoing.empty()
        || !stack_->isFullyAcknowledged(flow))
        return false;
    const auto receiver = receiverFor(flow, session);
    if (!receiver) {
        session.nextMoveAttempt = now + MoveRetryDelay;
        session.refusedBy.clear();
        refuseNextRequest(now, flow, session);
        return false;
    }
    return startMove(flow, session, *receiver, std::chrono::milliseconds(0));
}

bool AgentTraffic::startMove(const Model::FlowKey &flow, Session &session,
                             const Routing::Hop &receiver, std::chrono::milliseconds waitLimit)
{
    const Model::Instance *const peer = findPeer(receiver.instance);
    if (!peer)
        return false;
    Move move;
    move.receiver = receiver;
    if (runner_.hasFeed(flow)) {
        move.transfer.feed = runner_.suspendFeed(flow);
        if (!move.transfer.feed)
            return false;
    }
    if (session.unconsumedBytes > 0) {
        stack_->consume(flow, session.unconsumedBytes);
        session.unconsumedBytes = 0;
    }
    auto tcp = stack_->exportFlow(flow);
    if (!tcp) {
        if (move.transfer.feed)
            runner_.resumeFeed(flow, *move.transfer.feed);
        return false;
    }

    move.transfer.id = ++nextTransferId_;
    move.transfer.service = service_;
    move.transfer.receiver = receiver.instance;
    move.transfer.receiverIncarnation = receiver.incarnation;
    move.transfer.epoch = director_.epochAfterMove(flow);
    move.transfer.tcp = *tcp;
    move.transfer.unreadBytes = session.reader.unreadBytes();
    move.transfer.waitLimit = waitLimit;
    if (session.requestDeadline) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            *session.requestDeadline - std::chrono::steady_clock::now());
        // 0 means that the request has no deadline of its own.
        move.transfer.deadline = std::max(remaining, std::chrono::milliseconds(1));
    }
    session.isMoving = true;
    director_.beginMove(flow);
    ++movesInProgress_;
    peerClient_.transfer(peer->peer, move.transfer, [this, move](TransferResult result) {
        boost::asio::post(io_, [this, move, result] { onMoveFinished(move, result); });
    });
    return true;
}

/// Refuses the next request of a flow that no peer takes over, since this agent runs no further
/// requests.
void AgentTraffic::refuseNextRequest(TimePoint now, const Model::FlowKey &flow, Session &session)
{
    if (now - drainingSince_ < RefusalGrace || runner_.hasFeed(flow))
        return;
    const auto next = session.reader.next();
    if (!next)
        return;
    ++counters_.requestsRefused;
    const auto *const request = std::get_if<Requests::HttpRequest>(&*next);
    session.closesWhenSent = !request || !request->keepAlive;
    session.outgoing +=
        request ? Requests::refusalResponse(Requests::RefusalCause::Stopping, 1, request->keepAlive)
                : Requests::badRequestResponse();
    flushOutgoing(flow, session);
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

void AgentTraffic::onMoveFinished(const Move &move, TransferResult result)
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
        // The receiver may have continued the flow, so it must not continue here.
        log(Level::Warning, "flow-move-unknown", {{"flow", Model::flowText(flow)}});
        director_.completeMove(std::chrono::steady_clock::now(), flow, move.receiver);
        sessions_.erase(flow);
        return;
    case TransferResult::NotSent:
    case TransferResult::Refused:
        rollBackMove(move);
        return;
    }
}

void AgentTraffic::rollBackMove(const Move &move)
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

TransferReply AgentTraffic::acceptTransfer(const FlowTransfer &transfer)
{
    const bool isAddressee = transfer.service == service_ && transfer.receiver == self_.instance
                             && transfer.receiverIncarnation == self_.incarnation;
    if (!isAddressee)
        return TransferReply::OtherInstance;
    if (const auto known = transferReplies_.find(transfer.id))
        return *known;

    const auto now = std::chrono::steady_clock::now();
    const Flows::Availability current = availability();
    const bool isTaken = stack_ && current.isReady && current.isBelowConnectionLimit
                         && isShorterWait(transfer.waitLimit) && stack_->importFlow(transfer.tcp);
    const auto reply = isTaken ? TransferReply::Taken : TransferReply::Refused;
    transferReplies_.add(now, transfer.id, reply);
    if (isTaken)
        adoptFlow(transfer);
    return reply;
}

void AgentTraffic::adoptFlow(const FlowTransfer &transfer)
{
    ++counters_.flowsAdopted;
    const Model::FlowKey &flow = transfer.tcp.flow;
    director_.adopt(std::chrono::steady_clock::now(), flow, transfer.epoch);
    Session &session = sessions_[flow] = {};
    session.reader.append(transfer.unreadBytes);
    if (transfer.deadline.count() > 0)
        session.requestDeadline = std::chrono::steady_clock::now() + transfer.deadline;
    if (transfer.feed)
        runner_.resumeFeed(flow, *transfer.feed);
    if (serviceTable_) {
        const auto chain =
            serviceTable_->chainFor(Model::flowHash(flow), Routing::PacketKind::ContinuesFlow);
        if (!chain.isEmpty() && chain[0].instance != self_.instance)
            sendRedirects(chain[0], {{flow, transfer.epoch}});
    }
    drainStackEvents();
    if (Session *const current = find(flow))
        processRequests(flow, *current);
}

} // namespace Agent
