#pragma once

#include <string>
#include <vector>

namespace Observability {

/// Returns the lines of \a logs, written by several processes, that tell the way of the request or
/// flow \a id, by time. A request's lines lead to its flow, whose lines are told too. Thread-safe.
std::vector<std::string> correlatedLines(const std::string &id, const std::vector<std::string> &logs);

} // namespace Observability
