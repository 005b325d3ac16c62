#include "requests/admission.h"

#include <algorithm>

namespace Requests {

static constexpr std::chrono::milliseconds MinimumRetryAfter{1000};

static std::chrono::milliseconds retryAfter(std::chrono::microseconds wait)
{
    return std::max(MinimumRetryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

Admission::Admission(const AdmissionLimits &limits)
    : limits_(limits)
{}

Admission::Queue &Admission::queueOf(WorkClass workClass)
{
    return workClass == WorkClass::Long ? longQueue_ : shortQueue_;
}

const Admission::Queue &Admission::queueOf(WorkClass workClass) const
{
    return workClass == WorkClass::Long ? longQueue_ : shortQueue_;
}

std::size_t Admission::longSlots() const
{
    return std::max<std::size_t>(1, std::min(limits_.longSlots, limits_.slots));
}

bool Admission::maySlotTake(WorkClass workClass) const
{
    if (paused_ || running_.size() >= limits_.slots)
        return false;
    return workClass != WorkClass::Long || longRunning_ < longSlots();
}

/// Returns whether the first waiting long request may start now.
bool Admission::mayStartLong(TimePoint now) const
{
    if (longQueue_.empty() || paused_ || running_.size() >= limits_.slots)
        return false;
    if (longRunning_ < longSlots())
        return true;
    const Ticket &first = longQueue_.front();
    const bool isUrgent = first.deadline - now < 2 * first.expected;
    return isUrgent && longRunning_ < longSlots() + 1 && longRunning_ + 1 < limits_.slots;
}

bool Admission::hasSpareSlot() const
{
    return shortQueue_.empty() && maySlotTake(WorkClass::Short);
}

std::chrono::microseconds Admission::expectedWait(TimePoint now, WorkClass workClass) const
{
    if (maySlotTake(workClass) && queueOf(workClass).empty())
        return std::chrono::microseconds(0);

    std::chrono::microseconds work{0};
    for (const auto &[id, running] : running_) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(now - running.start);
        // A request that has exceeded its estimate is assumed to be half done.
        work += running.expected > elapsed ? running.expected - elapsed : elapsed;
    }
    for (const Ticket &ticket : shortQueue_)
        work += ticket.expected;
    if (workClass == WorkClass::Long) {
        for (const Ticket &ticket : longQueue_)
            work += ticket.expected;
    }
    const std::size_t usableSlots = workClass == WorkClass::Long ? longSlots() : limits_.slots;
    return work / std::int64_t(usableSlots);
}

std::vector<AdmissionAction> Admission::submit(TimePoint now, const Ticket &ticket)
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

std::vector<AdmissionAction> Admission::finish(TimePoint now, RequestId id)
{
    if (const auto running = running_.find(id); running != running_.end()) {
        if (running->second.workClass == WorkClass::Long)
            --longRunning_;
        running_.erase(running);
    }
    return tick(now);
}

bool Admission::cancel(RequestId id)
{
    for (Queue *queue : {&shortQueue_, &longQueue_}) {
        const auto removed =
            std::erase_if(*queue, [id](const Ticket &ticket) { return ticket.id == id; });
        if (removed > 0)
            return true;
    }
    return false;
}

std::vector<AdmissionAction> Admission::tick(TimePoint now)
{
    std::vector<AdmissionAction> actions;
    refuseExpired(now, shortQueue_, actions);
    refuseExpired(now, longQueue_, actions);
    startWaiting(now, actions);
    return actions;
}

std::optional<Ticket> Admission::takeLastWaiting(WorkClass workClass)
{
    Queue &queue = queueOf(workClass);
    if (queue.empty())
        return std::nullopt;
    const Ticket ticket = queue.back();
    queue.pop_back();
    return ticket;
}

void Admission::setSlots(std::size_t slots)
{
    limits_.slots = std::max<std::size_t>(1, slots);
}

void Admission::refuseExpired(TimePoint now, Queue &queue,
                              std::vector<AdmissionAction> &actions) const
{
    std::erase_if(queue, [&](const Ticket &ticket) {
        if (now + ticket.expected <= ticket.deadline)
            return false;
        const auto wait = expectedWait(now, ticket.workClass);
        actions.push_back(Refuse{ticket.id, RefusalCause::DeadlinePassed, retryAfter(wait)});
        return true;
    });
}

/// Returns the queue whose first request may start now, and if both may, the one with the earlier
/// deadline. Returns nullptr if neither may.
Admission::Queue *Admission::nextQueue(TimePoint now)
{
    const bool shortMayStart = !shortQueue_.empty() && maySlotTake(WorkClass::Short);
    const bool longMayStart = mayStartLong(now);
    if (shortMayStart && longMayStart)
        return longQueue_.front().deadline < shortQueue_.front().deadline ? &longQueue_
                                                                          : &shortQueue_;
    if (shortMayStart)
        return &shortQueue_;
    return longMayStart ? &longQueue_ : nullptr;
}

void Admission::startWaiting(TimePoint now, std::vector<AdmissionAction> &actions)
{
    while (Queue *queue = nextQueue(now)) {
        const Ticket ticket = queue->front();
        queue->pop_front();
        running_[ticket.id] = {ticket.workClass, now, ticket.expected};
        if (ticket.workClass == WorkClass::Long)
            ++longRunning_;
        actions.push_back(Start{ticket.id});
    }
}

} // namespace Requests
