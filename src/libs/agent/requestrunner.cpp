#include "agent/requestrunner.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace Agent {

using Requests::RefusalCause;
using Requests::WorkClass;

static constexpr std::chrono::seconds LongestRun{60};
static constexpr std::chrono::milliseconds FeedReopenPause{500};
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

void RequestRunner::setWarmth(double warmth)
{
    const auto slots = double(limitsOf(service_).slots);
    admission_.setSlots(std::size_t(std::ceil(slots * std::clamp(warmth, 0.0, 1.0))));
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
    if (answerFromJournal(now, flow, request))
        return;

    Running running;
    running.flow = flow;
    running.workClass = estimator_.classify(request);
    running.submitted = now;
    running.deadline = deadline.value_or(now + service_.deadline);
    running.writer = ResponseWriter(request.method != "HEAD", request.keepsFlowOpen);
    if (!request.isIdempotent())
        running.journalKey = Requests::headerValue(request.headers, "Idempotency-Key");
    const auto expected = estimator_.expected(request, running.workClass);
    running.request = std::move(request);
    const WorkClass workClass = running.workClass;
    const TimePoint due = running.deadline;
    const Id id = add(std::move(running));

    if (workClass == WorkClass::Feed) {
        ++counters_.feedsOpened;
        openCall(id);
        return;
    }
    carryOut(now, admission_.submit(now, {id, workClass, expected, due}));
}

