#include "placement/loadmeter.h"

#include <algorithm>

namespace Placement {

/// Weight of the newest answer in the smoothed time: a server that turns slow shows in a few
/// answers, while one straggler in thirty does not decide.
static constexpr double NewestAnswerWeight = 0.1;

/// Time without an answer after which the smoothed time is halved, so that a server that was slow
/// and got no work is tried again.
static constexpr std::chrono::seconds SmoothedHalfLife{1};

/// Share of the oldest request's age that counts as answer time: a straggler of seven times the
/// mean must not look like a server that hangs.
static constexpr double OldestAgeShare = 0.25;

void LoadMeter::onOpening(TimePoint now, const Model::FlowKey &flow)
{
    requests_.try_emplace(flow, Request{now, now, false});
}

void LoadMeter::onRequestBytes(TimePoint now, const Model::FlowKey &flow)
{
    const auto [request, isNew] = requests_.try_emplace(flow, Request{now, now, true});
    if (!isNew && !request->second.hasBytes)
        request->second.firstBytes = now;
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
    const auto taken =
        std::chrono::duration_cast<std::chrono::microseconds>(now - request->second.lastBytes);
    requests_.erase(request);
    if (!hadBytes)
        return std::nullopt;
    smoothedMicros_ += smoothedMicros_ == 0
                           ? double(taken.count())
                           : NewestAnswerWeight * (double(taken.count()) - smoothedMicros_);
    lastSample_ = now;
    return taken;
}

void LoadMeter::onGone(const Model::FlowKey &flow)
{
    requests_.erase(flow);
}

void LoadMeter::clear()
{
    requests_.clear();
    smoothedMicros_ = 0;
}

std::uint32_t LoadMeter::waiting(TimePoint now)
{
    std::erase_if(requests_, [now](const auto &entry) {
        return !entry.second.hasBytes && now - entry.second.lastBytes > ExpectedRequest;
    });
    return std::uint32_t(requests_.size());
}

std::chrono::microseconds LoadMeter::answerTime(TimePoint now)
{
    if (now - lastSample_ >= SmoothedHalfLife) {
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
