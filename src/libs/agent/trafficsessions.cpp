#include "agent/agenttraffic.h"

#include <utility>

namespace Agent {

static constexpr std::size_t MaxOutgoingBytes = 256 * 1024;
static constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

void AgentTraffic::drainStackEvents()
{
    eventsPosted_ = false;
    for (const Stack::Event &event : stack_->takeEvents())
        std::visit([this](const auto &content) { onEvent(content); }, event);
}

void AgentTraffic::onEvent(const Stack::SynAckSent &event)
{
    director_.onSynAckSent(event.flow, event.initialSequence);
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

void AgentTraffic::onEvent(const Stack::RemoteClosed &event)
{
    Session *const session = find(event.flow);
    if (!session)
        return;
    session->farEndClosed = true;
    if (!runner_.hasRequest(event.flow) || runner_.hasFeed(event.flow))
        finishFlow(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::Aborted &event)
{
    const auto now = std::chrono::steady_clock::now();
    if (runner_.hasRequest(event.flow))
        ++counters_.flowsBroken;
    runner_.callerGone(now, event.flow);
    director_.onFlowRemoved(event.flow);
    sessions_.erase(event.flow);
}

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
                session.outgoing += Requests::badRequestResponse();
                pump(flow, session);
                return;
            }
        }
    }
    const bool hasRoom =
        !runner_.hasRequest(flow) || session.reader.unreadBytes().size() < MaxPipelinedBytes;
    if (hasRoom && session.withheld > 0) {
        stack_->consume(flow, session.withheld);
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
    if (!keepsOpen) {
        session->closesWhenSent = true;
        return pump(flow, *session);
    }
    processRequests(flow, *session);
    // A caller that sends nothing more may still wait for answers to what it sent before.
    Session *const remaining = find(flow);
    if (remaining && remaining->farEndClosed && !runner_.hasRequest(flow))
        finishFlow(flow, *remaining);
}

/// Closes a flow whose far end sends nothing more, once its answers are sent. Such a flow can't be
/// moved, so that requests which this agent may not run any more are refused.
void AgentTraffic::finishFlow(const Model::FlowKey &flow, Session &session)
{
    while (const auto next = session.reader.next()) {
        if (!std::holds_alternative<Requests::HttpRequest>(*next))
            break;
        ++counters_.requestsRefused;
        session.outgoing += Requests::refusalResponse(Requests::RefusalCause::Stopping, 1, true);
    }
    session.closesWhenSent = true;
    pump(flow, session);
}

void AgentTraffic::breakOff(const Model::FlowKey &flow)
{
    ++counters_.flowsBroken;
    stack_->reset(flow);
    director_.onFlowRemoved(flow);
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

} // namespace Agent
