#pragma once

#include "agent/backendcall.h"
#include "agent/flowtransfer.h"
#include "agent/responsewriter.h"
#include "model/service.h"
#include "requests/admissioncontroller.h"
#include "requests/eventstreamsplitter.h"
#include "requests/idempotencycache.h"
#include "requests/retrybudget.h"
#include "requests/workestimator.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Agent {

/// Request counters of one agent, from its start on.
struct RequestCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t unknown = 0; ///< requests whose outcome is unknown
    std::uint64_t retries = 0;
    std::uint64_t repeatsAnswered = 0; ///< from the cache, without running
    std::uint64_t feedsOpened = 0;
    std::array<std::uint64_t, Requests::RefusalCauseCount> refusals{}; ///< indexed by RefusalCause
    std::chrono::microseconds queueTime{0}; ///< total of all started requests
};

/// Runs callers' requests on the agent's own backend server.
///
/// Each flow has at most one request at a time. Used on the traffic thread only.
class RequestRunner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Receives the responses. Called on the traffic thread, never from within a method.
    struct Sink
    {
        /// Sends the next bytes of the response to the caller.
        std::function<void(const Model::FlowKey &, std::string)> write;
        /// The response is complete; the flow closes unless \c keepsOpen.
        std::function<void(const Model::FlowKey &, bool keepsOpen)> end;
        /// The response broke off after its head was sent; the caller must be able to detect it.
        std::function<void(const Model::FlowKey &)> abort;
        /// The backend server could not be reached, so the request has not run.
        std::function<void(const Model::FlowKey &, Requests::HttpRequest)> unreachable;
    };

    RequestRunner(boost::asio::io_context &io, const Model::Endpoint &backend, Sink sink);
    ~RequestRunner();

    /// Applies the limits and paths of \a service.
    void configure(const Model::Service &service);

    /// Submits the next request of \a flow. Without \a deadline the service's deadline applies,
    /// counted from \a now. Precondition: the flow has no request.
    void submit(TimePoint now, const Model::FlowKey &flow, Requests::HttpRequest request,
                std::optional<TimePoint> deadline);

    /// Resumes a feed that suspendFeed() stopped, usually on another agent. Precondition: the flow
    /// has no request.
    void resumeFeed(const Model::FlowKey &flow, const FeedState &feed);

    /// Stops the flow's feed at an event boundary and returns the state to resume it with. Returns
    /// nothing if the flow has no feed or its feed can't be resumed.
    std::optional<FeedState> suspendFeed(const Model::FlowKey &flow);

    /// Reads more of the response for \a flow from the backend server, when earlier bytes have been
    /// forwarded and the flow's output buffer is not full.
    void readMore(const Model::FlowKey &flow);

    /// Handles the end of \a flow: cancels its request, unless that has started and is not
    /// idempotent.
    void onCallerDisconnected(TimePoint now, const Model::FlowKey &flow);

    /// Refuses requests that can no longer meet their deadline, starts those that may run, and
    /// reopens broken feeds. Called periodically.
    void tick(TimePoint now);

    /// Starts no requests while \a paused.
    void setPaused(bool paused) { admission_.setPaused(paused); }

    /// Sets the share of the slots that are used while the backend server warms up, from 0 to 1. At
    /// least one slot is used.
    void setSlotShare(double share);

    /// A waiting request that was removed from the queue to be run on another agent.
    struct WithdrawnRequest
    {
        Model::FlowKey flow;
        Requests::HttpRequest request;
        TimePoint deadline;
    };

    /// Removes and returns the waiting short request that would start last, if there is one.
    std::optional<WithdrawnRequest> withdrawLastWaiting();

    /// Removes and returns all waiting requests.
    std::vector<WithdrawnRequest> withdrawWaiting();

    /// Returns how long a new short request is expected to wait for a slot.
    std::chrono::microseconds expectedWait(TimePoint now) const
    {
        return admission_.expectedWait(now, Requests::WorkClass::Short);
    }

    bool hasFreeSlot() const { return admission_.hasFreeSlot(); }
    bool hasRequest(const Model::FlowKey &flow) const { return byFlow_.contains(flow); }
    bool hasFeed(const Model::FlowKey &flow) const;
    std::size_t runningCount() const { return admission_.runningCount(); }
    std::size_t waitingCount() const { return admission_.waitingCount(); }
    const RequestCounters &counters() const { return counters_; }

private:
    struct Running
    {
        Model::FlowKey flow;
        bool callerDisconnected = false;
        Requests::HttpRequest request;
        Requests::WorkClass workClass = Requests::WorkClass::Short;
        TimePoint submitted;
        TimePoint started;
        TimePoint deadline;
        std::shared_ptr<BackendCall> call;
        ResponseWriter writer{true, true};
        Requests::EventStreamSplitter splitter;
        bool headSent = false;
        bool wasRetried = false;
        std::string idempotencyKey;
        std::string cachedResponse; ///< the response so far, for the cache
    };

    using Id = Requests::RequestId;

    bool answerRepeat(TimePoint now, const Model::FlowKey &flow,
                      const Requests::HttpRequest &request);
    Id add(Running running);
    WithdrawnRequest withdraw(Id id);
    void carryOut(TimePoint now, const std::vector<Requests::AdmissionAction> &actions);
    void start(TimePoint now, Id id);
    void openCall(Id id);
    void refuse(Id id, Requests::RefusalCause cause, std::chrono::milliseconds retryAfter);
    void onHead(Id id, const ResponseHead &head);
    void onBody(Id id, const std::string &part);
    void onDone(Id id);
    void onFailed(Id id, BackendFailure failure);
    bool retry(Running &running, Id id);
    void sendPart(Running &running, std::string bytes);
    void returnToFlow(Id id);
    void sendLocalResponse(Id id, std::string response, bool keepsOpen);
    void release(Id id);
    Running *find(Id id);
    Running *findByFlow(const Model::FlowKey &flow);

    boost::asio::io_context &io_;
    Model::Endpoint backend_;
    Sink sink_;
    Model::Service service_;
    Requests::AdmissionController admission_;
    Requests::WorkEstimator estimator_;
    Requests::RetryBudget retryBudget_;
    Requests::IdempotencyCache idempotencyCache_;
    std::uint64_t nextId_ = 0;
    std::unordered_map<Id, Running> running_; ///< waiting and running requests, and feeds
    std::unordered_map<Model::FlowKey, Id> byFlow_;
    RequestCounters counters_;
};

} // namespace Agent
