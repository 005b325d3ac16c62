#pragma once

#include <nlohmann/json.hpp>

/// Measures of code and policy; each returns the members that it adds to the report.
namespace Measures {

/// A balancer against a plain UDP relay, one core each.
nlohmann::json measureForwarding();

/// Choice of a chain, size of the table, and time to apply one change.
nlohmann::json measureRouting();

/// Balance, stragglers and the crest of a swing, on simulated backend servers.
nlohmann::json measurePolicy();

} // namespace Measures
