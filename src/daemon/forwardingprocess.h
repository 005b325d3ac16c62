#pragma once

#include "processsignals.h"
#include "settingsfile.h"

#include "configuration/settings.h"
#include "tunnel/datagram.h"

#include <chrono>
#include <vector>

/// What both roles that carry callers' packets unchanged do alike.
namespace Daemon {

/// Returns what a process with \a settings says of itself, under an incarnation of its own.
Tunnel::Member selfMember(const Configuration::ForwardingSettings &settings, Tunnel::Role role);

/// Returns where the seeds in \a settings take datagrams: seeds are named by their control address,
/// and datagrams go to the same port on every instance. The process itself is left out.
std::vector<Model::Endpoint> seedTunnels(const Configuration::ForwardingSettings &settings);

/// Runs until SIGTERM: calls \a reloaded with settings of the same role after SIGHUP or a change of
/// \a file, and \a tick every \a interval. Called on the main thread.
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
