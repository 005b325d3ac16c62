#include "observability/logcorrelation.h"

#include <algorithm>
#include <set>

namespace Observability {

/// Returns the value of \a key in \a line; empty if the line has no such key.
static std::string valueOf(const std::string &line, const std::string &key)
{
    const std::string start = ' ' + key + '=';
    const auto begin = line.find(start);
    if (begin == std::string::npos)
        return {};
    const auto end = line.find(' ', begin + 1);
    const auto first = begin + start.size();
    return line.substr(first, end == std::string::npos ? end : end - first);
}

/// Returns the timestamp of \a line, or the whole line if it has none. A label of the process may
/// precede the timestamp.
static std::string timeOf(const std::string &line)
{
    const auto zone = line.find("Z ");
    const auto begin = zone == std::string::npos ? zone : line.rfind(' ', zone);
    if (zone == std::string::npos)
        return line;
    const auto first = begin == std::string::npos ? 0 : begin + 1;
    return line.substr(first, zone - first);
}

std::vector<std::string> correlatedLines(const std::string &id,
                                         const std::vector<std::string> &logs)
{
    std::set<std::string> flows{id};
    for (const std::string &line : logs) {
        if (valueOf(line, "request") == id)
            flows.insert(valueOf(line, "flow"));
    }
    std::vector<std::string> related;
    for (const std::string &line : logs) {
        const std::string flow = valueOf(line, "flow");
        if (!flow.empty() && flows.contains(flow))
            related.push_back(line);
    }
    std::stable_sort(related.begin(), related.end(), [](const auto &left, const auto &right) {
        return timeOf(left) < timeOf(right);
    });
    return related;
}

} // namespace Observability
