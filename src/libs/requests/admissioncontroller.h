#pragma once

#include "requests/httpmessage.h"
#include "requests/workestimator.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Requests {

using TimePoint = std::chrono::steady_clock::time_point;

/// Names a request within one agent.
enum class RequestId : std::uint64_t {};

/// What admission needs to know of a request. Feeds do not pass through admission.
struct AdmissionRequest
{
    RequestId id{};
    WorkClass workClass = WorkClass::Short;
    std::chrono::microseconds expected{0}; ///< time on a slot
    TimePoint deadline;
};

/// The request goes to the backend server now.
struct Start
{
    RequestId id;
};

/// The request is refused; it has not run.
struct Refuse
{
    RequestId id;
    RefusalCause cause;
    std::chrono::milliseconds retryAfter;
};

using AdmissionAction = std::variant<Start, Refuse>;

struct AdmissionLimits
{
    std::size_t slots = 3;       ///< requests that run at once
    std::size_t longSlots = 1;   ///< slots that long work may fill while its deadlines are far
    std::size_t maxWaiting = 64; ///< requests that wait at once
};

/// Decides when a request runs on the agent's own backend server, and when it is refused.
///
/// Short and long work wait in queues of their own, and long work fills few of the slots. Long work
/// whose deadline leaves less than its own running time to spare may fill one more, but never the
/// last slot of several. A request is refused at once when the expected wait outlasts its
/// deadline. Without sockets, threads or clocks; not thread-safe.
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionLimits &limits);

    /// Takes a request. Precondition: \a ticket's id is not in use, its class is not Feed.
    std::vector<AdmissionAction> submit(TimePoint now, const AdmissionRequest &ticket);

    /// Notes that a started request is over, and starts what may run now.
    std::vector<AdmissionAction> finish(TimePoint now, RequestId id);

    /// Removes a waiting request whose caller is gone. Returns false if it isn't waiting.
    bool cancel(RequestId id);

    /// Refuses what waits beyond its deadline, and starts what may run now.
    std::vector<AdmissionAction> tick(TimePoint now);

    /// Takes a request that waits away, to be run elsewhere: the one that would start last.
    std::optional<AdmissionRequest> takeLastWaiting(WorkClass workClass);

    /// Uses \a limits from now on.
    void setLimits(const AdmissionLimits &limits) { limits_ = limits; }

    /// Changes how many requests may run at once, as a cold backend server warms up.
    void setSlots(std::size_t slots);

    /// Holds back every start while \a paused.
    void setPaused(bool paused) { paused_ = paused; }

    /// Returns the expected wait of a new request of \a workClass.
    std::chrono::microseconds expectedWait(TimePoint now, WorkClass workClass) const;

    /// Whether a request of class Short would start at once.
    bool hasFreeSlot() const;

    std::size_t runningCount() const { return running_.size(); }
    std::size_t waitingCount() const { return shortQueue_.size() + longQueue_.size(); }
    std::size_t slots() const { return limits_.slots; }

private:
    struct Running
    {
        WorkClass workClass;
        TimePoint start;
        std::chrono::microseconds expected;
    };

    using Queue = std::deque<AdmissionRequest>;

    Queue &queueOf(WorkClass workClass);
    const Queue &queueOf(WorkClass workClass) const;
    std::size_t longSlots() const;
    bool maySlotTake(WorkClass workClass) const;
    bool mayStartLong(TimePoint now) const;
    Queue *nextQueue(TimePoint now);
    void refuseExpired(TimePoint now, Queue &queue, std::vector<AdmissionAction> &actions) const;
    void startWaiting(TimePoint now, std::vector<AdmissionAction> &actions);

    AdmissionLimits limits_;
    bool paused_ = false;
    std::size_t longRunning_ = 0;
    std::unordered_map<RequestId, Running> running_;
    Queue shortQueue_;
    Queue longQueue_;
};

} // namespace Requests
