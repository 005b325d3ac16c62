#pragma once

#include "configuration/settings.h"

#include <functional>

namespace Daemon {

/// Runs a balancer until \a waitForStop returns, then waits until the fabric stops sending to it.
/// Throws std::system_error or Poco::Exception if it can't start.
void runBalancer(const Configuration::BalancerSettings &settings,
                 const std::function<void()> &waitForStop);

} // namespace Daemon
