#include "agent/requestrunner.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace Agent {

using Requests::RefusalCause;
using Requests::WorkClass;

static constexpr std::chrono::seconds MaxRunTime{60};
static constexpr std::chrono::milliseconds FeedReopenDelay{500};
static constexpr std::size_t SlotsPerLongSlot = 3;
static constexpr std::size_t WaitingPerSlot = 64;
static constexpr double RetryShare = 0.1;
static constexpr double RetryReserve = 10.0;
static constexpr unsigned StatusUnavailable = 503;
static constexpr std::string_view ShedHeader = "Request-Shed";
static constexpr std::string_view ShedBeforeRun = "not-run";

static Requests::AdmissionLimits limitsOf(const Model::Service &service)
{
    Requests::AdmissionLimits limits;
    limits.slots = std::max<std::size_t>(1, service.slotsPerServer);
    limits.longSlots = std::max<std::size_t>(1, limits.slots / SlotsPerLongSlot);
    limits.maxWaiting = limits.slots * WaitingPerSlot;
    return limits;
}

RequestRunner::RequestRunner(boost::asio::io_context &io, const Model::Endpoint &backend, Sink sink)
    : io_(io)
    , backend_(backend)
    , sink_(std::move(sink))
    , admission_(limitsOf(service_))
    , estimator_({}, {})
    , retryBudget_(RetryShare, RetryReserve)
{}

RequestRunner::~RequestRunner()
{
    for (auto &[id, running] : running_) {
        if (running.call)
            running.call->cancel();
    }
}

void RequestRunner::configure(const Model::Service &service)
{
    if (service == service_)
        return;
    service_ = service;
    estimator_.setPaths(service.longWorkPaths, service.feedPaths);
    admission_.setLimits(limitsOf(service));
}

void RequestRunner::setSlotShare(double share)
{
    const auto slots = double(limitsOf(service_).slots);
    admission_.setSlots(std::size_t(std::ceil(slots * std::clamp(share, 0.0, 1.0))));
}

bool RequestRunner::hasFeed(const Model::FlowKey &flow) const
{
    const auto entry = byFlow_.find(flow);
    return entry != byFlow_.end() && running_.at(entry->second).workClass == WorkClass::Feed;
}

RequestRunner::Running *RequestRunner::find(Id id)
{
    const auto entry = running_.find(id);
    return entry == running_.end() ? nullptr : &entry->second;
}

RequestRunner::Running *RequestRunner::findByFlow(const Model::FlowKey &flow)
{
    const auto entry = byFlow_.find(flow);
    return entry == byFlow_.end() ? nullptr : find(entry->second);
}

RequestRunner::Id RequestRunner::add(Running running)
{
    const Id id{++nextId_};
    byFlow_[running.flow] = id;
    running_.emplace(id, std::move(running));
    return id;
}

void RequestRunner::submit(TimePoint now, const Model::FlowKey &flow, Requests::HttpRequest request,
                           std::optional<TimePoint> deadline)
{
    ++counters_.submitted;
    retryBudget_.onRequest();
    if (answerRepeat(now, flow, request))
        return;

    Running running;
    running.flow = flow;
    running.workClass = estimator_.classify(request);
    running.submitted = now;
    running.deadline = deadline.value_or(now + service_.deadline);
    running.writer = ResponseWriter(request.method != "HEAD", request.keepAlive);
    if (!request.isIdempotent())
        running.idempotencyKey = Requests::headerValue(request.headers, "Idempotency-Key");
    const auto expected = estimator_.expectedDuration(request, running.workClass);
    running.request = std::move(request);
    const WorkClass workClass = running.workClass;
    const TimePoint effectiveDeadline = running.deadline;
    const Id id = add(std::move(running));

    if (workClass == WorkClass::Feed) {
        ++counters_.feedsOpened;
        openCall(id);
        return;
    }
    carryOut(now, admission_.submit(now, {id, workClass, expected, effectiveDeadline}));
}

