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
    session->reader.append(event.bytes);
    session->unconsumedBytes += event.bytes.size();
    processRequests(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::Writable &event)
{
    if (Session *const session = find(event.flow))
        flushOutgoing(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::RemoteClosed &event)
{
    Session *const session = find(event.flow);
    if (!session)
        return;
    session->remoteClosed = true;
    if (!runner_.hasRequest(event.flow) || runner_.hasFeed(event.flow))
        closeAfterResponses(event.flow, *session);
}

void AgentTraffic::onEvent(const Stack::Aborted &event)
{
    const auto now = std::chrono::steady_clock::now();
    if (runner_.hasRequest(event.flow))
        ++counters_.flowsBroken;
    runner_.onCallerDisconnected(now, event.flow);
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
    // A draining agent leaves the next request to the peer that takes over the flow.
    const bool takesRequests = state_ == Model::InstanceState::Ready && mayStartRequests(now)
                               && !session.isMoving && !session.closesWhenSent;
    if (takesRequests && !runner_.hasRequest(flow)) {
        if (auto next = session.reader.next()) {
            if (auto *request = std::get_if<Requests::HttpRequest>(&*next)) {
                const auto deadline = std::exchange(session.requestDeadline, std::nullopt);
                session.wasOfferedToPeer = deadline.has_value();
                runner_.submit(now, flow, std::move(*request), deadline);
            } else {
                session.closesWhenSent = true;
                session.outgoing += Requests::badRequestResponse();
                flushOutgoing(flow, session);
                return;
            }
        }
    }
    const bool hasBufferSpace =
        !runner_.hasRequest(flow) || session.reader.unreadBytes().size() < MaxPipelinedBytes;
    if (hasBufferSpace && session.unconsumedBytes > 0) {
        stack_->consume(flow, session.unconsumedBytes);
        session.unconsumedBytes = 0;
    }
}

void AgentTraffic::flushOutgoing(const Model::FlowKey &flow, Session &session)
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
    flushOutgoing(flow, *session);
}

void AgentTraffic::finishResponse(const Model::FlowKey &flow, bool keepsOpen)
{
    Session *const session = find(flow);
    if (!session)
        return;
    if (!keepsOpen) {
        session->closesWhenSent = true;
        return flushOutgoing(flow, *session);
    }
    processRequests(flow, *session);
    // A caller that closed its side may still be waiting for responses to earlier requests.
    Session *const remaining = find(flow);
    if (remaining && remaining->remoteClosed && !runner_.hasRequest(flow))
        closeAfterResponses(flow, *remaining);
}

/// Closes a flow whose caller closed its side, once the responses are sent. Such a flow can't be
/// moved, so requests that this agent may no longer run are refused.
void AgentTraffic::closeAfterResponses(const Model::FlowKey &flow, Session &session)
{
    while (const auto next = session.reader.next()) {
        if (!std::holds_alternative<Requests::HttpRequest>(*next))
            break;
        ++counters_.requestsRefused;
        session.outgoing += Requests::refusalResponse(Requests::RefusalCause::Stopping, 1, true);
    }
    session.closesWhenSent = true;
    flushOutgoing(flow, session);
}

void AgentTraffic::abortFlow(const Model::FlowKey &flow)
{
    ++counters_.flowsBroken;
    stack_->reset(flow);
    director_.onFlowRemoved(flow);
    sessions_.erase(flow);
}

/// Puts \a request, which the backend server never got, back into its flow. A peer that takes over
/// the flow runs it.
void AgentTraffic::onBackendUnreachable(const Model::FlowKey &flow,
                                        const Requests::HttpRequest &request)
{
    if (Session *const session = find(flow))
        session->reader.putBack(request);
    health_.reportUnreachable();
}

void AgentTraffic::closeFlow(const Model::FlowKey &key)
{
    const Model::FlowKey flow = key;
    const auto now = std::chrono::steady_clock::now();
    runner_.onCallerDisconnected(now, flow);
    director_.onClosed(now, flow, stack_->endSequence(flow));
    stack_->close(flow);
    sessions_.erase(flow);
}

} // namespace Agent
