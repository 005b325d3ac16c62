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

bool AdmissionController::maySlotTake(WorkClass workClass) const
{
    if (paused_ || running_.size() >= limits_.slots)
        return false;
    return workClass != WorkClass::Long || longRunning_ < longSlots();
}

/// Whether the first long request that waits may have a slot now.
bool AdmissionController::mayStartLong(TimePoint now) const
{
    if (longQueue_.empty() || paused_ || running_.size() >= limits_.slots)
        return false;
    if (longRunning_ < longSlots())
        return true;
    const AdmissionRequest &first = longQueue_.front();
    const bool isPressed = first.deadline - now < 2 * first.expected;
    return isPressed && longRunning_ < longSlots() + 1 && longRunning_ + 1 < limits_.slots;
}

bool AdmissionController::hasFreeSlot() const
{
    return shortQueue_.empty() && maySlotTake(WorkClass::Short);
}

std::chrono::microseconds AdmissionController::expectedWait(TimePoint now, WorkClass workClass) const
{
    if (maySlotTake(workClass) && queueOf(workClass).empty())
        return std::chrono::microseconds(0);

    std::chrono::microseconds work{0};
    for (const auto &[id, running] : running_) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(now - running.start);
        // Work that overran its estimate is taken to be half done.
        work += running.expected > elapsed ? running.expected - elapsed : elapsed;
    }
    for (const AdmissionRequest &ticket : shortQueue_)
        work += ticket.expected;
    if (workClass == WorkClass::Long) {
        for (const AdmissionRequest &ticket : longQueue_)
            work += ticket.expected;
    }
    const std::size_t servers = workClass == WorkClass::Long ? longSlots() : limits_.slots;
    return work / std::int64_t(servers);
}

std::vector<AdmissionAction> AdmissionController::submit(TimePoint now, const AdmissionRequest &ticket)
{
    const auto wait = expectedWait(now, ticket.workClass);
    if (now + wait + ticket.expected > ticket.deadline)
        return {Refuse{ticket.id, RefusalCause::DeadlineTooClose, retryAfter(wait)}};
    if (wait.count() > 0 && waitingCount() >= limits_.maxWaiting)
        return {Refuse{ticket.id, RefusalCause::QueueFull, retryAfter(wait)}};
    queueOf(ticket.workClass).push_back(ticket);
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
        const auto removed =
            std::erase_if(*queue, [id](const AdmissionRequest &ticket) { return ticket.id == id; });
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
    const AdmissionRequest ticket = queue.back();
    queue.pop_back();
    return ticket;
}

void AdmissionController::setSlots(std::size_t slots)
{
    limits_.slots = std::max<std::size_t>(1, slots);
}

void AdmissionController::refuseExpired(TimePoint now, Queue &queue,
                              std::vector<AdmissionAction> &actions) const
{
    std::erase_if(queue, [&](const AdmissionRequest &ticket) {
        if (now + ticket.expected <= ticket.deadline)
            return false;
        const auto wait = expectedWait(now, ticket.workClass);
        actions.push_back(Refuse{ticket.id, RefusalCause::DeadlinePassed, retryAfter(wait)});
        return true;
    });
}

/// Picks the queue whose head has the earlier deadline, among those that may have a slot.
AdmissionController::Queue *AdmissionController::nextQueue(TimePoint now)
{
    const bool mayShort = !shortQueue_.empty() && maySlotTake(WorkClass::Short);
    const bool mayLong = mayStartLong(now);
    if (mayShort && mayLong)
        return longQueue_.front().deadline < shortQueue_.front().deadline ? &longQueue_
                                                                          : &shortQueue_;
    if (mayShort)
        return &shortQueue_;
    return mayLong ? &longQueue_ : nullptr;
}

void AdmissionController::startWaiting(TimePoint now, std::vector<AdmissionAction> &actions)
{
    while (Queue *queue = nextQueue(now)) {
        const AdmissionRequest ticket = queue->front();
        queue->pop_front();
        running_[ticket.id] = {ticket.workClass, now, ticket.expected};
        if (ticket.workClass == WorkClass::Long)
            ++longRunning_;
        actions.push_back(Start{ticket.id});
    }
}

} // namespace Requests
