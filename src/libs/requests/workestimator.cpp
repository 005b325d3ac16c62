#include "requests/workestimator.h"

#include <algorithm>

namespace Requests {

static constexpr double MinSampleWeight = 0.1;
static constexpr std::size_t LongBodyBytes = 64 * 1024;
static constexpr std::size_t MinSamples = 5;
static constexpr double LongFactor = 8.0;
static constexpr std::size_t MaxRoutes = 1024;
static constexpr std::chrono::milliseconds InitialShortEstimate{20};
static constexpr std::chrono::milliseconds InitialLongEstimate{1000};

static bool startsWithAny(std::string_view path, const std::vector<std::string> &prefixes)
{
    return std::any_of(prefixes.begin(), prefixes.end(),
                       [path](const std::string &prefix) { return path.starts_with(prefix); });
}

void WorkEstimator::Mean::add(double sample)
{
    ++count;
    const double weight = std::max(MinSampleWeight, 1.0 / double(count));
    microseconds += weight * (sample - microseconds);
}

WorkEstimator::WorkEstimator(std::vector<std::string> longWorkPaths,
                             std::vector<std::string> feedPaths)
    : longWorkPaths_(std::move(longWorkPaths))
    , feedPaths_(std::move(feedPaths))
{}

void WorkEstimator::setPaths(std::vector<std::string> longWorkPaths,
                             std::vector<std::string> feedPaths)
{
    longWorkPaths_ = std::move(longWorkPaths);
    feedPaths_ = std::move(feedPaths);
}

std::string WorkEstimator::routeOf(const HttpRequest &request)
{
    const auto path = request.path();
    const auto end = path.find('/', 1);
    return request.method + ' ' + std::string(path.substr(0, end));
}

WorkClass WorkEstimator::classify(const HttpRequest &request) const
{
    if (request.method == "GET" && startsWithAny(request.path(), feedPaths_))
        return WorkClass::Feed;
    if (request.body.size() >= LongBodyBytes || startsWithAny(request.path(), longWorkPaths_))
        return WorkClass::Long;
    const auto route = byRoute_.find(routeOf(request));
    const bool hasSamples = route != byRoute_.end() && route->second.count >= MinSamples
                            && shortWork_.count >= MinSamples;
    if (hasSamples && route->second.microseconds > LongFactor * shortWork_.microseconds)
        return WorkClass::Long;
    return WorkClass::Short;
}

std::chrono::microseconds WorkEstimator::expectedDuration(const HttpRequest &request,
                                                          WorkClass workClass) const
{
    const auto route = byRoute_.find(routeOf(request));
    if (route != byRoute_.end() && route->second.count >= MinSamples)
        return std::chrono::microseconds(std::int64_t(route->second.microseconds));
    const Mean &mean = workClass == WorkClass::Long ? longWork_ : shortWork_;
    if (mean.count > 0)
        return std::chrono::microseconds(std::int64_t(mean.microseconds));
    return workClass == WorkClass::Long ? InitialLongEstimate : InitialShortEstimate;
}

void WorkEstimator::addSample(const HttpRequest &request, WorkClass workClass,
                              std::chrono::microseconds duration)
{
    const auto sample = double(duration.count());
    if (workClass == WorkClass::Feed)
        return;
    (workClass == WorkClass::Long ? longWork_ : shortWork_).add(sample);
    if (byRoute_.size() < MaxRoutes || byRoute_.contains(routeOf(request)))
        byRoute_[routeOf(request)].add(sample);
}

} // namespace Requests
