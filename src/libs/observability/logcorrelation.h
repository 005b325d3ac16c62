#pragma once

#include <string>
#include <vector>

namespace Observability {

/// Returns the lines of \a logs, written by several processes, that belong to the request or
/// flow \a id, sorted by time. For a request, these are all lines of its flow. Thread-safe.
std::vector<std::string> correlatedLines(const std::string &id,
                                         const std::vector<std::string> &logs);

} // namespace Observability