/// Answers a repeated Idempotency-Key without running the request, and refuses a new key when the
/// cache is full. Returns false if the request is to run, as it is idempotent, has no key, or is
/// the first one with its key.
bool RequestRunner::answerRepeat(TimePoint now, const Model::FlowKey &flow,
                                 const Requests::HttpRequest &request)
{
    const std::string key(Requests::headerValue(request.headers, "Idempotency-Key"));
    if (key.empty() || request.isIdempotent())
        return false;
    const auto result = idempotencyCache_.begin(now, key, Requests::requestFingerprint(request));
    if (std::holds_alternative<Requests::FirstRequest>(result))
        return false;

    std::string response = Requests::stillRunningResponse(request.keepAlive);
    if (const auto *known = std::get_if<Requests::AlreadyAnswered>(&result)) {
        ++counters_.repeatsAnswered;
        response = known->response;
    } else if (std::holds_alternative<Requests::KeyReused>(result)) {
        response = Requests::keyReusedResponse(request.keepAlive);
    } else if (std::holds_alternative<Requests::IdempotencyCacheFull>(result)) {
        ++counters_.refusals[std::size_t(RefusalCause::QueueFull)];
        response = Requests::refusalResponse(RefusalCause::QueueFull, 1, request.keepAlive);
    }
    boost::asio::post(io_,
                      [this, flow, response = std::move(response), keepsOpen = request.keepAlive] {
                          sink_.write(flow, response);
                          sink_.end(flow, keepsOpen);
                      });
    return true;
}

void RequestRunner::resumeFeed(const Model::FlowKey &flow, const FeedState &feed)
{
    Running running;
    running.flow = flow;
    running.workClass = WorkClass::Feed;
    running.request = {"GET", feed.target, feed.headers, {}, true};
    running.writer = ResponseWriter::resumed();
    running.headSent = true;
    running.splitter.setLastEventId(feed.lastEventId);
    ++counters_.feedsOpened;
    openCall(add(std::move(running)));
}

std::optional<FeedState> RequestRunner::suspendFeed(const Model::FlowKey &flow)
{
    Running *const running = findByFlow(flow);
    // A feed can be resumed elsewhere only after its head was sent and an event had an id.
    if (!running || running->workClass != WorkClass::Feed || !running->headSent
        || running->splitter.lastEventId().empty())
        return std::nullopt;
    FeedState feed{running->request.target, running->splitter.lastEventId(),
                   running->request.headers};
    if (running->call)
        running->call->cancel();
    release(byFlow_.at(flow));
    return feed;
}

void RequestRunner::carryOut(TimePoint now, const std::vector<Requests::AdmissionAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *begin = std::get_if<Requests::Start>(&action)) {
            start(now, begin->id);
        } else {
            const auto &refusal = std::get<Requests::Refuse>(action);
            refuse(refusal.id, refusal.cause, refusal.retryAfter);
        }
    }
}

void RequestRunner::start(TimePoint now, Id id)
{
    Running *const running = find(id);
    running->started = now;
    counters_.queueTime +=
        std::chrono::duration_cast<std::chrono::microseconds>(now - running->submitted);
    openCall(id);
}

void RequestRunner::openCall(Id id)
{
    Running &running = *find(id);
    BackendCall::Handlers handlers;
    handlers.onHead = [this, id](const ResponseHead &head) { onHead(id, head); };
    handlers.onBody = [this, id](const std::string &part) { onBody(id, part); };
    handlers.onDone = [this, id] { onDone(id); };
    handlers.onFailed = [this, id](BackendFailure failure) { onFailed(id, failure); };

    std::optional<std::chrono::milliseconds> limit = MaxRunTime;
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        running.deadline - std::chrono::steady_clock::now());
    Requests::HttpRequest request = running.request;
    if (running.workClass == WorkClass::Feed) {
        limit.reset();
        remaining = std::chrono::milliseconds(0);
        if (!running.splitter.lastEventId().empty())
            Requests::setHeader(request.headers, "Last-Event-ID", running.splitter.lastEventId());
    }
    running.call =
        BackendCall::start(io_, backend_, request, limit,
                           std::max(remaining, std::chrono::milliseconds(0)), std::move(handlers));
}

