#pragma once

#include <nlohmann/json.hpp>
#include <prometheus/collectable.h>

#include <functional>
#include <memory>
#include <string>

namespace Daemon {

/// Offers the numbers of a state dump to Prometheus, so that dump and metrics never disagree.
///
/// The member "requests.refused.queue-full" becomes the metric
/// gypsumwing_requests_refused{cause="queue-full"}; others become gypsumwing_<path>.
class ProcessMetrics : public prometheus::Collectable
{
public:
    /// \a state returns the dump; called on the admin server's threads.
    explicit ProcessMetrics(std::function<nlohmann::json()> state);

    std::vector<prometheus::MetricFamily> Collect() const override;

private:
    std::function<nlohmann::json()> state_;
};

} // namespace Daemon
