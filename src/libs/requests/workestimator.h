#pragma once

#include "requests/httpmessage.h"

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace Requests {

enum class WorkClass {
    Short,
    Long, ///< runs many times longer than the rest
    Feed, ///< endless; takes a connection, no slot
};

/// Foretells how long a request will run, from its path, its size and what ran before.
/// Not thread-safe.
class WorkEstimator
{
public:
    /// Paths as the service's configuration names them.
    WorkEstimator(std::vector<std::string> longWorkPaths, std::vector<std::string> feedPaths);

    /// Uses other paths from now on; what was learned stays.
    void setPaths(std::vector<std::string> longWorkPaths, std::vector<std::string> feedPaths);

    /// Returns the class of \a request.
    WorkClass classify(const HttpRequest &request) const;

    /// Returns the expected time on a slot.
    std::chrono::microseconds expected(const HttpRequest &request, WorkClass workClass) const;

    /// Learns from a request that ran for \a duration.
    void addSample(const HttpRequest &request, WorkClass workClass, std::chrono::microseconds duration);

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
