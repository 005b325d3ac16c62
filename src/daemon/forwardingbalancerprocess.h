#pragma once

#include "configuration/settings.h"

#include <string>

namespace Daemon {

/// Runs a balancer that forwards callers' packets unchanged, until SIGTERM or SIGINT. Reloads
/// \a settingsPath when it changes and after SIGHUP. Throws std::system_error or Poco::Exception if
/// it can't start.
void runForwardingBalancer(const Configuration::ForwardingBalancerSettings &settings,
                           const std::string &settingsPath);

} // namespace Daemon
