#pragma once

#include <chrono>
#include <csignal>
#include <ctime>

namespace Daemon {

/// The action that a signal requests.
enum class ProcessSignal { None, Stop, Reload };

/// Waits up to \a time for SIGTERM, SIGINT or SIGHUP, which must be blocked in all threads. Returns
/// None after the time or an interruption. Called on the main thread.
inline ProcessSignal waitForSignal(std::chrono::milliseconds time)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const std::chrono::nanoseconds rest = time - seconds;
    const timespec timeout{std::time_t(seconds.count()), long(rest.count())};
    switch (sigtimedwait(&signals, nullptr, &timeout)) {
    case SIGTERM:
    case SIGINT:
        return ProcessSignal::Stop;
    case SIGHUP:
        return ProcessSignal::Reload;
    default:
        return ProcessSignal::None;
    }
}

} // namespace Daemon