void RequestRunner::refuse(Id id, RefusalCause cause, std::chrono::milliseconds retryAfter)
{
    ++counters_.refusals[std::size_t(cause)];
    Running &running = *find(id);
    if (!running.idempotencyKey.empty())
        idempotencyCache_.remove(running.idempotencyKey);
    const bool keepsOpen = running.request.keepAlive;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    sendLocalResponse(id, Requests::refusalResponse(cause, unsigned(seconds.count()), keepsOpen),
                      keepsOpen);
}

/// Sends a complete response that the agent itself generated, and releases the request.
void RequestRunner::sendLocalResponse(Id id, std::string response, bool keepsOpen)
{
    const Running &running = *find(id);
    const Model::FlowKey flow = running.flow;
    const bool callerDisconnected = running.callerDisconnected;
    release(id);
    if (callerDisconnected)
        return;
    boost::asio::post(io_, [this, flow, response = std::move(response), keepsOpen] {
        sink_.write(flow, response);
        sink_.end(flow, keepsOpen);
    });
}

void RequestRunner::onHead(Id id, const ResponseHead &head)
{
    Running *const running = find(id);
    if (!running)
        return;
    const bool wasShed = head.status == StatusUnavailable
                         && Requests::headerValue(head.headers, ShedHeader) == ShedBeforeRun;
    if (wasShed && !running->headSent) {
        running->call->cancel();
        const auto now = std::chrono::steady_clock::now();
        const bool hadSlot = running->workClass != WorkClass::Feed;
        refuse(id, RefusalCause::BackendShed, std::chrono::seconds(1));
        if (hadSlot)
            carryOut(now, admission_.finish(now, id));
        return;
    }
    // The caller got the head of a resumed feed earlier, usually from another agent.
    if (running->headSent) {
        running->call->readMore();
        return;
    }
    running->headSent = true;
    sendPart(*running, running->writer.head(head));
}

void RequestRunner::onBody(Id id, const std::string &part)
{
    Running *const running = find(id);
    if (!running)
        return;
    if (running->workClass != WorkClass::Feed)
        return sendPart(*running, running->writer.body(part));

    const std::string events = running->splitter.append(part);
    if (running->splitter.isEventTooLong()) {
        running->call->cancel();
        return onFailed(id, BackendFailure::Lost);
    }
    if (events.empty())
        running->call->readMore();
    else
        sendPart(*running, running->writer.body(events));
}

void RequestRunner::sendPart(Running &running, std::string bytes)
{
    if (!running.idempotencyKey.empty()
        && running.cachedResponse.size() <= Requests::MaxCachedResponseBytes)
        running.cachedResponse += bytes;
    if (running.callerDisconnected) {
        running.call->readMore();
        return;
    }
    sink_.write(running.flow, std::move(bytes));
}

void RequestRunner::onDone(Id id)
{
    Running *const running = find(id);
    if (!running)
        return;
    ++counters_.answered;
    const auto now = std::chrono::steady_clock::now();
    if (!running->callerDisconnected) {
        const std::string end = running->writer.end();
        running->cachedResponse += end;
        if (!end.empty())
            sink_.write(running->flow, end);
    }
    if (!running->idempotencyKey.empty())
        idempotencyCache_.finish(running->idempotencyKey, std::move(running->cachedResponse));
    const bool hadSlot = running->workClass != WorkClass::Feed;
    if (hadSlot)
        estimator_.addSample(
            running->request, running->workClass,
            std::chrono::duration_cast<std::chrono::microseconds>(now - running->started));
    const Model::FlowKey flow = running->flow;
    const bool keepsOpen = running->writer.keepAlive();
    const bool callerDisconnected = running->callerDisconnected;
    release(id);
    if (!callerDisconnected)
        sink_.end(flow, keepsOpen);
    if (hadSlot)
        carryOut(now, admission_.finish(now, id));
}

void RequestRunner::onFailed(Id id, BackendFailure failure)
{
    Running *const running = find(id);
    if (!running || retry(*running, id))
        return;
    const auto now = std::chrono::steady_clock::now();
    const bool canResume = running->workClass == WorkClass::Feed && running->headSent
                           && !running->splitter.lastEventId().empty();
    if (canResume) {
        running->call.reset();
        running->started = now;
        return;
    }
    const bool hadSlot = running->workClass != WorkClass::Feed;
    if (running->headSent) {
        ++counters_.unknown;
        const Model::FlowKey flow = running->flow;
        const bool callerDisconnected = running->callerDisconnected;
        release(id);
        if (!callerDisconnected)
            sink_.abort(flow);
    } else if (failure == BackendFailure::NotConnected) {
        returnToFlow(id);
    } else {
        ++counters_.unknown;
        sendLocalResponse(id, Requests::unknownOutcomeResponse(), false);
    }
    if (hadSlot)
        carryOut(now, admission_.finish(now, id));
}

