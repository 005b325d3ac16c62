#pragma once

#include "requests/httpmessage.h"

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace Requests {

/// How much work a request is expected to be.
enum class WorkClass {
    Short,
    Long, ///< runs many times longer than a short request
    Feed, ///< endless event stream; uses a connection but no slot
};

/// Estimates how long a request will run, from its path, its size and earlier requests.
/// Not thread-safe.
class WorkEstimator
{
public:
    /// The arguments are path prefixes, from the service's configuration.
    WorkEstimator(std::vector<std::string> longWorkPaths, std::vector<std::string> feedPaths);

    /// Replaces the path prefixes. Recorded durations are kept.
    void setPaths(std::vector<std::string> longWorkPaths, std::vector<std::string> feedPaths);

    /// Returns the class of \a request.
    WorkClass classify(const HttpRequest &request) const;

    /// Returns the expected time of \a request on a slot.
    std::chrono::microseconds expectedDuration(const HttpRequest &request,
                                               WorkClass workClass) const;

    /// Records that a request ran for \a duration. Ignores feeds.
    void addSample(const HttpRequest &request, WorkClass workClass,
                   std::chrono::microseconds duration);

private:
    struct Mean
    {
        double microseconds = 0;
        std::size_t count = 0;

        void add(double sample);
    };

    static std::string routeOf(const HttpRequest &request);

    std::vector<std::string> longWorkPaths_;
    std::vector<std::string> feedPaths_;
    std::unordered_map<std::string, Mean> byRoute_;
    Mean shortWork_;
    Mean longWork_;
};

} // namespace Requests
