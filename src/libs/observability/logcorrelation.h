#pragma once

#include <string>
#include <vector>

namespace Observability {

/// Returns those log lines of \a logs, which several processes may have written, that are about the
/// request or flow \a id, sorted by time. For a request, these are all lines of its flow.
/// Thread-safe.
std::vector<std::string> correlatedLines(const std::string &id, const std::vector<std::string> &logs);

} // namespace Observability
