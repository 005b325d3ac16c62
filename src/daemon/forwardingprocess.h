#pragma once

#include "processsignals.h"
#include "settingsfile.h"

#include "configuration/settings.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <vector>

/// Code shared by the two roles that forward callers' packets unchanged.
namespace Daemon {

/// Returns the member entry of a process with \a settings, with a new incarnation.
Tunnel::Member selfMember(const Configuration::ForwardingSettings &settings, Tunnel::Role role);

/// Returns the datagram endpoints of the seeds in \a settings, without the process itself. Settings
/// name seeds by their control address; the datagram port is the same on every instance.
std::vector<Model::Endpoint> seedTunnels(const Configuration::ForwardingSettings &settings);

/// Runs until SIGTERM or SIGINT. Waits up to \a interval for a signal, then calls \a reloaded with
/// the new settings if SIGHUP arrived or \a file changed, provided that they are for the same role,
/// and then \a tick; repeats this. Called on the main thread.
template<typename Settings, typename Reloaded, typename Tick>
void runUntilStopped(SettingsFile &file, std::chrono::milliseconds interval, Reloaded reloaded,
                     Tick tick)
{
    while (true) {
        const ProcessSignal signal = waitForSignal(interval);
        if (signal == ProcessSignal::Stop)
            return;
        if (signal == ProcessSignal::Reload)
            file.invalidate();
        if (const auto changed = file.readIfChanged()) {
            if (const auto *settings = std::get_if<Settings>(&*changed))
                reloaded(*settings);
        }
        tick();
    }
}

} // namespace Daemon
