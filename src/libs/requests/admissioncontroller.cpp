#include "requests/admissioncontroller.h"

#include <algorithm>

namespace Requests {

static constexpr std::chrono::milliseconds MinimumRetryAfter{1000};

static std::chrono::milliseconds retryAfter(std::chrono::microseconds wait)
{
    return std::max(MinimumRetryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

AdmissionController::AdmissionController(const AdmissionLimits &limits)
    : limits_(limits)
{}

AdmissionController::Queue &AdmissionController::queueOf(WorkClass workClass)
{
    return workClass == WorkClass::Long ? longQueue_ : shortQueue_;
}

const AdmissionController::Queue &AdmissionController::queueOf(WorkClass workClass) const
{
    return workClass == WorkClass::Long ? longQueue_ : shortQueue_;
}

std::size_t AdmissionController::longSlots() const
{
    return std::max<std::size_t>(1, std::min(limits_.longSlots, limits_.slots));
}

bool AdmissionController::hasSlotFor(WorkClass workClass) const
{
    if (paused_ || running_.size() >= limits_.slots)
        return false;
    return workClass != WorkClass::Long || longRunning_ < longSlots();
}

/// Returns whether the first waiting long request may start now.
bool AdmissionController::mayStartLong(TimePoint now) const
{
    if (longQueue_.empty() || paused_ || running_.size() >= limits_.slots)
        return false;
    if (longRunning_ < longSlots())
        return true;
    const AdmissionRequest &first = longQueue_.front();
    const bool isUrgent = first.deadline - now < 2 * first.expected;
    return isUrgent && longRunning_ < longSlots() + 1 && longRunning_ + 1 < limits_.slots;
}

bool AdmissionController::hasFreeSlot() const
{
    return shortQueue_.empty() && hasSlotFor(WorkClass::Short);
}

std::chrono::microseconds AdmissionController::expectedWait(TimePoint now,
                                                            WorkClass workClass) const
{
    if (hasSlotFor(workClass) && queueOf(workClass).empty())
        return std::chrono::microseconds(0);

    std::chrono::microseconds work{0};
    for (const auto &[id, running] : running_) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(now - running.start);
        // A request that has exceeded its estimate is assumed to be half done.
        work += running.expected > elapsed ? running.expected - elapsed : elapsed;
    }
    for (const AdmissionRequest &request : shortQueue_)
        work += request.expected;
    if (workClass == WorkClass::Long) {
        for (const AdmissionRequest &request : longQueue_)
            work += request.expected;
    }
    const std::size_t usableSlots = workClass == WorkClass::Long ? longSlots() : limits_.slots;
    return work / std::int64_t(usableSlots);
}

std::vector<AdmissionAction> AdmissionController::submit(TimePoint now,
                                                         const AdmissionRequest &request)
{
    const auto wait = expectedWait(now, request.workClass);
    if (now + wait + request.expected > request.deadline)
        return {Refuse{request.id, RefusalCause::DeadlineTooClose, retryAfter(wait)}};
    if (wait.count() > 0 && waitingCount() >= limits_.maxWaiting)
        return {Refuse{request.id, RefusalCause::QueueFull, retryAfter(wait)}};
    queueOf(request.workClass).push_back(request);
    std::vector<AdmissionAction> actions;
    startWaiting(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::finish(TimePoint now, RequestId id)
{
    if (const auto running = running_.find(id); running != running_.end()) {
        if (running->second.workClass == WorkClass::Long)
            --longRunning_;
        running_.erase(running);
    }
    return tick(now);
}

bool AdmissionController::cancel(RequestId id)
{
    for (Queue *queue : {&shortQueue_, &longQueue_}) {
        const auto removed = std::erase_if(
            *queue, [id](const AdmissionRequest &request) { return request.id == id; });
        if (removed > 0)
            return true;
    }
    return false;
}

std::vector<AdmissionAction> AdmissionController::tick(TimePoint now)
{
    std::vector<AdmissionAction> actions;
    refuseExpired(now, shortQueue_, actions);
    refuseExpired(now, longQueue_, actions);
    startWaiting(now, actions);
    return actions;
}

std::optional<AdmissionRequest> AdmissionController::takeLastWaiting(WorkClass workClass)
{
    Queue &queue = queueOf(workClass);
    if (queue.empty())
        return std::nullopt;
    const AdmissionRequest request = queue.back();
    queue.pop_back();
    return request;
}

void AdmissionController::setSlots(std::size_t slots)
{
    limits_.slots = std::max<std::size_t>(1, slots);
}

void AdmissionController::refuseExpired(TimePoint now, Queue &queue,
                                        std::vector<AdmissionAction> &actions) const
{
    std::erase_if(queue, [&](const AdmissionRequest &request) {
        if (now + request.expected <= request.deadline)
            return false;
        const auto wait = expectedWait(now, request.workClass);
        actions.push_back(Refuse{request.id, RefusalCause::DeadlinePassed, retryAfter(wait)});
        return true;
    });
}

/// Returns the queue whose first request may start now, and if both may, the one with the earlier
/// deadline. Returns nullptr if neither may.
AdmissionController::Queue *AdmissionController::nextQueue(TimePoint now)
{
    const bool shortMayStart = !shortQueue_.empty() && hasSlotFor(WorkClass::Short);
    const bool longMayStart = mayStartLong(now);
    if (shortMayStart && longMayStart)
        return longQueue_.front().deadline < shortQueue_.front().deadline ? &longQueue_
                                                                          : &shortQueue_;
    if (shortMayStart)
        return &shortQueue_;
    return longMayStart ? &longQueue_ : nullptr;
}

void AdmissionController::startWaiting(TimePoint now, std::vector<AdmissionAction> &actions)
{
    while (Queue *queue = nextQueue(now)) {
        const AdmissionRequest request = queue->front();
        queue->pop_front();
        running_[request.id] = {request.workClass, now, request.expected};
        if (request.workClass == WorkClass::Long)
            ++longRunning_;
        actions.push_back(Start{request.id});
    }
}

} // namespace Requests
