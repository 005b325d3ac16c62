#pragma once

#include "agent/backendcall.h"
#include "agent/flowtransfer.h"
#include "agent/responsewriter.h"
#include "model/service.h"
#include "requests/admissioncontroller.h"
#include "requests/idempotencycache.h"
#include "requests/eventstreamsplitter.h"
#include "requests/retrybudget.h"
#include "requests/workestimator.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Agent {

/// Counts of one agent's requests since its start.
struct RequestCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t repeatsAnswered = 0;
    std::uint64_t feedsOpened = 0;
    std::array<std::uint64_t, Requests::RefusalCauseCount> refusals{};
    std::chrono::microseconds queueTime{0};
};

/// Runs callers' requests on the agent's own backend server.
///
/// Each flow has at most one request at a time. Lives on the traffic thread.
class RequestRunner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// What happens to an answer. Called on the traffic thread, never from within a method.
    struct Sink
    {
        /// The next bytes for the caller.
        std::function<void(const Model::FlowKey &, std::string)> write;
        /// The answer is complete; the flow closes unless \c keepsOpen.
        std::function<void(const Model::FlowKey &, bool keepsOpen)> end;
        /// The answer broke off after it began; the caller must notice.
        std::function<void(const Model::FlowKey &)> breakOff;
        /// The backend server could not be reached, so that the request has not run.
        std::function<void(const Model::FlowKey &, Requests::HttpRequest)> unreachable;
    };

    RequestRunner(boost::asio::io_context &io, const Model::Endpoint &backend, Sink sink);
    ~RequestRunner();

    /// Uses \a service's limits and paths from now on.
    void configure(const Model::Service &service);

    /// Takes the next request of \a flow, due by \a deadline or by the service's own.
    /// Precondition: the flow has none.
    void submit(TimePoint now, const Model::FlowKey &flow, Requests::HttpRequest request,
                std::optional<TimePoint> deadline);

    /// Goes on with a feed that another agent began. Precondition: the flow has no request.
    void resumeFeed(const Model::FlowKey &flow, const FeedState &feed);

    /// Stops the flow's feed at an event boundary and returns what it takes to go on with it.
    std::optional<FeedState> takeFeed(const Model::FlowKey &flow);

    /// Reads on for \a flow, whose earlier bytes are on their way.
    void readMore(const Model::FlowKey &flow);

    /// Notes that the caller of \a flow is gone.
    void callerGone(TimePoint now, const Model::FlowKey &flow);

    /// Refuses what waited too long, and starts what may run.
    void tick(TimePoint now);

    /// Holds back every start while \a paused.
    void setPaused(bool paused) { admission_.setPaused(paused); }

    /// Sets the share of the slots that a warming backend server gets, from 0 to 1.
    void setWarmth(double warmth);

    /// A request that waited, to be run elsewhere.
    struct Withdrawn
    {
        Model::FlowKey flow;
        Requests::HttpRequest request;
        TimePoint deadline;
    };

    /// Takes away the waiting short request that would start last.
    std::optional<Withdrawn> withdrawLast();

    /// Takes all waiting requests away.
    std::vector<Withdrawn> withdrawWaiting();

    /// Returns the expected wait of a new short request.
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
        bool callerIsGone = false;
        Requests::HttpRequest request;
        Requests::WorkClass workClass = Requests::WorkClass::Short;
        TimePoint submitted;
        TimePoint started;
        TimePoint deadline;
        std::shared_ptr<BackendCall> call;
        ResponseWriter writer{true, true};
        Requests::EventStreamSplitter cursor;
        bool headSent = false;
        bool wasRetried = false;
        std::string journalKey;
        std::string kept; ///< the answer so far, for the journal
    };

    using Id = Requests::RequestId;

    bool answerFromJournal(TimePoint now, const Model::FlowKey &flow,
                           const Requests::HttpRequest &request);
    Id add(Running running);
    Withdrawn withdraw(Id id);
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
    void giveBack(Id id);
    void answerWhole(Id id, std::string answer, bool keepsOpen);
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
    Requests::IdempotencyCache journal_;
    std::uint64_t nextId_ = 0;
    std::unordered_map<Id, Running> running_; ///< waiting, running, and feeds
    std::unordered_map<Model::FlowKey, Id> byFlow_;
    RequestCounters counters_;
};

} // namespace Agent
