#pragma once

#include <nlohmann/json.hpp>
#include <prometheus/collectable.h>
#include <prometheus/histogram.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Daemon {

/// Exports the numbers of a state dump as Prometheus metrics, so that both always agree.
///
/// The member "requests.refused.queue-full" becomes the metric
/// gypsumwing_requests_refused{cause="queue-full"}; others become gypsumwing_<path>.
class ProcessMetrics : public prometheus::Collectable
{
public:
    /// \a state returns the state dump. Called on the admin server's threads.
    explicit ProcessMetrics(std::function<nlohmann::json()> state);

    /// Exports \a histogram as gypsumwing_<name>. Must be called before the first Collect();
    /// \a histogram must outlive this object.
    void add(const std::string &name, const std::string &help, prometheus::Histogram &histogram);

    std::vector<prometheus::MetricFamily> Collect() const override;

private:
    struct NamedHistogram
    {
        std::string name;
        std::string help;
        prometheus::Histogram *histogram = nullptr;
    };

    std::function<nlohmann::json()> state_;
    std::vector<NamedHistogram> histograms_;
};

} // namespace Daemon
