#pragma once

#include "model/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Placement {

/// Longest time that a new flow counts as about to send its request: two round trips to a caller
/// 12 ms away, the farthest of the deployments. Callers that took another agent's answer never send
/// it.
constexpr std::chrono::milliseconds MaxRequestWait{50};

/// Times the smoothed time to its request after which a new flow is not waited for any more.
constexpr int RequestWaitFactor = 3;

/// Shortest such time: a round trip within a failure domain, and two waits for a turn of a traffic
/// thread that has a tenth of a core.
constexpr std::chrono::milliseconds MinRequestWait{10};

/// Measures the load of one backend server by the packets that pass: which flows wait for an
/// answer, and how long answers take. Not thread-safe.
class LoadMeter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Notes a packet of the caller that opens \a flow.
    void onOpening(TimePoint now, const Model::FlowKey &flow);

    /// Notes bytes of the caller on \a flow.
    void onRequestBytes(TimePoint now, const Model::FlowKey &flow);

    /// Notes bytes of the backend server on \a flow. Returns the time from the request's last
    /// bytes to the answer if they begin one.
    std::optional<std::chrono::microseconds> onAnswerBytes(TimePoint now,
                                                           const Model::FlowKey &flow);

    /// Notes that \a flow is over.
    void onFlowRemoved(const Model::FlowKey &flow);

    /// Whether a request of \a flow waits for its answer.
    bool isWaiting(const Model::FlowKey &flow) const;

    /// Forgets everything, since the backend server was replaced.
    void clear();

    /// Returns the flows whose request waits for its answer, or is expected.
    std::uint32_t waiting(TimePoint now);

    /// Returns how many requests will be at the server when that of a flow opened now arrives:
    /// those that wait, less those that are answered until then, and the part of the expected ones
    /// that usually comes.
    double occupancy(TimePoint now);

    /// Returns the smoothed time to an answer, or the age of the oldest request where that is
    /// longer: a server that hangs answers nothing that could be measured.
    std::chrono::microseconds answerTime(TimePoint now);

private:
    struct Request
    {
        TimePoint firstBytes;
        TimePoint lastBytes;
        bool hasBytes = false; ///< otherwise the flow is new and its request expected
    };

    void dropOverdue(TimePoint now);

    std::unordered_map<Model::FlowKey, Request> requests_;
    std::size_t expected_ = 0; ///< requests_ without bytes
    double openingMicros_ = std::chrono::duration<double, std::micro>(MaxRequestWait).count()
                            / RequestWaitFactor; ///< smoothed time from a flow's SYN to its request
    double arrivingShare_ = 1;               ///< smoothed share of new flows whose request comes
    double smoothedMicros_ = 0;
    TimePoint lastSample_;
};

} // namespace Placement