/// Retries an idempotent request once, if the caller has received nothing yet and the retry budget
/// allows it. Returns whether it was retried.
bool RequestRunner::retry(Running &running, Id id)
{
    const bool mayRepeat = running.request.isIdempotent() && !running.headSent;
    if (!mayRepeat || running.wasRetried || running.callerDisconnected
        || !retryBudget_.tryTakeRetry())
        return false;
    ++counters_.retries;
    running.wasRetried = true;
    openCall(id);
    return true;
}

/// Puts a request that certainly did not run back into its flow, so that another agent runs it.
void RequestRunner::returnToFlow(Id id)
{
    Running &running = *find(id);
    if (!running.idempotencyKey.empty())
        idempotencyCache_.remove(running.idempotencyKey);
    const Model::FlowKey flow = running.flow;
    Requests::HttpRequest request = std::move(running.request);
    const bool callerDisconnected = running.callerDisconnected;
    release(id);
    if (!callerDisconnected)
        sink_.unreachable(flow, std::move(request));
}

void RequestRunner::release(Id id)
{
    const auto entry = running_.find(id);
    if (entry == running_.end())
        return;
    if (!entry->second.callerDisconnected)
        byFlow_.erase(entry->second.flow);
    running_.erase(entry);
}

void RequestRunner::readMore(const Model::FlowKey &flow)
{
    if (Running *const running = findByFlow(flow); running && running->call)
        running->call->readMore();
}

void RequestRunner::onCallerDisconnected(TimePoint now, const Model::FlowKey &flow)
{
    const auto entry = byFlow_.find(flow);
    if (entry == byFlow_.end())
        return;
    const Id id = entry->second;
    Running &running = *find(id);
    if (admission_.cancel(id)) {
        if (!running.idempotencyKey.empty())
            idempotencyCache_.remove(running.idempotencyKey);
        release(id);
        return;
    }
    // A request that may have side effects runs to its end; others are cancelled.
    if (!running.request.isIdempotent()) {
        byFlow_.erase(entry);
        running.callerDisconnected = true;
        running.call->readMore();
        return;
    }
    const bool hadSlot = running.workClass != WorkClass::Feed;
    if (running.call)
        running.call->cancel();
    release(id);
    if (hadSlot)
        carryOut(now, admission_.finish(now, id));
}

void RequestRunner::tick(TimePoint now)
{
    carryOut(now, admission_.tick(now));
    for (auto &[id, running] : running_) {
        const bool isBrokenFeed = running.workClass == WorkClass::Feed && !running.call;
        if (!isBrokenFeed || now - running.started < FeedReopenDelay)
            continue;
        running.started = now;
        running.splitter.dropPartialEvent();
        openCall(id);
    }
}

RequestRunner::WithdrawnRequest RequestRunner::withdraw(Id id)
{
    Running &running = *find(id);
    if (!running.idempotencyKey.empty())
        idempotencyCache_.remove(running.idempotencyKey);
    WithdrawnRequest withdrawn{running.flow, std::move(running.request), running.deadline};
    release(id);
    return withdrawn;
}

std::optional<RequestRunner::WithdrawnRequest> RequestRunner::withdrawLastWaiting()
{
    const auto request = admission_.takeLastWaiting(WorkClass::Short);
    if (!request)
        return std::nullopt;
    return withdraw(request->id);
}

std::vector<RequestRunner::WithdrawnRequest> RequestRunner::withdrawWaiting()
{
    std::vector<WithdrawnRequest> withdrawn;
    for (const WorkClass workClass : {WorkClass::Short, WorkClass::Long}) {
        while (const auto request = admission_.takeLastWaiting(workClass))
            withdrawn.push_back(withdraw(request->id));
    }
    return withdrawn;
}

} // namespace Agent
