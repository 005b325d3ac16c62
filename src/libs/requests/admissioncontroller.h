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

/// Identifies a request within one agent.
enum class RequestId : std::uint64_t {};

/// Describes a request to AdmissionController. Feeds do not pass through it.
struct AdmissionRequest
{
    RequestId id{};
    WorkClass workClass = WorkClass::Short;
    std::chrono::microseconds expected{0}; ///< expected time on a slot
    TimePoint deadline;
};

/// The request starts on the backend server now.
struct Start
{
    RequestId id;
};

/// The request is refused and has not run. The caller may retry after \c retryAfter.
struct Refuse
{
    RequestId id;
    RefusalCause cause;
    std::chrono::milliseconds retryAfter;
};

using AdmissionAction = std::variant<Start, Refuse>;

/// Bounds of one agent's running and waiting requests.
struct AdmissionLimits
{
    std::size_t slots = 3;       ///< requests that may run at once
    std::size_t longSlots = 1;   ///< slots that long requests may use unless they are urgent
    std::size_t maxWaiting = 64; ///< requests that may wait at once
};

/// Decides when a request runs on the agent's own backend server, and when it is refused.
///
/// Short and long requests wait in separate queues, and long ones may use only a few of the slots.
/// A long request is urgent if the time until its deadline is less than twice its expected running
/// time; it may then use one slot more, but never the last of several. A request is refused at once
/// if it is not expected to finish by its deadline. Uses no sockets, threads or clocks; not
/// thread-safe. The caller carries out the returned actions.
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionLimits &limits);

    /// Submits a request, which then starts, waits or is refused. Precondition: the id of \a
    /// request is not in use, its class is not Feed.
    std::vector<AdmissionAction> submit(TimePoint now, const AdmissionRequest &request);

    /// Frees the slot of a started request that has ended, and continues as tick() does.
    std::vector<AdmissionAction> finish(TimePoint now, RequestId id);

    /// Removes a waiting request whose caller has disconnected. Returns false if it isn't waiting.
    bool cancel(RequestId id);

    /// Refuses waiting requests that can't meet their deadline any more, and starts those that may
    /// run now.
    std::vector<AdmissionAction> tick(TimePoint now);

    /// Removes the waiting request of \a workClass that would start last, to be run on another
    /// agent. Returns nothing if none waits.
    std::optional<AdmissionRequest> takeLastWaiting(WorkClass workClass);

    /// Replaces the limits. Running and waiting requests stay as they are.
    void setLimits(const AdmissionLimits &limits) { limits_ = limits; }

    /// Sets how many requests may run at once while the backend server warms up. 0 counts as 1.
    void setSlots(std::size_t slots);

    /// Starts no requests while \a paused.
    void setPaused(bool paused) { paused_ = paused; }

    /// Returns how long a new request of \a workClass is expected to wait for a slot.
    std::chrono::microseconds expectedWait(TimePoint now, WorkClass workClass) const;

    /// Returns whether a request of class Short would start at once.
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
    bool hasSlotFor(WorkClass workClass) const;
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
