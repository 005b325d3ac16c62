#pragma once

#include "configuration/settings.h"

#include <functional>

namespace Daemon {

/// Runs a balancer until \a waitForStop returns, then drains it.
void runBalancer(const Configuration::BalancerSettings &settings,
                 const std::function<void()> &waitForStop);

} // namespace Daemon
