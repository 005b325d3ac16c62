#include "placement/loadmeter.h"

#include <algorithm>

namespace Placement {

/// Weight of the newest response in the smoothed time: a server that becomes slow is detected
/// within a few responses, while one straggler in thirty has little effect.
static constexpr double NewestAnswerWeight = 0.1;

/// Time without a response after which the smoothed time is halved, so that a server that was slow
/// and got no work is tried again.
static constexpr std::chrono::seconds AnswerTimeHalfLife{1};

/// Share of the oldest request's age that counts as response time: a straggler that takes seven
/// times the mean must not be taken for a server that hangs.
static constexpr double OldestAgeShare = 0.25;

/// Weight of the newest flow in openingMicros_ and arrivingShare_.
static constexpr double NewestOpeningWeight = 0.05;

/// Maximum share of the waiting requests that counts as answered before the next one arrives: the
/// rest keeps the slots busy if a response takes longer than expected.
static constexpr double MaxAnsweredShare = 0.5;

void LoadMeter::onOpening(TimePoint now, const Model::FlowKey &flow)
{
    if (requests_.try_emplace(flow, Request{now, now, false}).second)
        ++expectedCount_;
}

void LoadMeter::onRequestBytes(TimePoint now, const Model::FlowKey &flow)
{
    const auto [request, isNew] = requests_.try_emplace(flow, Request{now, now, true});
    if (!isNew && !request->second.hasBytes) {
        const std::chrono::duration<double, std::micro> elapsed = now - request->second.firstBytes;
        openingMicros_ += NewestOpeningWeight * (elapsed.count() - openingMicros_);
        arrivingShare_ += NewestOpeningWeight * (1 - arrivingShare_);
        --expectedCount_;
        request->second.firstBytes = now;
    }
    request->second.lastBytes = now;
    request->second.hasBytes = true;
}

std::optional<std::chrono::microseconds> LoadMeter::onAnswerBytes(TimePoint now,
                                                                  const Model::FlowKey &flow)
{
    const auto request = requests_.find(flow);
    if (request == requests_.end())
        return std::nullopt;
    const bool hadBytes = request->second.hasBytes;
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::microseconds>(now - request->second.lastBytes);
    requests_.erase(request);
    if (!hadBytes) {
        --expectedCount_;
        return std::nullopt;
    }
    smoothedMicros_ += smoothedMicros_ == 0
                           ? double(elapsed.count())
                           : NewestAnswerWeight * (double(elapsed.count()) - smoothedMicros_);
    lastSample_ = now;
    return elapsed;
}

void LoadMeter::onFlowRemoved(const Model::FlowKey &flow)
{
    if (const auto request = requests_.find(flow); request != requests_.end()) {
        expectedCount_ -= request->second.hasBytes ? 0 : 1;
        requests_.erase(request);
    }
}

bool LoadMeter::isWaiting(const Model::FlowKey &flow) const
{
    const auto request = requests_.find(flow);
    return request != requests_.end() && request->second.hasBytes;
}

void LoadMeter::clear()
{
    requests_.clear();
    expectedCount_ = 0;
    smoothedMicros_ = 0;
}

void LoadMeter::dropOverdue(TimePoint now)
{
    if (expectedCount_ == 0)
        return;
    using Micros = std::chrono::duration<double, std::micro>;
    const Micros limit = std::clamp(Micros(RequestWaitFactor * openingMicros_),
                                    Micros(MinRequestWait), Micros(MaxRequestWait));
    const auto dropped = std::erase_if(requests_, [&](const auto &entry) {
        return !entry.second.hasBytes && now - entry.second.lastBytes > limit;
    });
    expectedCount_ -= dropped;
    for (std::size_t flow = 0; flow < dropped; ++flow)
        arrivingShare_ -= NewestOpeningWeight * arrivingShare_;
}

double LoadMeter::occupancy(TimePoint now)
{
    dropOverdue(now);
    const auto atServer = double(requests_.size() - expectedCount_);
    // Requests at the server are answered at the rate of their number over the response time. This
    // is the share of them that is answered before a flow opened now sends its request.
    const double answered = smoothedMicros_ > 0 ? openingMicros_ / smoothedMicros_ : 0;
    return atServer * (1 - std::min(answered, MaxAnsweredShare))
           + double(expectedCount_) * arrivingShare_;
}

std::uint32_t LoadMeter::waiting(TimePoint now)
{
    dropOverdue(now);
    return std::uint32_t(requests_.size());
}

std::chrono::microseconds LoadMeter::answerTime(TimePoint now)
{
    if (now - lastSample_ >= AnswerTimeHalfLife) {
        smoothedMicros_ /= 2;
        lastSample_ = now;
    }
    std::chrono::microseconds oldest{0};
    for (const auto &[flow, request] : requests_) {
        if (request.hasBytes)
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::microseconds>(
                                          now - request.firstBytes));
    }
    const double micros = std::max(smoothedMicros_, OldestAgeShare * double(oldest.count()));
    return std::chrono::microseconds(std::int64_t(micros));
}

} // namespace Placement
