#pragma once

#include "configuration/settings.h"

#include <functional>

namespace Daemon {

/// Runs an agent until \a waitForStop returns, then drains it.
void runAgent(const Configuration::AgentSettings &settings,
              const std::function<void()> &waitForStop);

} // namespace Daemon
