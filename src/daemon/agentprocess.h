#pragma once

#include "configuration/settings.h"

#include <functional>

namespace Daemon {

/// Runs an agent until \a waitForStop returns, then drains it. Throws std::system_error,
/// Poco::Exception or kj::Exception if it can't start.
void runAgent(const Configuration::AgentSettings &settings,
              const std::function<void()> &waitForStop);

} // namespace Daemon
