#include "processmetrics.h"

#include <prometheus/metric_family.h>

#include <algorithm>
#include <set>

namespace Daemon {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

static std::string metricName(const std::string &path)
{
    std::string name = "gypsumwing";
    for (const char character : path) {
        if (character >= 'A' && character <= 'Z')
            name += {'_', char(character - 'A' + 'a')};
        else
            name += character == '/' || character == '-' ? '_' : character;
    }
    return name;
}

/// Returns whether the members of the object at \a path are exported as one metric with a label
/// value for each member.
static bool isLabeledByCause(const std::string &path)
{
    static const std::set<std::string> paths{"/packets/dropped", "/packets/faults",
                                             "/requests/refused", "/flows/transfers"};
    return paths.contains(path);
}

static ClientMetric gauge(double value)
{
    ClientMetric metric;
    metric.gauge.value = value;
    return metric;
}

static void collect(const nlohmann::json &object, const std::string &path,
                    std::vector<MetricFamily> &families)
{
    if (isLabeledByCause(path)) {
        MetricFamily family{metricName(path), "By cause, since the start.", MetricType::Gauge, {}};
        for (const auto &[cause, count] : object.items()) {
            ClientMetric metric = gauge(count.get<double>());
            metric.label.push_back({"cause", cause});
            family.metric.push_back(std::move(metric));
        }
        families.push_back(std::move(family));
        return;
    }
    for (const auto &[key, value] : object.items()) {
        std::string memberPath = path + '/';
        memberPath += key;
        if (value.is_object())
            collect(value, memberPath, families);
        else if (value.is_number())
            families.push_back({metricName(memberPath),
                                "As in the state dump.",
                                MetricType::Gauge,
                                {gauge(value.get<double>())}});
    }
}

ProcessMetrics::ProcessMetrics(std::function<nlohmann::json()> state)
    : state_(std::move(state))
{}

void ProcessMetrics::add(const std::string &name, const std::string &help,
                         prometheus::Histogram &histogram)
{
    histograms_.push_back({name, help, &histogram});
}

std::vector<MetricFamily> ProcessMetrics::Collect() const
{
    std::vector<MetricFamily> families;
    collect(state_(), "", families);
    for (const NamedHistogram &named : histograms_)
        families.push_back({metricName('/' + named.name),
                            named.help,
                            MetricType::Histogram,
                            {named.histogram->Collect()}});
    return families;
}

} // namespace Daemon
