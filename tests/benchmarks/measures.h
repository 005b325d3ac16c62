#pragma once

#include <nlohmann/json.hpp>

/// Benchmarks of code and policies. Each function returns the members that it adds to the report.
namespace Measures {

/// Compares the packet rate of a balancer with that of a plain UDP relay, with one core each.
nlohmann::json measureForwarding();

/// Measures the time to choose a chain, the size of the routing table, and the time to apply one
/// change to it.
nlohmann::json measureRouting();

/// Measures load balance, the effect of stragglers (long requests), and goodput during a load peak,
/// on simulated backend servers.
nlohmann::json measurePolicy();

} // namespace Measures