/// Answers a repeat under an Idempotency-Key without running it. Returns false for a first request.
bool RequestRunner::answerFromJournal(TimePoint now, const Model::FlowKey &flow,
                                      const Requests::HttpRequest &request)
{
    const std::string key(Requests::headerValue(request.headers, "Idempotency-Key"));
    if (key.empty() || request.isIdempotent())
        return false;
    const auto verdict = journal_.begin(now, key, Requests::requestFingerprint(request));
    if (std::holds_alternative<Requests::FirstRequest>(verdict))
        return false;

    std::string answer = Requests::stillRunningResponse(request.keepsFlowOpen);
    if (const auto *known = std::get_if<Requests::AlreadyAnswered>(&verdict)) {
        ++counters_.repeatsAnswered;
        answer = known->answer;
    } else if (std::holds_alternative<Requests::KeyReused>(verdict)) {
        answer = Requests::keyReusedResponse(request.keepsFlowOpen);
    } else if (std::holds_alternative<Requests::IdempotencyCacheFull>(verdict)) {
        ++counters_.refusals[std::size_t(RefusalCause::QueueFull)];
        answer = Requests::refusalResponse(RefusalCause::QueueFull, 1, request.keepsFlowOpen);
    }
    boost::asio::post(io_,
                      [this, flow, answer = std::move(answer), keepsOpen = request.keepsFlowOpen] {
                          sink_.write(flow, answer);
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
    running.cursor.setLastEventId(feed.lastEventId);
    ++counters_.feedsOpened;
    openCall(add(std::move(running)));
}

std::optional<FeedState> RequestRunner::takeFeed(const Model::FlowKey &flow)
{
    Running *const running = findByFlow(flow);
    // Before its head is sent, or without event ids, a feed can't be gone on with elsewhere.
    if (!running || running->workClass != WorkClass::Feed || !running->headSent
        || running->cursor.lastEventId().empty())
        return std::nullopt;
    FeedState feed{running->request.target, running->cursor.lastEventId(),
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

    std::optional<std::chrono::milliseconds> limit = LongestRun;
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        running.deadline - std::chrono::steady_clock::now());
    Requests::HttpRequest request = running.request;
    if (running.workClass == WorkClass::Feed) {
        limit.reset();
        remaining = std::chrono::milliseconds(0);
        if (!running.cursor.lastEventId().empty())
            Requests::setHeader(request.headers, "Last-Event-ID", running.cursor.lastEventId());
    }
    running.call =
        BackendCall::start(io_, backend_, request, limit,
                           std::max(remaining, std::chrono::milliseconds(0)), std::move(handlers));
}

void RequestRunner::refuse(Id id, RefusalCause cause, std::chrono::milliseconds retryAfter)
{
    ++counters_.refusals[std::size_t(cause)];
    Running &running = *find(id);
    if (!running.journalKey.empty())
        journal_.forget(running.journalKey);
    const bool keepsOpen = running.request.keepsFlowOpen;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    answerWhole(id, Requests::refusalResponse(cause, unsigned(seconds.count()), keepsOpen),
                keepsOpen);
}

/// Sends a whole answer that no backend server gave, and releases the request.
void RequestRunner::answerWhole(Id id, std::string answer, bool keepsOpen)
{
    const Running &running = *find(id);
    const Model::FlowKey flow = running.flow;
    const bool callerIsGone = running.callerIsGone;
    release(id);
    if (callerIsGone)
        return;
    boost::asio::post(io_, [this, flow, answer = std::move(answer), keepsOpen] {
        sink_.write(flow, answer);
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
    // The head of a resumed feed went to the caller from another agent.
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

    const std::string events = running->cursor.feed(part);
    if (running->cursor.isOverlong()) {
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
    if (!running.journalKey.empty() && running.kept.size() <= Requests::MaxCachedResponseBytes)
        running.kept += bytes;
    if (running.callerIsGone) {
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
    if (!running->callerIsGone) {
        const std::string end = running->writer.end();
        running->kept += end;
        if (!end.empty())
            sink_.write(running->flow, end);
    }
    if (!running->journalKey.empty())
        journal_.finish(running->journalKey, std::move(running->kept));
    const bool hadSlot = running->workClass != WorkClass::Feed;
    if (hadSlot)
        estimator_.addSample(
            running->request, running->workClass,
            std::chrono::duration_cast<std::chrono::microseconds>(now - running->started));
    const Model::FlowKey flow = running->flow;
    const bool keepsOpen = running->writer.keepsFlowOpen();
    const bool callerIsGone = running->callerIsGone;
    release(id);
    if (!callerIsGone)
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
                           && !running->cursor.lastEventId().empty();
    if (canResume) {
        running->call.reset();
        running->started = now;
        return;
    }
    const bool hadSlot = running->workClass != WorkClass::Feed;
    if (running->headSent) {
        ++counters_.unknown;
        const Model::FlowKey flow = running->flow;
        const bool callerIsGone = running->callerIsGone;
        release(id);
        if (!callerIsGone)
            sink_.breakOff(flow);
    } else if (failure == BackendFailure::NotConnected) {
        giveBack(id);
    } else {
        ++counters_.unknown;
        answerWhole(id, Requests::unknownOutcomeResponse(), false);
    }
    if (hadSlot)
        carryOut(now, admission_.finish(now, id));
}

/// Makes a second attempt where that can't run anything twice. Returns whether it was made.
bool RequestRunner::retry(Running &running, Id id)
{
    const bool mayRepeat = running.request.isIdempotent() && !running.headSent;
    if (!mayRepeat || running.wasRetried || running.callerIsGone || !retryBudget_.tryTakeRetry())
        return false;
    ++counters_.retries;
    running.wasRetried = true;
    openCall(id);
    return true;
}

/// Gives a request that certainly did not run back to its flow.
void RequestRunner::giveBack(Id id)
{
    Running &running = *find(id);
    if (!running.journalKey.empty())
        journal_.forget(running.journalKey);
    const Model::FlowKey flow = running.flow;
    Requests::HttpRequest request = std::move(running.request);
    const bool callerIsGone = running.callerIsGone;
    release(id);
    if (!callerIsGone)
        sink_.unreachable(flow, std::move(request));
}

void RequestRunner::release(Id id)
{
    const auto entry = running_.find(id);
    if (entry == running_.end())
        return;
    if (!entry->second.callerIsGone)
        byFlow_.erase(entry->second.flow);
    running_.erase(entry);
}

void RequestRunner::readMore(const Model::FlowKey &flow)
{
    if (Running *const running = findByFlow(flow); running && running->call)
        running->call->readMore();
}

void RequestRunner::callerGone(TimePoint now, const Model::FlowKey &flow)
{
    const auto entry = byFlow_.find(flow);
    if (entry == byFlow_.end())
        return;
    const Id id = entry->second;
    Running &running = *find(id);
    if (admission_.cancel(id)) {
        if (!running.journalKey.empty())
            journal_.forget(running.journalKey);
        release(id);
        return;
    }
    // What may change something runs to its end; the rest is cancelled.
    if (!running.request.isIdempotent()) {
        byFlow_.erase(entry);
        running.callerIsGone = true;
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
        if (!isBrokenFeed || now - running.started < FeedReopenPause)
            continue;
        running.started = now;
        running.cursor.dropPartialEvent();
        openCall(id);
    }
}

RequestRunner::Withdrawn RequestRunner::withdraw(Id id)
{
    Running &running = *find(id);
    if (!running.journalKey.empty())
        journal_.forget(running.journalKey);
    Withdrawn withdrawn{running.flow, std::move(running.request), running.deadline};
    release(id);
    return withdrawn;
}

std::optional<RequestRunner::Withdrawn> RequestRunner::withdrawLast()
{
    const auto ticket = admission_.takeLastWaiting(WorkClass::Short);
    if (!ticket)
        return std::nullopt;
    return withdraw(ticket->id);
}

std::vector<RequestRunner::Withdrawn> RequestRunner::withdrawWaiting()
{
    std::vector<Withdrawn> withdrawn;
    for (const WorkClass workClass : {WorkClass::Short, WorkClass::Long}) {
        while (const auto ticket = admission_.takeLastWaiting(workClass))
            withdrawn.push_back(withdraw(ticket->id));
    }
    return withdrawn;
}

} // namespace Agent
