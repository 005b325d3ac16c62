#pragma once

#include "model/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Placement {

/// Longest time for which the request of a new flow is expected: two round trips to a caller 12 ms
/// away, the farthest of the deployments. Callers that use the flow of another agent, which
/// answered their SYN too, never send it.
constexpr std::chrono::milliseconds MaxRequestWait{50};

/// Multiple of the smoothed time from SYN to request after which the request of a new flow is no
/// longer expected.
constexpr int RequestWaitFactor = 3;

/// Shortest time for which it is expected: a round trip within a failure domain, and two waits
/// until a traffic thread that has a tenth of a core runs.
constexpr std::chrono::milliseconds MinRequestWait{10};

/// Measures the load of one backend server from the packets to and from it: which flows wait for an
/// answer, and how long responses take. Not thread-safe.
class LoadMeter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records a SYN of the caller that opens \a flow.
    void onOpening(TimePoint now, const Model::FlowKey &flow);

    /// Records payload bytes of the caller on \a flow.
    void onRequestBytes(TimePoint now, const Model::FlowKey &flow);

    /// Records payload bytes of the backend server on \a flow. Returns the time since the last
    /// bytes of the request if a response begins with them, or else nothing.
    std::optional<std::chrono::microseconds> onAnswerBytes(TimePoint now,
                                                           const Model::FlowKey &flow);

    /// Records that \a flow ended.
    void onFlowRemoved(const Model::FlowKey &flow);

    /// Whether a request of \a flow was received and is not answered yet.
    bool isWaiting(const Model::FlowKey &flow) const;

    /// Clears the flows and the response time. Called when the backend server was replaced.
    void clear();

    /// Returns the number of flows with a request that has no response yet or is still expected.
    std::uint32_t waiting(TimePoint now);

    /// Returns the estimated number of requests at the server when the request of a flow opened now
    /// arrives: the waiting ones, less those answered by then, plus the share of the expected ones
    /// that usually arrives.
    double occupancy(TimePoint now);

    /// Returns the smoothed response time, or a share of the age of the oldest request if that is
    /// longer: a server that hangs sends no responses that could be measured.
    std::chrono::microseconds answerTime(TimePoint now);

private:
    struct Request
    {
        TimePoint firstBytes;
        TimePoint lastBytes;
        bool hasBytes = false; ///< otherwise the flow is new and its request is expected
    };

    void dropOverdue(TimePoint now);

    std::unordered_map<Model::FlowKey, Request> requests_;
    std::size_t expectedCount_ = 0; ///< entries of requests_ without hasBytes
    double openingMicros_ = std::chrono::duration<double, std::micro>(MaxRequestWait).count()
                            / RequestWaitFactor; ///< smoothed time from a flow's SYN to its request
    double arrivingShare_ = 1; ///< smoothed share of new flows whose request arrives
    double smoothedMicros_ = 0;
    TimePoint lastSample_;
};

} // namespace Placement
